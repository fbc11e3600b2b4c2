#include "gateway/Gateway.h"

#include "core/Guard.h"
#include <algorithm>
#include <cmath>

namespace limpetpond {

namespace {

    std::string_view timeoutName(CallerTimeout timeout)
    {
        switch (timeout) {
        case CallerTimeout::Idle:
            return "idle";
        case CallerTimeout::Header:
            return "header";
        case CallerTimeout::Body:
            return "body";
        }
        return "unknown";
    }

    std::string_view lossName(AnswerLoss reason)
    {
        switch (reason) {
        case AnswerLoss::Disconnected:
            return "disconnected";
        case AnswerLoss::Silent:
            return "silent";
        case AnswerLoss::Overdue:
            return "overdue";
        case AnswerLoss::Memory:
            return "memory";
        }
        return "unknown";
    }

    PeerLoadReport loadReportOf(const InstanceUpdate& update)
    {
        PeerLoadReport report { .failureDomain = update.failureDomain, .closedTargets = update.closedTargets };
        report.work.reserve(update.targets.size());
        for (const InstanceUpdate::TargetWork& work : update.targets)
            report.work.push_back({ .target = work.target, .inProgress = work.inProgress });
        for (const InstanceUpdate::PoolDemand& waiting : update.demands)
            report.demands.push_back({ .pool = waiting.pool, .waiting = static_cast<double>(waiting.demand) });
        for (const InstanceUpdate::PoolDemand& arriving : update.arrivals) {
            auto known = std::find_if(report.demands.begin(), report.demands.end(), [&](const PeerLoadReport::Demand& demand) { return demand.pool == arriving.pool; });
            if (known == report.demands.end())
                known = report.demands.insert(known, { .pool = arriving.pool });
            known->arriving = arriving.demand;
        }
        std::sort(report.work.begin(), report.work.end(), [](const auto& a, const auto& b) { return a.target < b.target; });
        std::sort(report.demands.begin(), report.demands.end(), [](const auto& a, const auto& b) { return a.pool < b.pool; });
        std::sort(report.closedTargets.begin(), report.closedTargets.end());
        return report;
    }

} // namespace

Gateway::Gateway(boost::asio::io_context& context, const Clock& clock, const platform::BootSettings& boot, RateLimitedLog& log)
    : m_clock(clock)
    , m_boot(boot)
    , m_log(log)
    , m_pools(context, clock, { .hash = shortHash(boot.instance.value()), .failureDomain = boot.failureDomain }, { .ratio = boot.retryRatio, .slack = boot.retrySlack, .window = boot.retryWindow })
    , m_crashChecks(context, clock, [this](const LostTarget& target, const std::vector<PromptParts>& suspects) { onTargetCrash(target, suspects); })
    , m_answerBuffers(std::make_shared<BufferAccount>(BufferAccount { .limit = answerBufferLimit(boot.memoryBytes) }))
    , m_requestBodies(std::make_shared<BufferAccount>(BufferAccount { .limit = requestBodyLimit(boot.memoryBytes) }))
    , m_unwrittenAnswers(std::make_shared<BufferAccount>(BufferAccount { .limit = unwrittenAnswerLimit(boot.memoryBytes) }))
    , m_random(std::hash<std::string> {}(boot.instance.value()))
    , m_incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(clock.systemNow().time_since_epoch()).count()))
    , m_rollouts(context, clock, m_pools, m_metrics, log,
          { .self = boot.instance,
              .incarnation = m_incarnation,
              .store = parseEndpoint(boot.storeAddress).value_or(boost::asio::ip::tcp::endpoint()),
              .isEnabled = boot.followsRollouts,
              .limits = { .exposedShare = boot.exposedShare, .exposedSlack = boot.exposedSlack, .stopTime = boot.rollbackTime } })
    , m_idleCheckedAt(clock.steadyNow())
{
}

bool Gateway::applySettings(ServingSettings settings)
{
    if (m_settings && settings.version <= m_settings->settings.version && !isGuardDisabled(GuardId::LowerVersionRefused))
        return false;
    m_settings = indexSettings(std::move(settings));
    m_metrics.settingsVersion.set(static_cast<std::int64_t>(m_settings->settings.version.value()));
    m_pools.applySettings(m_settings->settings.pools);
    SteadyTime now = m_clock.steadyNow();
    m_quotaByHash.clear();
    applyQuotaShare(now);
    for (const AccountSettings& account : m_settings->settings.accounts) {
        AccountQuota& quota = m_quotas[account.id];
        quota.tolerance = { .window = m_boot.quotaWindow, .excess = m_boot.quotaExcess, .slack = m_boot.quotaSlack };
        setShare(quota, m_quotaFleet.share, now);
        setQuota(quota, account.perSecond, account.burst, now);
        m_quotaByHash[shortHash(account.id.value())] = &quota;
    }
    return true;
}

