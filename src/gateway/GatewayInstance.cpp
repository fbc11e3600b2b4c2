#include "gateway/GatewayInstance.h"

#include "core/ConnectionLimit.h"
#include "core/Guard.h"
#include "core/Hash.h"
#include "platform/OperatorDocument.h"
#include <algorithm>
#include <csignal>
#include <set>

namespace limpetpond {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(25);
    constexpr Duration idleTickInterval = std::chrono::milliseconds(100); ///< While no request is in progress.
    /// Targets write expired entries again within about two seconds after the store has become available. A target that
    /// has left must get no requests two seconds after its leaving was acknowledged.
    constexpr Duration missingGrace = std::chrono::milliseconds(1600);
    /// The load balancer probes readiness once a second and needs two failures; until then it still opens connections.
    constexpr Duration acceptTimeAfterShutdown = std::chrono::milliseconds(2800);
    /// Of the rows of suspected prompt parts in the table of instances.
    constexpr std::string_view suspectKeyPrefix = "suspect/";
    /// Paths at which this instance serves its rows to peers, on the peer port over TCP.
    constexpr std::string_view settingsPath = "/rows/settings";
    constexpr std::string_view targetsPath = "/rows/targets";
    /// An instance that reads the store is behind its peers for a shorter time: the pause after changes and a few round trips.
    constexpr Duration maxReaderLag = std::chrono::milliseconds(400);
    /// Longest time between two updates that hold everything, so that a lost datagram is made up for. Peers estimate the use of
    /// an account by an instance that doesn't report it for longer.
    constexpr Duration allInterval = std::chrono::milliseconds(500);
    /// An instance that has started so recently takes over at once what its peers know.
    constexpr Duration startTime = std::chrono::seconds(2);
    /// Longer than the store keeps the entry of a target that doesn't renew it.
    constexpr Duration entryExpiryTime = std::chrono::seconds(8);
    /// After a restore of the store, each instance reads its tables within this time, multiplied by the number of instances.
    constexpr Duration readDelayPerInstance = std::chrono::milliseconds(2);
    constexpr Duration ownTableDelayPerInstance = std::chrono::milliseconds(20);
    /// Left before the process is killed: for the answers to requests that are still in progress, and for its end.
    constexpr Duration shutdownReserve = std::chrono::milliseconds(400);
    constexpr Duration exitReserve = std::chrono::milliseconds(150);
    /// Requests on connections that callers keep are still answered for so long after the listener was closed.
    constexpr Duration lastRequestsTime = std::chrono::milliseconds(150);

    tcp::endpoint storeEndpoint(const platform::BootSettings& boot)
    {
        return parseEndpoint(boot.storeAddress).value_or(tcp::endpoint());
    }

    bool isIpAddress(const std::string& text)
    {
        boost::system::error_code error;
        asio::ip::make_address(text, error);
        return !error;
    }

} // namespace

GatewayInstance::GatewayInstance(asio::io_context& context, const Clock& clock, const platform::BootSettings& boot, GatewayInstanceOptions options)
    : m_context(context)
    , m_clock(clock)
    , m_boot(boot)
    , m_log(clock, { .instance = boot.instance.value(), .descriptor = options.logDescriptor })
    , m_gateway(context, clock, boot, m_log)
    , m_peers(context, clock,
          { .self = boot.instance,
              .ip = boot.ip,
              .port = boot.peerPort,
              .onUpdate = [this](InstanceUpdate&& update, const std::string& ip) { applyPeerUpdate(update, ip); },
              .onPeerTimeout =
                  [this](const InstanceId& peer) {
                      m_log.line("warning", "peer_silent", { { "peer", peer.value() } });
                      m_peerReadStates.erase(peer);
                      m_gateway.removePeer(peer);
                  } })
    , m_callerAcceptor(context)
    , m_readinessServer(context, clock, [this](const ReceivedRequest& request) { return answerReadiness(request); })
    , m_metricsServer(context, clock, [this](const ReceivedRequest& request) { return answerMetrics(request); })
    , m_rowsServer(context, clock, [this](const ReceivedRequest& request) { return answerRows(request); })
    , m_settingsReader(makeReader({ .table = std::string(platform::operatorTable),
          .onUpdate = [this](const TableUpdate& update) { applySettingsRows(update); },
          .onCheck = [this](const StoreCheck& check) { applyStoreCheck(check); } }))
    , m_targetReader(makeReader({ .table = std::string(platform::targetTable), .onUpdate = [this](const TableUpdate& update) { applyTargetRows(update); } }))
    , m_instanceReader(makeReader({ .table = std::string(platform::instanceTable), .followsChanges = false, .onUpdate = [this](const TableUpdate& update) { applyInstanceRows(update); } }))
    , m_writer(context, clock,
          { .store = storeEndpoint(boot), .table = std::string(platform::instanceTable), .onWritten = [this] {
               m_isRowWritten = true;
               readOwnTable();
           } })
    , m_settingsFetcher(context, clock, { .path = std::string(settingsPath), .peerPort = boot.peerPort, .onDelta = [this](const TableDelta& delta) { applyPeerSettings(delta); } })
    , m_targetFetcher(context, clock, { .path = std::string(targetsPath), .peerPort = boot.peerPort, .onDelta = [this](const TableDelta& delta) { applyPeerTargets(delta); } })
    , m_signals(context, SIGTERM, SIGINT, SIGHUP)
    , m_timer(context)
    , m_startedAt(clock.steadyNow())
    , m_updateSentAt(clock.steadyNow())
    , m_allSentAt(clock.steadyNow())
{
}

