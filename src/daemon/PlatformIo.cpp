#include "daemon/PlatformIo.h"

#include "base/Log.h"
#include "core/Guard.h"
#include "engine/EngineClient.h"
#include "peer/PeerConversion.h"
#include "peer/SettingsTransfer.h"
#include "store/LeaseStore.h"
#include <algorithm>
#include <set>
#include <utility>

namespace limpetpond {

namespace {

    using Seconds = std::chrono::seconds;

    ClaimAnswered notSent(const WriteClaim& write)
    {
        return { .request = write.request, .attempt = write.row.attempt, .answer = StoreAnswer::NotSent };
    }

    /// Moves up to `maxCount` writes of different keys out of `pending`, oldest first.
    std::vector<WriteClaim> extractBatch(std::vector<WriteClaim>& pending, std::size_t maxCount)
    {
        std::vector<WriteClaim> batch;
        std::vector<WriteClaim> remaining;
        std::set<std::pair<ClientAccountId, IdempotencyKey>> keys;
        for (WriteClaim& write : pending) {
            // A transaction may contain a row only once, so the second write of a key waits for a later batch.
            bool isInBatch = batch.size() < maxCount && keys.emplace(write.row.account, write.row.key).second;
            (isInBatch ? batch : remaining).push_back(std::move(write));
        }
        pending = std::move(remaining);
        return batch;
    }

} // namespace

PlatformIo::PlatformIo(PlatformIoOptions options, PlatformCalls calls, const Clock& clock, std::function<void(ControlEvent)> post)
    : m_options(options)
    , m_calls(std::move(calls))
    , m_clock(clock)
    , m_post(std::move(post))
    , m_claims({ .maxThreads = static_cast<std::size_t>(std::max(options.threads / 4, 1)), .maxQueued = options.maxQueued })
    , m_settings({ .maxThreads = static_cast<std::size_t>(std::max(options.threads / 4, 2)), .maxQueued = options.maxQueued })
    , m_heartbeats({ .maxThreads = static_cast<std::size_t>(std::max(options.threads / 2, 2)), .maxQueued = options.maxQueued })
    , m_engineCommands({ .maxThreads = 2, .maxQueued = options.maxQueued })
{
}

PlatformIo::~PlatformIo() { stop(); }

void PlatformIo::stop()
{
    m_claims.stop();
    m_settings.stop();
    m_heartbeats.stop();
    m_engineCommands.stop();
}

void PlatformIo::carryOut(const ControlAction& action)
{
    std::visit([this](const auto& typed) { enqueue(typed); }, action);
}

void PlatformIo::enqueue(const WriteClaim& write)
{
    {
        std::lock_guard lock(m_pendingMutex);
        m_pendingWrites.push_back(write);
    }
    if (m_claims.submit([this] { writePendingClaims(); }))
        return;
    std::vector<WriteClaim> rejected;
    {
        std::lock_guard lock(m_pendingMutex);
        rejected.swap(m_pendingWrites);
    }
    for (const WriteClaim& each : rejected)
        m_post(notSent(each));
}

/// Writes the claims that were queued while earlier writes were in progress. An earlier job may already have written
/// the claim that this job was submitted for.
void PlatformIo::writePendingClaims()
{
    for (;;) {
        std::vector<WriteClaim> batch;
        {
            std::lock_guard lock(m_pendingMutex);
            batch = extractBatch(m_pendingWrites, m_options.maxBatch);
        }
        if (batch.empty())
            return;
        for (ClaimAnswered& answer : m_calls.writeClaims(batch))
            m_post(std::move(answer));
    }
}

void PlatformIo::enqueue(const ReadClaim& read)
{
    if (!m_claims.submit([this, read] { m_post(m_calls.readClaim(read)); }))
        m_post(ClaimAnswered { .request = read.request, .attempt = read.attempt, .wasRead = true, .answer = StoreAnswer::NotSent });
}

void PlatformIo::enqueue(const ReadSettingsHead&)
{
    SteadyTime startedAt = m_clock.steadyNow();
    // The age of the settings view counts from before the read is sent, so it includes the time in the queue.
    if (!m_settings.submit([this, startedAt] { m_post(m_calls.readSettingsHead(startedAt)); }))
        m_post(SettingsHeadRead { .answered = false, .readStartedAt = startedAt });
}

void PlatformIo::enqueue(const FetchSettings& fetch)
{
    if (!m_settings.submit([this, fetch] { m_post(m_calls.fetchSettings(fetch)); }))
        m_post(SettingsArrived {});
}

void PlatformIo::enqueue(const MarkTarget& mark)
{
    if (!m_settings.submit([this, mark] { m_post(m_calls.markTarget(mark)); }))
        m_post(MarkAnswered { .change = mark.change });
}

void PlatformIo::enqueue(const SendHeartbeat& send)
{
    SteadyTime sentAt = m_clock.steadyNow();
    if (!m_heartbeats.submit([this, send, sentAt] { m_post(m_calls.sendHeartbeat(send, sentAt)); }))
        m_post(HeartbeatLost { send.to });
}

void PlatformIo::enqueue(const AccessLease& access)
{
    if (!m_settings.submit([this, access] { m_post(m_calls.accessLease(access)); }))
        m_post(LeaseAnswered { .lease = access.lease, .operation = access.step.operation, .answer = LeaseAnswer::NoAnswer });
}

void PlatformIo::enqueue(const SendEngineCommand& command)
{
    auto send = [this, command] {
        // The lease may have run out while the command waited for a thread.
        bool isExpired = m_clock.steadyNow() > command.fence.notAfter && !isGuardDisabled(GuardId::HolderStopsEarly);
        m_post(EngineCommandAnswered { command.target, command.desired, isExpired ? EngineCommandProgress::Failed : m_calls.sendEngineCommand(command) });
    };
    if (!m_engineCommands.submit(send))
        m_post(EngineCommandAnswered { command.target, command.desired, EngineCommandProgress::Failed });
}

namespace {