void Gateway::onTargetsChanged()
{
    m_metrics.targets.set(static_cast<std::int64_t>(m_pools.targets()));
    m_rollouts.onTargetsChanged();
    for (auto& [id, pool] : m_pools.all())
        dispatchWaiting(pool);
}

void Gateway::applyPeerUpdate(const InstanceUpdate& update)
{
    m_pools.setPeer(update.instance, loadReportOf(update));
    m_rollouts.applyPeerUpdate(update);
    m_metrics.peers.set(m_pools.peers());
    SteadyTime now = m_clock.steadyNow();
    PeerNumber peer = m_peerNumbers.numberOf(update.instance, now);
    PeerHistory history = recordHeard(m_quotaFleet, update.instance, { .incarnation = update.incarnation, .isLeaving = update.isLeaving }, now);
    for (const InstanceUpdate::AccountUse& use : update.accounts) {
        auto quota = m_quotaByHash.find(use.account);
        if (quota != m_quotaByHash.end())
            recordPeerAdmitted(*quota->second, peer, update.incarnation, use.admitted, now, history);
    }
    for (const PoolSuspect& suspect : update.suspects) {
        if (PoolState* pool = findPool(suspect.pool))
            mergeSuspect(pool->crashingParts, suspect.report, now);
    }
    for (const InstanceUpdate::TargetLimit& limit : update.rateLimits) {
        std::optional<TargetId> target = m_pools.mergeRateLimit(limit.target, { .perSecond = limit.perSecond, .at = now - limit.age });
        if (target)
            logRateLimit(*target, limit.perSecond, {});
    }
    for (auto& [id, pool] : m_pools.all())
        dispatchWaiting(pool);
}

void Gateway::applyListedInstances(const std::vector<InstanceId>& listed)
{
    SteadyTime now = m_clock.steadyNow();
    recordListed(m_quotaFleet, listed, now);
    applyQuotaShare(now);
}

void Gateway::applyQuotaShare(SteadyTime now)
{
    QuotaShare before = m_quotaFleet.share;
    const QuotaShare& share = updateShare(m_quotaFleet, now);
    if (share == before)
        return;
    for (auto& [account, quota] : m_quotas)
        setShare(quota, share, now);
    m_metrics.quotaSharePercent.set(std::llround(100 * share.part));
    if (share.part < before.part) {
        m_quotaReducedAt = m_quotaReducedAt.value_or(now);
        m_log.line("warning", "quota_share_reduced",
            { { "share", share.part }, { "share_before", before.part }, { "instances", std::int64_t { share.known } }, { "heard", std::int64_t { share.heard } },
                { "is_starting", share.isStarting }, { "hears_minority", m_quotaFleet.minoritySince.has_value() }, { "silent_after_ms", toMilliseconds(share.unheardTime) } });
    } else if (share.part >= 1 && m_quotaReducedAt) {
        m_log.line("info", "quota_share_restored",
            { { "instances", std::int64_t { share.known } }, { "heard", std::int64_t { share.heard } }, { "reduced_ms", toMilliseconds(now - *m_quotaReducedAt) } });
        m_quotaReducedAt.reset();
    }
}

void Gateway::removePeer(const InstanceId& peer)
{
    m_pools.removePeer(peer);
    m_metrics.peers.set(m_pools.peers());
}

InstanceUpdate Gateway::ownUpdate(ReportScope scope)
{
    SteadyTime now = m_clock.steadyNow();
    InstanceUpdate update {
        .instance = m_boot.instance,
        .failureDomain = m_boot.failureDomain,
        .incarnation = m_incarnation,
        .settingsVersion = m_settings ? m_settings->settings.version : SettingsVersion(),
        .isLeaving = m_isShuttingDown,
    };
    for (auto& [id, pool] : m_pools.all()) {
        if (!pool.queue.requests.empty())
            update.demands.push_back({ .pool = pool.hash, .demand = static_cast<int>(waitingDemand(pool)) });
        if (int arriving = static_cast<int>(arrivingDemand(pool.arrivals, now)); arriving > 0)
            update.arrivals.push_back({ .pool = pool.hash, .demand = arriving });
        for (SuspectReport& suspect : suspectsToReport(pool.crashingParts, scope, now))
            update.suspects.push_back({ .pool = pool.hash, .report = std::move(suspect) });
        for (std::size_t i = 0; i < pool.targets.size(); ++i) {
            if (pool.targets[i].ownInProgress > 0)
                update.targets.push_back({ .target = pool.connections[i].hash, .inProgress = pool.targets[i].ownInProgress });
            if (std::optional<StatedRateLimit> limit = statementToReport(pool.targets[i].rateLimit, now))
                update.rateLimits.push_back({ .target = pool.connections[i].hash, .perSecond = limit->perSecond, .age = now - limit->at });
            if (isEjected(pool.targets[i], now))
                update.closedTargets.push_back(pool.connections[i].hash);
        }
    }
    m_rollouts.addReports(update, scope);
    for (auto& [account, quota] : m_quotas) {
        if (scope == ReportScope::Changes && quota.admittedHere == quota.reportedHere)
            continue;
        double admitted = takeReport(quota, now);
        if (admitted > 0)
            update.accounts.push_back({ .account = shortHash(account.value()), .admitted = admitted });
    }
    return update;
}