StoreReader GatewayInstance::makeReader(StoreReaderOptions options)
{
    options.store = storeEndpoint(m_boot);
    options.onEpoch = [this](StoreEpoch epoch) { applyStoreEpoch(epoch, "store"); };
    options.onReachable = [this, table = options.table](bool reachable, std::string_view reason) { recordReachability(table, reachable, reason); };
    return { m_context, m_clock, std::move(options) };
}

void GatewayInstance::recordReachability(const std::string& table, bool reachable, std::string_view reason)
{
    m_log.line(reachable ? "info" : "warning", reachable ? "store_regained" : "store_lost", { { "table", table }, { "reason", reason } });
    // A store that stops answering loses the polls that it gets meanwhile. The long poll for targets may be lost, so it is
    // sent again.
    if (reachable && table == platform::operatorTable && m_targetReader.isFollowing())
        m_targetReader.restartAfterOutage();
}

std::optional<std::string> GatewayInstance::start()
{
    m_log.line("info", "started", { { "failure_domain", m_boot.failureDomain.value() }, { "callers", m_boot.callerAddress } });
    if (std::optional<std::string> error = listenOn(m_callerAcceptor, m_boot.callerAddress))
        return error;
    if (std::optional<std::string> error = m_readinessServer.start(m_boot.readinessAddress))
        return error;
    if (std::optional<std::string> error = m_metricsServer.start(m_boot.ip + ":" + std::to_string(m_boot.metricsPort)))
        return error;
    if (std::optional<std::string> error = m_rowsServer.start(m_boot.ip + ":" + std::to_string(m_boot.peerPort)))
        return error;
    if (std::optional<std::string> error = m_peers.start())
        return error;
    for (const std::string& ip : m_boot.seedIps)
        m_peers.addPeer(ip);
    m_gateway.expectPeers(static_cast<int>(std::count_if(m_boot.seedIps.begin(), m_boot.seedIps.end(), [this](const std::string& ip) { return ip != m_boot.ip; })));
    m_settingsReader.setCheckTurn(CheckTurn()); // Until peers are known.
    m_settingsReader.start();
    m_targetReader.start();
    m_writer.write(m_boot.instance.value(), m_boot.ip);
    acceptCallers();
    waitForSignal();
    scheduleTick();
    return std::nullopt;
}

void GatewayInstance::acceptCallers()
{
    m_isAcceptPaused = false;
    m_callerAcceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) { onCallerAccepted(error, std::move(socket)); });
}

void GatewayInstance::onCallerAccepted(boost::system::error_code error, tcp::socket socket)
{
    if (error == asio::error::operation_aborted)
        return;
    if (error)
        m_log.line("warning", "accept_failed", { { "error", std::string_view(error.message()) }, { "callers", static_cast<std::int64_t>(m_gateway.callerConnections()) } });
    else
        m_gateway.addConnection(std::make_shared<HttpServerConnection>(std::move(socket), m_clock, m_gateway));
    // An error lasts until a descriptor is free, so that trying again at once would only take time.
    m_isAcceptPaused = error || !makeRoomForCaller();
    if (!m_isAcceptPaused)
        acceptCallers();
}

