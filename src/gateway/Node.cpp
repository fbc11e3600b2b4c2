#include "gateway/Node.h"

#include "core/Guard.h"
#include "platform/OperatorDocument.h"
#include <algorithm>
#include <charconv>
#include <csignal>
#include <set>

namespace limpetpond {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(25);
    constexpr Duration idleTickInterval = std::chrono::milliseconds(100); ///< While no request is here.
    /// Lapsed entries are written again within about two seconds of the store's return; a target that left
    /// must get nothing two seconds after its leaving was acknowledged.
    constexpr Duration missingGrace = std::chrono::milliseconds(1600);
    /// The balancer asks once a second and needs two misses: until then new connections still come.
    constexpr Duration takingWhileStopping = std::chrono::milliseconds(2800);
    /// The request targets at which this instance passes its rows on, at the peers' port over TCP.
    constexpr std::string_view settingsPath = "/rows/settings";
    constexpr std::string_view targetsPath = "/rows/targets";
    /// An instance that reads the store is behind its peers for less: a pause after changes and a few round trips.
    constexpr Duration settingsTolerance = std::chrono::milliseconds(500);
    constexpr Duration targetsTolerance = std::chrono::milliseconds(700);
    constexpr Duration keptOfGrace = std::chrono::milliseconds(400); ///< To end in order before the kill.

    tcp::endpoint storeEndpoint(const platform::BootSettings& boot)
    {
        return parseEndpoint(boot.storeAddress).value_or(tcp::endpoint());
    }

} // namespace

Node::Node(asio::io_context& context, const Clock& clock, const platform::BootSettings& boot, NodeOptions options)
    : m_context(context)
    , m_clock(clock)
    , m_boot(boot)
    , m_log(clock, { .instance = boot.instance.value(), .descriptor = options.logDescriptor })
    , m_gateway(context, clock, boot, m_log)
    , m_peers(context, clock,
          { .self = boot.instance,
              .ip = boot.ip,
              .port = boot.peerPort,
              .onNews = [this](InstanceNews&& news, const std::string& ip) { takePeerNews(news, ip); },
              .onSilent =
                  [this](const InstanceId& peer) {
                      m_log.line("warning", "peer_silent", { { "peer", peer.value() } });
                      m_readingPeers.erase(peer);
                      m_gateway.peerSilent(peer);
                  } })
    , m_callers(context)
    , m_readiness(context, clock, [this](const ReceivedRequest& request) { return answerReadiness(request); })
    , m_metricsServer(context, clock, [this](const ReceivedRequest& request) { return answerMetrics(request); })
    , m_rowsServer(context, clock, [this](const ReceivedRequest& request) { return answerRows(request); })
    , m_settingsReader(makeReader({ .table = std::string(platform::operatorTable), .onNews = [this](const TableNews& news) { takeSettingsRows(news); } }))
    , m_targetReader(makeReader({ .table = std::string(platform::targetTable), .onNews = [this](const TableNews& news) { takeTargetRows(news); } }))
    , m_instanceReader(makeReader({ .table = std::string(platform::instanceTable), .followsChanges = false, .onNews = [this](const TableNews& news) { takeInstanceRows(news); } }))
    , m_writer(context, clock,
          { .store = storeEndpoint(boot), .table = std::string(platform::instanceTable), .key = boot.instance.value(), .value = boot.ip, .onWritten = [this] { m_instanceReader.start(); } })
    , m_settingsFetcher(context, clock,
          { .path = std::string(settingsPath), .peerPort = boot.peerPort, .onPart = [this](const TablePart& part) { takePeerSettings(part); } })
    , m_targetFetcher(context, clock,
          { .path = std::string(targetsPath), .peerPort = boot.peerPort, .onPart = [this](const TablePart& part) { takePeerTargets(part); } })
    , m_signals(context, SIGTERM, SIGINT, SIGHUP)
    , m_timer(context)
    , m_newsSentAt(clock.steadyNow())
{
}