void Gateway::addConnection(const std::shared_ptr<HttpServerConnection>& connection)
{
    m_connections[connection.get()] = connection;
    connection->start();
}

std::vector<std::shared_ptr<HttpServerConnection>> Gateway::openConnections() const
{
    std::vector<std::shared_ptr<HttpServerConnection>> open;
    for (const auto& [key, connection] : m_connections) {
        if (std::shared_ptr<HttpServerConnection> kept = connection.lock())
            open.push_back(std::move(kept));
    }
    return open;
}

std::size_t Gateway::closeIdleConnections(std::size_t count)
{
    std::vector<std::pair<SteadyTime, std::shared_ptr<HttpServerConnection>>> idle;
    for (const std::shared_ptr<HttpServerConnection>& connection : openConnections()) {
        if (std::optional<SteadyTime> since = connection->idleSince())
            idle.emplace_back(*since, connection);
    }
    std::sort(idle.begin(), idle.end());
    idle.resize(std::min(idle.size(), count));
    return static_cast<std::size_t>(std::count_if(idle.begin(), idle.end(), [](const auto& entry) { return entry.second->closeIfIdle(); }));
}

bool Gateway::hasUnfinishedRequests() const
{
    if (!m_exchanges.empty())
        return true;
    std::vector<std::shared_ptr<HttpServerConnection>> open = openConnections();
    return std::any_of(open.begin(), open.end(), [](const auto& connection) { return connection->isInUse(); });
}

std::size_t Gateway::unfinishedCallers() const
{
    std::vector<std::shared_ptr<HttpServerConnection>> open = openConnections();
    return static_cast<std::size_t>(std::count_if(open.begin(), open.end(), [](const auto& connection) { return connection->isInUse(); }));
}

CallerLimits Gateway::callerLimits() const { return m_settings ? m_settings->settings.limits : CallerLimits {}; }

void Gateway::onCallerDisconnected(HttpServerConnection& caller, const boost::system::error_code& error)
{
    auto found = m_ticketByCaller.find(&caller);
    if (found == m_ticketByCaller.end())
        return;
    std::shared_ptr<Exchange> exchange = m_exchanges.at(found->second);
    m_metrics.callersDisconnected.add();
    const RequestFacts& facts = exchange->facts();
    m_log.line("info", "caller_gone",
        { { "request", facts.id }, { "sends", std::int64_t { exchange->sendCount() } }, { "error", std::string_view(error.message()) },
            { "after_ms", toMilliseconds(m_clock.steadyNow() - facts.arrivedAt) }, { "has_begun", exchange->hasBegunAnswer() } });
    PoolState& pool = m_pools.pool(facts.pool);
    removeWaiting(pool.queue, exchange->ticket());
    if (exchange->attempt()) {
        if (isGuardDisabled(GuardId::CallerGoneEndsWork))
            return;
        exchange->abandonAttempt();
        releaseAttempt(*exchange, std::nullopt);
    }
    finish(*exchange);
    dispatchWaiting(pool);
}

void Gateway::onCallerTimedOut(const TimedOutCaller& caller)
{
    m_metrics.callersTimedOut.add();
    m_log.line("info", "caller_timed_out",
        { { "limit", timeoutName(caller.timeout) }, { "elapsed_ms", toMilliseconds(caller.elapsed) }, { "limit_ms", toMilliseconds(caller.limit) } });
}

void Gateway::onAnswerLost(const LostAnswer& lost)
{
    m_metrics.lostAnswers.add();
    m_log.line("info", "answer_not_delivered",
        { { "reason", lossName(lost.reason) }, { "unwritten", static_cast<std::int64_t>(lost.unwrittenBytes) }, { "queued", static_cast<std::int64_t>(lost.queuedBytes) },
            { "since_taken_ms", toMilliseconds(lost.sinceTaken) }, { "unanswered_ms", lost.unansweredFor ? toMilliseconds(*lost.unansweredFor) : -1.0 } });
}

void Gateway::onWriteBufferEmpty(HttpServerConnection& caller)
{
    auto found = m_ticketByCaller.find(&caller);
    if (found != m_ticketByCaller.end())
        m_exchanges.at(found->second)->resumeReading();
}

void Gateway::onConnectionClosed(HttpServerConnection& caller) { m_connections.erase(&caller); }

void Gateway::finish(Exchange& exchange)
{
    m_ticketByCaller.erase(&exchange.caller());
    m_exchanges.erase(exchange.ticket());
}

} // namespace limpetpond