bool GatewayInstance::makeRoomForCaller()
{
    std::size_t limit = callerConnectionLimit(m_boot.maxDescriptors);
    std::size_t excess = idleConnectionsToClose(m_gateway.callerConnections(), limit);
    if (!excess)
        return true;
    std::size_t closed = m_gateway.closeIdleConnections(excess);
    m_log.line("warning", "callers_closed", { { "idle_closed", static_cast<std::int64_t>(closed) }, { "callers", static_cast<std::int64_t>(m_gateway.callerConnections()) }, { "limit", static_cast<std::int64_t>(limit) } });
    return m_gateway.callerConnections() < limit;
}

void GatewayInstance::logWholeRead(std::string_view table, const TableUpdate& update)
{
    if (!update.isWholeTable)
        return;
    m_log.line("info", "table_read",
        { { "table", table }, { "epoch", static_cast<std::int64_t>(update.version.epoch.value()) }, { "version", static_cast<std::int64_t>(update.version.number) },
            { "rows", static_cast<std::int64_t>(update.rows.size()) }, { "after_outage", update.afterOutage } });
}

void GatewayInstance::applySettingsRows(const TableUpdate& update)
{
    logWholeRead(platform::operatorTable, update);
    for (const platform::Row& row : update.rows) {
        if (row.key != platform::settingsKey || row.isDeleted)
            continue;
        std::string reason;
        std::optional<ServingSettings> settings = platform::decodeServingSettings(row.value, reason);
        if (!settings) {
            m_log.line("error", "settings_unreadable", { { "key", row.key }, { "reason", reason } });
            continue;
        }
        auto version = static_cast<std::int64_t>(settings->version.value());
        double idleLimit = toMilliseconds(settings->limits.idleTimeout);
        bool isInForce = m_gateway.applySettings(std::move(*settings));
        readOwnTable();
        if (isInForce)
            recordRow(m_settingsRows, row.key, { .value = row.value, .version = { .number = m_gateway.settings()->settings.version.value() } });
        m_log.line("info", isInForce ? "settings_in_force" : "settings_ignored", { { "version", version }, { "idle_limit_ms", idleLimit } });
    }
    applyOrderRows(update);
    m_gateway.onTargetsChanged();
}

/// Orders name pools of the settings, which may be among the same rows.
void GatewayInstance::applyOrderRows(const TableUpdate& update)
{
    for (const platform::Row& row : update.rows) {
        if (row.key.starts_with(platform::rolloutKeyPrefix) && m_gateway.settings())
            m_gateway.rollouts().applyOrderRow(row, update.version.epoch, !update.isWholeTable, m_gateway.settings()->settings);
    }
}

void GatewayInstance::applyTargetRows(const TableUpdate& update)
{
    StoreEpoch epoch = update.version.epoch;
    bool isOtherEpoch = epoch > m_targetRows.version.epoch;
    bool replacesCopy = update.isWholeTable && (isOtherEpoch || !m_targetRows.version.number);
    // In a new epoch, changes say nothing before the whole table is known.
    if (epoch < m_targetRows.version.epoch || (isOtherEpoch && !update.isWholeTable)) {
        m_log.line("warning", "targets_ignored", { { "epoch", static_cast<std::int64_t>(epoch.value()) }, { "whole", update.isWholeTable } });
        return;
    }
    logWholeRead(platform::targetTable, update);
    if (update.isLate)
        m_log.line("warning", "store_poll_lost", { { "table", platform::targetTable }, { "version", static_cast<std::int64_t>(update.version.number) }, { "rows", static_cast<std::int64_t>(update.rows.size()) } });
    std::set<TargetId> present;
    std::map<std::string, TableRow> allRows;
    for (const platform::Row& row : update.rows) {
        TargetId id { row.key };
        TableVersion version { .epoch = epoch, .number = row.version };
        if (row.isDeleted) {
            dropTarget(id, version, update.afterOutage);
            continue;
        }
        RowEffect effect = putTargetRow(row, { .epoch = epoch, .isWholeTable = update.isWholeTable });
        if (replacesCopy)
            allRows[row.key] = { .value = row.value, .version = version };
        else if (effect != RowEffect::Unchanged)
            recordRow(m_targetRows, row.key, { .value = row.value, .version = version });
        if (effect != RowEffect::Unreadable)
            present.insert(id);
    }
    if (replacesCopy) {
        if (m_targetRows.version.number)
            m_targetsRestoredAt = m_clock.steadyNow();
        replaceRows(m_targetRows, update.version, std::move(allRows));
    }
    if (update.isWholeTable) {
        for (const TargetId& known : m_gateway.pools().targetIds()) {
            if (!present.contains(known))
                dropTarget(known, update.version, update.afterOutage);
        }
    }
    m_gateway.onTargetsChanged();
}