    std::int64_t claimExpiry(const PlatformClients& clients)
    {
        std::shared_ptr<const Settings> settings = clients.settings();
        auto retention = settings ? settings->site.claimRetention : SiteSettings {}.claimRetention;
        auto expiry = clients.clock.systemNow() + retention;
        return std::chrono::duration_cast<Seconds>(expiry.time_since_epoch()).count();
    }

    std::vector<ClaimAnswered> writeClaimRows(const PlatformClients& clients, std::vector<WriteClaim> writes)
    {
        std::int64_t expiresAt = claimExpiry(clients);
        for (WriteClaim& write : writes)
            write.row.expiresAt = expiresAt;
        return writeClaims(clients.table, writes);
    }

    SettingsHeadRead readHead(const PlatformClients& clients, SteadyTime startedAt)
    {
        return boost::leaf::try_handle_all(
            [&]() -> Result<SettingsHeadRead> {
                BOOST_LEAF_AUTO(version, clients.store.readHead());
                return SettingsHeadRead { .answered = true, .version = version, .readStartedAt = startedAt };
            },
            [&] { return SettingsHeadRead { .answered = false, .readStartedAt = startedAt }; });
    }

    Result<std::shared_ptr<const Settings>> fetchFrom(const PlatformClients& clients, const FetchSettings& fetch)
    {
        if (fetch.peer.isEmpty())
            return fetchFromStore(clients.holder, clients.store);
        BOOST_LEAF_AUTO(update, clients.peers.fetchSettings(fetch.peer, clients.holder.tree()->version));
        return applySettingsUpdate(clients.holder, update);
    }

    SettingsArrived fetch(const PlatformClients& clients, const FetchSettings& wanted)
    {
        auto failed = [&](const std::string& detail) {
            logLine(LogLevel::Warning, "settings_fetch_failed", { { "peer", wanted.peer.value() }, { "version", wanted.version.value() }, { "detail", detail } });
            return SettingsArrived {};
        };
        return boost::leaf::try_handle_all(
            [&]() -> Result<SettingsArrived> {
                BOOST_LEAF_AUTO(settings, fetchFrom(clients, wanted));
                return SettingsArrived { settings };
            },
            [&](const StoreRolledBack& back) {
                clients.raiseAlarm(AlarmKind::SettingsRolledBack, "version " + std::to_string(back.storeVersion.value()));
                return failed("the store holds an older settings version than this instance");
            },
            [&](const CallError& error) { return failed(error.detail); },
            [&](const InvalidSetting& invalid) { return failed(invalid.name + " must be " + invalid.allowed); },
            [&] { return failed("unexpected failure"); });
    }