StoreReader Node::makeReader(StoreReaderOptions options)
{
    options.store = storeEndpoint(m_boot);
    options.onReachable = [this, table = options.table](bool reachable, std::string_view reason) { noteReachable(table, reachable, reason); };
    return { m_context, m_clock, std::move(options) };
}

void Node::noteReachable(const std::string& table, bool reachable, std::string_view reason)
{
    m_log.line(reachable ? "info" : "warning", reachable ? "store_regained" : "store_lost", { { "table", table }, { "reason", reason } });
    // A store that falls silent loses the polls that come meanwhile, and only short ones show it.
    if (reachable && table == platform::operatorTable && m_targetReader.isFollowing())
        m_targetReader.callAgain();
}

std::optional<std::string> Node::start()
{
    m_log.line("info", "started", { { "failure_domain", m_boot.failureDomain.value() }, { "callers", m_boot.callerAddress } });
    if (std::optional<std::string> error = listenOn(m_callers, m_boot.callerAddress))
        return error;
    if (std::optional<std::string> error = m_readiness.start(m_boot.readinessAddress))
        return error;
    if (std::optional<std::string> error = m_metricsServer.start(m_boot.ip + ":" + std::to_string(m_boot.metricsPort)))
        return error;
    if (std::optional<std::string> error = m_rowsServer.start(m_boot.ip + ":" + std::to_string(m_boot.peerPort)))
        return error;
    if (std::optional<std::string> error = m_peers.start())
        return error;
    for (const std::string& ip : m_boot.seedIps)
        m_peers.addPeer(ip);
    m_settingsReader.start();
    // The settings' reader watches for both: whichever table is asked shows a silent store.
    m_targetReader.setPolling(StoreReader::Polling::Long);
    m_targetReader.start();
    m_writer.start();
    acceptCallers();
    waitForSignal();
    scheduleTick();
    return std::nullopt;
}

void Node::acceptCallers()
{
    m_callers.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error)
            m_log.line("warning", "accept_failed", { { "error", std::string_view(error.message()) } });
        else
            m_gateway.addConnection(std::make_shared<HttpServerConnection>(std::move(socket), m_clock, m_gateway));
        acceptCallers();
    });
}

void Node::takeSettingsRows(const TableNews& news)
{
    for (const platform::Row& row : news.rows) {
        if (row.key != platform::settingsKey || row.isDeleted)
            continue;
        std::string whyNot;
        std::optional<ServingSettings> settings = platform::decodeServingSettings(row.value, whyNot);
        if (!settings) {
            m_log.line("error", "settings_unreadable", { { "key", row.key }, { "reason", whyNot } });
            continue;
        }
        auto version = static_cast<std::int64_t>(settings->version.value());
        bool isInForce = m_gateway.applySettings(std::move(*settings));
        if (isInForce)
            noteRow(m_settingsRows, row.key, { .value = row.value, .version = m_gateway.settings()->settings.version.value() });
        m_log.line("info", isInForce ? "settings_in_force" : "settings_ignored", { { "version", version } });
    }
    m_gateway.targetsChanged();
}

void Node::takeTargetRows(const TableNews& news)
{
    std::set<TargetId> present;
    for (const platform::Row& row : news.rows) {
        TargetId id { row.key };
        if (row.isDeleted) {
            dropTarget(id, row.version, news.afterOutage);
            continue;
        }
        RowEffect effect = putTargetRow(row);
        if (effect != RowEffect::Unchanged)
            noteRow(m_targetRows, row.key, { .value = row.value, .version = row.version });
        if (effect != RowEffect::Unreadable)
            present.insert(id);
    }
    if (news.isWholeTable) {
        for (const TargetId& known : m_gateway.pools().targetIds()) {
            if (!present.contains(known))
                dropTarget(known, news.version, news.afterOutage);
        }
    }
    m_gateway.targetsChanged();
}