void GatewayInstance::applyStoreCheck(const StoreCheck& check)
{
    m_storeCheckedAt = m_clock.steadyNow();
    if (areChangesKnown(std::max(m_checkedVersion, m_targetReader.version()), check))
        m_checkedVersion = check.newest;
    else
        m_targetReader.recordStoreVersion(check.newest);
}

GatewayInstance::RowEffect GatewayInstance::putTargetRow(const platform::Row& row, const EntryRead& read)
{
    std::string reason;
    std::optional<TargetEntry> entry = platform::decodeTargetEntry(TargetId(row.key), row.value, reason);
    if (!entry) {
        m_log.line("warning", "target_entry_unreadable", { { "target", row.key }, { "reason", reason } });
        m_gateway.pools().removeTarget(TargetId(row.key));
        return RowEffect::Unreadable;
    }
    if (!m_gateway.pools().findTarget(entry->id) && isDeparted(m_gateway.pools().departures(), *entry, read)) {
        m_log.line("info", "target_not_brought_back", { { "target", row.key }, { "sequence", static_cast<std::int64_t>(entry->sequence) } });
        return RowEffect::Unchanged;
    }
    if (!m_gateway.pools().putTarget(*entry))
        return RowEffect::Unchanged;
    m_log.line("info", "target_changed",
        { { "target", row.key }, { "pool", entry->pool.value() }, { "address", entry->address }, { "version", entry->version.value() }, { "draining", entry->isDraining },
            { "sequence", static_cast<std::int64_t>(entry->sequence) } });
    return RowEffect::Changed;
}

void GatewayInstance::dropTarget(const TargetId& target, const TableVersion& version, bool afterOutage)
{
    m_log.line("info", "target_dropped", { { "target", target.value() }, { "after_outage", afterOutage } });
    recordRow(m_targetRows, target.value(), { .version = version, .isDeleted = true, .afterOutage = afterOutage });
    if (afterOutage)
        m_gateway.pools().markMissing(target, m_clock.steadyNow());
    else
        m_gateway.pools().removeDeparted(target, version.epoch);
}

void GatewayInstance::applyStoreEpoch(StoreEpoch epoch, std::string_view source)
{
    if (m_storeEpoch && epoch <= *m_storeEpoch)
        return;
    bool isFirst = !m_storeEpoch;
    m_storeEpoch = epoch;
    if (isFirst)
        return;
    m_log.line("warning", "store_restored", { { "epoch", static_cast<std::int64_t>(epoch.value()) }, { "source", source } });
    m_gateway.rollouts().onStoreRestored();
    Duration delay = spreadDelay(readDelayPerInstance);
    m_settingsReader.readAgain(epoch, delay);
    m_targetReader.readAgain(epoch, delay);
    if (m_hasReadOwnTable)
        m_instanceReader.readAgain(epoch, spreadDelay(ownTableDelayPerInstance));
}

/// A delay that differs from instance to instance, so that the calls of all instances are spread over a time in proportion
/// to their number.
Duration GatewayInstance::spreadDelay(Duration perInstance) const
{
    constexpr std::int64_t steps = 1000;
    auto step = static_cast<std::int64_t>(mixBits(shortHash(m_boot.instance.value())) % steps);
    return perInstance * m_peers.livePeers() * step / steps;
}

/// Uses the targets whose entries have outlived those of silent ones since the store was restored.
void GatewayInstance::applyRowsOfDepartedTargets(SteadyTime now)
{
    if (!m_targetsRestoredAt || now - *m_targetsRestoredAt < entryExpiryTime)
        return;
    m_targetsRestoredAt.reset();
    TableUpdate update { .version = m_targetRows.version };
    for (const TargetId& target : takeDeparturesBefore(m_gateway.pools().departures(), m_targetRows.version.epoch)) {
        auto row = m_targetRows.rows.find(target.value());
        if (row != m_targetRows.rows.end() && !row->second.isDeleted)
            update.rows.push_back({ .key = row->first, .value = row->second.value, .version = row->second.version.number });
    }
    if (!update.rows.empty())
        applyTargetRows(update);
}