    MarkAnswered mark(const PlatformClients& clients, const MarkTarget& wanted)
    {
        // After a conflict the cleaning schedule proposes the step again, based on the then current branch.
        return boost::leaf::try_handle_all(
            [&]() -> Result<MarkAnswered> {
                BOOST_LEAF_CHECK(acceptAndAdopt(clients.holder, clients.store, changeForMark(wanted), clients.clock.systemNow()));
                return MarkAnswered { .change = wanted.change, .settled = true };
            },
            [&] { return MarkAnswered { .change = wanted.change, .settled = false }; });
    }

    ControlEvent heartbeat(const PlatformClients& clients, const SendHeartbeat& send, SteadyTime sentAt)
    {
        return boost::leaf::try_handle_all(
            [&]() -> Result<ControlEvent> {
                rpc::Heartbeat wire = toThrift(send.heartbeat);
                wire.logicalTime = static_cast<std::int64_t>(clients.timeline.nextLogicalTime());
                BOOST_LEAF_AUTO(answer, clients.peers.heartbeat(send.to, wire));
                clients.timeline.observeLogicalTime(static_cast<std::uint64_t>(std::max<std::int64_t>(answer.logicalTime, 0)));
                return ControlEvent(HeartbeatAnswered { .heartbeat = fromThrift(answer), .sentAt = sentAt });
            },
            [&](const CallError& error) {
                logLine(LogLevel::Debug, "heartbeat_lost", { { "peer", send.to.value() }, { "detail", error.detail } });
                return ControlEvent(HeartbeatLost { send.to });
            },
            [&] { return ControlEvent(HeartbeatLost { send.to }); });
    }

} // namespace

namespace {

    EngineCommandProgress progressOf(EngineCommandState state)
    {
        switch (state) {
        case EngineCommandState::Reached:
            return EngineCommandProgress::Reached;
        case EngineCommandState::InProgress:
            return EngineCommandProgress::InProgress;
        case EngineCommandState::RefusedOldFencing:
            return EngineCommandProgress::RefusedOldFencing;
        }
        return EngineCommandProgress::Failed;
    }

    EngineCommandProgress sendCommand(const PlatformClients& clients, const SendEngineCommand& wanted)
    {
        std::shared_ptr<const Settings> settings = clients.settings();
        auto target = settings ? settings->targets.find(wanted.target) : std::map<TargetId, TargetSettings>::const_iterator {};
        if (!settings || target == settings->targets.end())
            return EngineCommandProgress::Failed;
        EngineAddress address { wanted.target, { target->second.host, target->second.port } };
        return boost::leaf::try_handle_all(
            [&]() -> Result<EngineCommandProgress> {
                BOOST_LEAF_AUTO(answer, limpetpond::sendEngineCommand(address, { .fencing = wanted.fence.number, .desired = wanted.desired }, clients.engineCommandTimeouts));
                return progressOf(answer.state);
            },
            [&](const CallError& error) {
                logLine(LogLevel::Warning, "order_failed", { { "target", wanted.target.value() }, { "detail", error.detail } });
                return EngineCommandProgress::Failed;
            },
            [] { return EngineCommandProgress::Failed; });
    }

} // namespace

PlatformCalls makePlatformCalls(const PlatformClients& clients)
{
    return { .writeClaims = [clients](const std::vector<WriteClaim>& writes) { return writeClaimRows(clients, writes); },
        .readClaim = [clients](const ReadClaim& read) { return readClaim(clients.table, read); },
        .readSettingsHead = [clients](SteadyTime startedAt) { return readHead(clients, startedAt); },
        .fetchSettings = [clients](const FetchSettings& wanted) { return fetch(clients, wanted); },
        .markTarget = [clients](const MarkTarget& wanted) { return mark(clients, wanted); },
        .sendHeartbeat = [clients](const SendHeartbeat& send, SteadyTime sentAt) { return heartbeat(clients, send, sentAt); },
        .accessLease = [clients](const AccessLease& access) { return accessLease(clients.table, access); },
        .sendEngineCommand = [clients](const SendEngineCommand& wanted) { return sendCommand(clients, wanted); } };
}

} // namespace limpetpond