Node::RowEffect Node::putTargetRow(const platform::Row& row)
{
    std::string whyNot;
    std::optional<TargetEntry> entry = platform::decodeTargetEntry(TargetId(row.key), row.value, whyNot);
    if (!entry) {
        m_log.line("warning", "target_entry_unreadable", { { "target", row.key }, { "reason", whyNot } });
        m_gateway.pools().removeTarget(TargetId(row.key));
        return RowEffect::Unreadable;
    }
    if (!m_gateway.pools().putTarget(*entry))
        return RowEffect::Unchanged;
    m_log.line("info", "target_changed",
        { { "target", row.key }, { "pool", entry->pool.value() }, { "address", entry->address }, { "draining", entry->isDraining },
            { "sequence", static_cast<std::int64_t>(entry->sequence) } });
    return RowEffect::Changed;
}

void Node::dropTarget(const TargetId& target, std::uint64_t version, bool afterOutage)
{
    m_log.line("info", "target_dropped", { { "target", target.value() }, { "after_outage", afterOutage } });
    noteRow(m_targetRows, target.value(), { .version = version, .isDeleted = true, .afterOutage = afterOutage });
    if (afterOutage)
        m_gateway.pools().markMissing(target, m_clock.steadyNow());
    else
        m_gateway.pools().removeTarget(target);
}

void Node::takeInstanceRows(const TableNews& news)
{
    for (const platform::Row& row : news.rows) {
        if (!row.isDeleted)
            m_peers.addPeer(row.value);
    }
}

void Node::takePeerNews(const InstanceNews& news, const std::string& ip)
{
    SteadyTime now = m_clock.steadyNow();
    m_readingPeers[news.instance] = { .hash = shortHash(news.instance.value()), .heardAt = now, .isReading = news.readsTargets, .isLeaving = news.isLeaving };
    m_settingsFetcher.notePeer(news.settingsVersion.value(), ip, now);
    m_targetFetcher.notePeer(news.targetsVersion, ip, now);
    m_gateway.takePeerNews(news);
}

void Node::takePeerSettings(const TablePart& part)
{
    if (part.version <= m_settingsRows.version)
        return;
    m_log.line("info", "settings_from_peer", { { "version", static_cast<std::int64_t>(part.version) } });
    TableNews news;
    for (const auto& [key, row] : part.rows)
        news.rows.push_back({ .key = key, .value = row.value, .version = row.version });
    takeSettingsRows(news);
}

void Node::takePeerTargets(const TablePart& part)
{
    // The store's own answer may have come meanwhile.
    if (part.version <= targetsVersion())
        return;
    m_log.line("info", "targets_from_peer",
        { { "version", static_cast<std::int64_t>(part.version) }, { "rows", static_cast<std::int64_t>(part.rows.size()) }, { "whole", part.isWhole } });
    // What a peer no longer has may be gone for long, or not be back yet after an outage.
    TableNews news { .isWholeTable = part.isWhole, .afterOutage = true, .version = part.version };
    for (const auto& [key, row] : part.rows) {
        if (row.isDeleted)
            dropTarget(TargetId(key), row.version, row.afterOutage);
        else
            news.rows.push_back({ .key = key, .value = row.value, .version = row.version });
    }
    takeTargetRows(news);
    m_targetRows.version = std::max(m_targetRows.version, part.version);
}

void Node::chooseReaders(SteadyTime now)
{
    std::vector<ReadingPeer> peers;
    peers.reserve(m_readingPeers.size());
    for (const auto& [id, peer] : m_readingPeers)
        peers.push_back(peer);
    std::uint32_t ownHash = shortHash(m_boot.instance.value());
    m_settingsReader.setPolling(shouldWatch(ownHash, peers) ? StoreReader::Polling::Watchful : StoreReader::Polling::Long);
    bool reads = shouldRead(ownHash, peers, now, m_peers.interval());
    if (reads == m_targetReader.isFollowing())
        return;
    m_log.line("info", "reads_targets", { { "itself", reads }, { "peers", static_cast<std::int64_t>(peers.size()) } });
    m_targetReader.setFollowing(reads);
}