/// Reads the rows that other instances have written, once. Rows of suspected prompt parts name pools of the settings, which
/// have to be known.
void GatewayInstance::readOwnTable()
{
    if (m_hasReadOwnTable || !m_isRowWritten || !m_gateway.settings())
        return;
    m_hasReadOwnTable = true;
    m_instanceReader.start();
}

void GatewayInstance::applyInstanceRows(const TableUpdate& update)
{
    logWholeRead(platform::instanceTable, update);
    bool isOwnRowStored = false;
    std::set<std::string> suspectKeys;
    std::vector<InstanceId> otherInstances;
    for (const platform::Row& row : update.rows) {
        if (row.isDeleted || Rollouts::isOwnRow(row.key))
            continue;
        if (row.key.starts_with(suspectKeyPrefix)) {
            suspectKeys.insert(row.key.substr(suspectKeyPrefix.size()));
            applySuspectRow(row);
            continue;
        }
        if (row.key == m_boot.instance.value())
            isOwnRowStored = row.value == m_boot.ip;
        else if (isIpAddress(row.value))
            otherInstances.emplace_back(row.key);
        m_peers.addPeer(row.value);
    }
    m_gateway.applyListedInstances(otherInstances);
    // A restored store has lost the rows of the last seconds.
    if (!isOwnRowStored)
        m_writer.write(m_boot.instance.value(), m_boot.ip);
    m_gateway.recordStoredSuspects(suspectKeys);
    m_gateway.rollouts().applyStoredRows(update.rows);
}

void GatewayInstance::applySuspectRow(const platform::Row& row)
{
    if (std::optional<PoolSuspect> suspect = decodeSuspectRow(row.value, m_clock.systemNow()))
        m_gateway.applyStoredSuspect(*suspect);
    else
        m_log.line("warning", "suspect_row_unreadable", { { "key", row.key } });
}

void GatewayInstance::writeSuspectRows()
{
    for (const PoolRowChange& change : m_gateway.takeSuspectRowChanges()) {
        std::string key = std::string(suspectKeyPrefix) + suspectRowKey(change.suspect.pool, change.suspect.report.part);
        if (change.isCleared)
            m_writer.remove(key);
        else
            m_writer.write(key, encodeSuspectRow(change.suspect, m_clock.systemNow()));
    }
}

void GatewayInstance::applyPeerUpdate(const InstanceUpdate& update, const std::string& ip)
{
    SteadyTime now = m_clock.steadyNow();
    PeerReadState state { .hash = shortHash(update.instance.value()), .updatedAt = now, .isReading = update.readsTargets, .isLeaving = update.isLeaving };
    if (update.storeCheckAge)
        state.checkedAt = now - *update.storeCheckAge;
    m_peerReadStates[update.instance] = state;
    m_settingsFetcher.recordPeerVersion({ .number = update.settingsVersion.value() }, ip, now);
    m_targetFetcher.recordPeerVersion({ .epoch = update.targetsEpoch.value_or(m_targetRows.version.epoch), .number = update.targetsVersion }, ip, now);
    if (update.targetsEpoch && update.targetsVersion)
        applyStoreEpoch(*update.targetsEpoch, "peer");
    m_gateway.applyPeerUpdate(update);
}

void GatewayInstance::applyPeerSettings(const TableDelta& delta)
{
    if (delta.version <= m_settingsRows.version)
        return;
    m_log.line("info", "settings_from_peer", { { "version", static_cast<std::int64_t>(delta.version.number) } });
    TableUpdate update;
    for (const auto& [key, row] : delta.rows)
        update.rows.push_back({ .key = key, .value = row.value, .version = row.version.number });
    applySettingsRows(update);
    // The store would have answered by now, so the poll in progress was lost.
    if (m_settingsReader.isReading())
        m_settingsReader.restartCall();
}

void GatewayInstance::applyPeerTargets(const TableDelta& delta)
{
    // The store's own answer may have arrived first.
    if (delta.version <= targetsVersion())
        return;
    if (!delta.isWhole && delta.version.epoch != m_targetRows.version.epoch)
        return; // The answer to a request of before the whole table was read.
    m_log.line("info", "targets_from_peer",
        { { "version", static_cast<std::int64_t>(delta.version.number) }, { "epoch", static_cast<std::int64_t>(delta.version.epoch.value()) }, { "rows", static_cast<std::int64_t>(delta.rows.size()) }, { "whole", delta.isWhole } });
    // A row that the peer doesn't have may be deleted, or may not be written again yet after an outage.
    TableUpdate update { .isWholeTable = delta.isWhole, .afterOutage = true, .version = delta.version };
    for (const auto& [key, row] : delta.rows) {
        if (row.isDeleted)
            dropTarget(TargetId(key), row.version, row.afterOutage);
        else
            update.rows.push_back({ .key = key, .value = row.value, .version = row.version.number });
    }
    applyTargetRows(update);
    m_targetRows.version = std::max(m_targetRows.version, delta.version);
    m_targetReader.recordStoreVersion(delta.version);
}

void GatewayInstance::chooseReaders(SteadyTime now)
{
    std::vector<PeerReadState> peers;
    peers.reserve(m_peerReadStates.size());
    for (const auto& [id, peer] : m_peerReadStates)
        peers.push_back(peer);
    std::uint32_t ownHash = shortHash(m_boot.instance.value());
    Duration interval = limpetpond::updateInterval({ .livePeers = m_peers.livePeers() });
    std::optional<CheckTurn> turn = checkTurn(ownHash, peers, now, interval);
    setCheckTurn(turn);
    bool reads = turn || shouldRead(ownHash, peers, now, interval);
    if (reads == m_targetReader.isFollowing())
        return;
    m_log.line("info", "reads_targets", { { "itself", reads }, { "peers", static_cast<std::int64_t>(peers.size()) } });
    m_targetReader.setFollowing(reads);
}

void GatewayInstance::setCheckTurn(const std::optional<CheckTurn>& turn)
{
    if (turn.has_value() != m_settingsReader.hasCheckTurn())
        m_log.line("info", "checks_store", { { "itself", turn.has_value() }, { "peers", static_cast<std::int64_t>(m_peerReadStates.size()) } });
    m_settingsReader.setCheckTurn(turn);
    if (!turn)
        m_storeCheckedAt.reset();
}

/// The reader's version also covers changes that didn't raise the version of the copied rows.
TableVersion GatewayInstance::targetsVersion() const { return std::max(m_targetRows.version, m_targetReader.version()); }

void GatewayInstance::waitForSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            m_log.line("info", "settings_file_changed", { { "effect", std::string_view("addresses are read at the next start") } });
        else
            beginShutdown();
        waitForSignal();
    });
}

void GatewayInstance::beginShutdown()
{
    if (m_shutdownStartedAt)
        return;
    m_shutdownStartedAt = m_clock.steadyNow();
    m_log.line("info", "stopping", { { "in_progress", static_cast<std::int64_t>(m_gateway.exchangesInProgress()) } });
    m_gateway.beginShutdown();
}

void GatewayInstance::checkShutdown(SteadyTime now)
{
    if (!m_shutdownStartedAt)
        return;
    Duration elapsed = now - *m_shutdownStartedAt;
    Duration grace = m_boot.shutdownGrace;
    bool acceptsRequests = elapsed <= std::min<Duration>(acceptTimeAfterShutdown, grace / 2);
    if (!acceptsRequests)
        m_gateway.stopAcceptingRequests();
    if (elapsed >= grace - shutdownReserve)
        m_gateway.endRequests();
    bool isEmpty = (!acceptsRequests && !m_gateway.hasUnfinishedRequests() && hasAnsweredLastRequests(now)) || isGuardDisabled(GuardId::StopWaitsForWork);
    if (!isEmpty && elapsed < grace - exitReserve)
        return;
    m_log.line("info", "stopped",
        { { "in_progress", static_cast<std::int64_t>(m_gateway.exchangesInProgress()) }, { "unfinished_callers", static_cast<std::int64_t>(m_gateway.unfinishedCallers()) } });
    m_log.flush();
    m_context.stop();
}