/// A reader knows of every change up to its version, also where none mattered.
std::uint64_t Node::targetsVersion() const { return std::max(m_targetRows.version, m_targetReader.version()); }

void Node::waitForSignal()
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

void Node::beginShutdown()
{
    if (m_shutdownBegan)
        return;
    m_shutdownBegan = m_clock.steadyNow();
    m_log.line("info", "stopping", { { "in_progress", static_cast<std::int64_t>(m_gateway.exchangesInProgress()) } });
    m_gateway.beginShutdown();
}

void Node::checkShutdown(SteadyTime now)
{
    if (!m_shutdownBegan)
        return;
    Duration elapsed = now - *m_shutdownBegan;
    if (elapsed > takingWhileStopping)
        m_gateway.stopTakingRequests();
    bool isEmpty = (elapsed > takingWhileStopping && !m_gateway.owesAnswers()) || isGuardDisabled(GuardId::StopWaitsForWork);
    if (!isEmpty && elapsed < m_boot.shutdownGrace - keptOfGrace)
        return;
    m_log.line("info", "stopped", { { "in_progress", static_cast<std::int64_t>(m_gateway.exchangesInProgress()) } });
    m_log.flush();
    m_context.stop();
}

void Node::scheduleTick()
{
    m_timer.expires_after(m_gateway.exchangesInProgress() ? tickInterval : idleTickInterval);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        tick();
        scheduleTick();
    });
}

void Node::tick()
{
    SteadyTime now = m_clock.steadyNow();
    int removed = m_gateway.pools().removeMissing(missingGrace, now);
    if (removed)
        m_log.line("info", "missing_targets_removed", { { "count", std::int64_t { removed } } });
    m_peers.tick(now);
    m_gateway.setNewsInterval(m_peers.interval());
    m_gateway.tick();
    m_settingsReader.tick(now);
    m_targetReader.tick(now);
    m_instanceReader.tick(now);
    m_writer.tick(now);
    chooseReaders(now);
    m_settingsFetcher.tick(m_settingsRows.version, settingsTolerance, now);
    m_targetFetcher.tick(targetsVersion(), m_targetReader.isReading() ? targetsTolerance : Duration::zero(), now);
    sendNews(now);
    m_log.flush();
    checkShutdown(now);
}

void Node::sendNews(SteadyTime now)
{
    if (now - m_newsSentAt < m_peers.interval())
        return;
    m_newsSentAt = now;
    InstanceNews news = m_gateway.news();
    news.sequence = ++m_newsSequence;
    news.targetsVersion = m_targetRows.version;
    news.readsTargets = m_targetReader.isReading();
    m_peers.send(news);
}

bool Node::isReady() const { return !m_shutdownBegan && m_gateway.settings() && targetsVersion() > 0; }

SmallAnswer Node::answerReadiness(const ReceivedRequest& request) const
{
    if (request.path != platform::readinessPath)
        return { .status = 404 };
    return { .status = isReady() ? 200 : 503 };
}

/// Answers `/rows/TABLE/VERSION` with what changed of the table after the version.
SmallAnswer Node::answerRows(const ReceivedRequest& request) const
{
    std::string_view path = request.path;
    std::size_t slash = path.rfind('/');
    std::string_view table = path.substr(0, slash);
    const TableCopy* copy = table == settingsPath ? &m_settingsRows : table == targetsPath ? &m_targetRows
                                                                                           : nullptr;
    std::uint64_t version = 0;
    if (!copy || std::from_chars(path.data() + slash + 1, path.data() + path.size(), version).ec != std::errc())
        return { .status = 404 };
    if (!copy->version)
        return { .status = 503 };
    return { .contentType = "application/x-thrift", .body = encodePart(changesAfter(*copy, version)) };
}

SmallAnswer Node::answerMetrics(const ReceivedRequest&) const { return { .body = m_gateway.metricsText() }; }

} // namespace limpetpond