/// Closes the listener at the first call: a request on an accepted connection is answered, and later connections are refused.
bool GatewayInstance::hasAnsweredLastRequests(SteadyTime now)
{
    if (!m_listenerClosedAt) {
        m_listenerClosedAt = now;
        boost::system::error_code ignored; // Nothing else can be done about it.
        m_callerAcceptor.close(ignored);
    }
    return now - *m_listenerClosedAt >= lastRequestsTime;
}

void GatewayInstance::scheduleTick()
{
    m_timer.expires_after(m_gateway.exchangesInProgress() ? tickInterval : idleTickInterval);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        tick();
        scheduleTick();
    });
}

void GatewayInstance::tick()
{
    SteadyTime now = m_clock.steadyNow();
    int removed = m_gateway.pools().removeMissing(missingGrace, m_targetRows.version.epoch, now);
    if (removed)
        m_log.line("info", "missing_targets_removed", { { "count", std::int64_t { removed } } });
    m_peers.tick(now);
    m_gateway.setUpdateInterval(updateInterval());
    m_gateway.rollouts().tick(m_settingsReader.isReading());
    m_gateway.tick();
    if (m_isAcceptPaused && !m_listenerClosedAt && makeRoomForCaller())
        acceptCallers();
    m_settingsReader.tick(now);
    m_targetReader.tick(now);
    m_instanceReader.tick(now);
    m_writer.tick(now);
    writeSuspectRows();
    applyRowsOfDepartedTargets(now);
    chooseReaders(now);
    m_settingsFetcher.tick(m_settingsRows.version, isStarting() ? Duration::zero() : maxReaderLag, now);
    m_targetFetcher.tick(targetsVersion(), m_targetReader.isReading() ? maxReaderLag : Duration::zero(), now);
    sendUpdate(now);
    m_log.flush();
    checkShutdown(now);
}

Duration GatewayInstance::updateInterval() const
{
    return limpetpond::updateInterval({ .livePeers = m_peers.livePeers(), .areRequestsWaiting = m_gateway.areRequestsWaiting() });
}

void GatewayInstance::sendUpdate(SteadyTime now)
{
    if (now - m_updateSentAt < updateInterval())
        return;
    m_updateSentAt = now;
    bool sendsAll = now - m_allSentAt >= allInterval;
    if (sendsAll)
        m_allSentAt = now;
    InstanceUpdate update = m_gateway.ownUpdate(sendsAll ? ReportScope::All : ReportScope::Changes);
    update.targetsVersion = m_targetRows.version.number;
    update.targetsEpoch = m_targetRows.version.epoch;
    update.readsTargets = m_targetReader.isReading();
    if (m_storeCheckedAt)
        update.storeCheckAge = now - *m_storeCheckedAt;
    m_peers.send(std::move(update));
}

bool GatewayInstance::isStarting() const { return m_clock.steadyNow() - m_startedAt < startTime; }

bool GatewayInstance::isReady() const
{
    // The store may show older settings than it did before it was restored.
    bool isBehindPeers = isStarting() && m_settingsFetcher.isBehind();
    return !m_shutdownStartedAt && m_gateway.settings() && targetsVersion().number > 0 && !isBehindPeers && m_gateway.rollouts().isReady();
}

ShortAnswer GatewayInstance::answerReadiness(const ReceivedRequest& request) const
{
    if (request.path != platform::readinessPath)
        return { .status = 404 };
    return { .status = isReady() ? 200 : 503 };
}

/// Answers `/rows/TABLE/VERSION` with the table's changes after the version.
ShortAnswer GatewayInstance::answerRows(const ReceivedRequest& request) const
{
    std::string_view path = request.path;
    std::size_t slash = path.rfind('/');
    std::string_view table = path.substr(0, slash);
    const TableCopy* copy = table == settingsPath ? &m_settingsRows : table == targetsPath ? &m_targetRows
                                                                                           : nullptr;
    std::optional<TableVersion> version = copy ? parseVersion(path.substr(slash + 1), copy->version.epoch) : std::nullopt;
    if (!version)
        return { .status = 404 };
    if (!copy->version.number)
        return { .status = 503 };
    return { .contentType = "application/x-thrift", .body = encodeDelta(changesAfter(*copy, *version)) };
}

ShortAnswer GatewayInstance::answerMetrics(const ReceivedRequest&) const { return { .body = m_gateway.metricsText() }; }

} // namespace limpetpond
