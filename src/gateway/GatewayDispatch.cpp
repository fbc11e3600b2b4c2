/// The gateway's dispatch of waiting requests to targets.

#include "gateway/Gateway.h"
#include "gateway/HttpText.h"
#include <algorithm>

namespace limpetpond {

namespace {

    constexpr double tokensPerEvent = 5; ///< Only used to compare targets of one pool, where the factor cancels out.

    std::vector<TargetId> targetsExcept(const PoolState& pool, const std::vector<TargetId>& excepted)
    {
        std::vector<TargetId> others;
        for (const TargetState& target : pool.targets) {
            if (std::find(excepted.begin(), excepted.end(), target.entry.id) == excepted.end())
                others.push_back(target.entry.id);
        }
        return others;
    }

} // namespace

TargetSelectionInput Gateway::targetSelectionInput(const PoolState& pool, const Exchange& exchange, const std::vector<TargetId>* avoid, SteadyTime now) const
{
    const RequestFacts& facts = exchange.facts();
    std::optional<int> ownRequestsAllowed = pool.ownRequestsAllowed;
    if (ownRequestsAllowed && exchange.attempt())
        ++*ownRequestsAllowed; // Its attempt in progress ends with the choice.
    std::optional<Duration> timeToObjective;
    if (exchange.isStreaming() && !exchange.hasBegunAnswer() && facts.route->latencyObjective.count() > 0)
        timeToObjective = facts.arrivedAt + facts.route->latencyObjective - now;
    return {
        .ownFailureDomain = m_boot.failureDomain,
        .promptTokens = facts.promptTokens,
        .work = exchange.isStreaming() ? std::max(facts.expectedAnswerTokens / tokensPerEvent, 1.0) : 1.0,
        .timeLeft = facts.deadline - now,
        .timeToObjective = timeToObjective,
        .firstEventFactor = pool.firstEventFactor,
        .requestsPerSlot = requestsPerSlot(fromMilliseconds(pool.serviceMilliseconds), m_updateInterval),
        .ownRequestsAllowed = ownRequestsAllowed,
        .peerUpdateWeight = peerUpdateWeight(fromMilliseconds(pool.serviceMilliseconds), m_updateInterval),
        .cachedTokens = hasLongParts(facts.sharedParts) ? cachedTokens(pool.partUses, facts.sharedParts, Pools::targetHashes(pool), now) : std::vector<double> {},
        .avoid = avoid,
    };
}

std::optional<std::size_t> Gateway::chooseTarget(const PoolState& pool, Exchange& exchange, SteadyTime now) const
{
    bool triesSamplesFirst = m_rollouts.triesSamplesFirst(pool, exchange);
    auto choose = [&](const std::vector<TargetId>* avoid) {
        TargetSelectionInput input = targetSelectionInput(pool, exchange, avoid, now);
        input.usesSamples = triesSamplesFirst;
        std::optional<std::size_t> index = limpetpond::chooseTarget(pool.targets, input, now);
        if (index || !triesSamplesFirst)
            return index;
        input.usesSamples = false;
        return limpetpond::chooseTarget(pool.targets, input, now);
    };
    const std::vector<TargetId>& tried = exchange.triedTargets();
    if (exchange.isReturning()) {
        std::vector<TargetId> avoid = targetsExcept(pool, tried);
        avoid.push_back(tried.back()); // It refused the last attempt.
        std::optional<std::size_t> index = choose(&avoid);
        avoid.pop_back();
        return index ? index : choose(&avoid);
    }
    std::optional<std::size_t> index = choose(&tried);
    // An attempt in progress is only given up for one at another target.
    if (!index && !tried.empty() && !exchange.attempt())
        index = choose(nullptr);
    return index;
}

void Gateway::dispatchWaiting(PoolState& pool)
{
    SteadyTime now = m_clock.steadyNow();
    if (!m_rollouts.mayUsePool(pool)) {
        refuseHeld(pool);
        return;
    }
    // A target that was just added would otherwise receive requests of all instances at once.
    m_pools.assignFreeSlots(pool, m_updateInterval);
    // The time of a pause doesn't count in the rate of sends.
    if (poolPausedUntil(pool.targets, now))
        beginCounting(pool.sendRate, now);
    replaceStalledAttempts(pool, now);
    while (!pool.queue.requests.empty()) {
        bool hasChanged = false; // A request was sent or refused.
        // A request that waits for a fast target doesn't block the next few, which a slower target can serve in time.
        for (WaitTicket ticket : dispatchCandidates(pool, now)) {
            std::shared_ptr<Exchange> exchange = m_exchanges.at(ticket);
            if (std::optional<Duration> wait = quarantineTime(pool, exchange->facts(), now)) {
                refuseQuarantined(*exchange, *wait);
                hasChanged = true;
                break;
            }
            ProbePermission permission = probePermissionOf(pool, exchange->facts(), now);
            if (!permission.isAllowed)
                continue;
            std::optional<std::size_t> index = permission.target ? chooseProbeTarget(pool, *exchange, *permission.target, now) : chooseTarget(pool, *exchange, now);
            if (!index)
                continue;
            removeWaiting(pool.queue, ticket);
            if (!pool.queue.requests.empty())
                recordSent(pool.sendRate, now);
            dispatch(pool, *index, *exchange, now);
            hasChanged = true;
            break;
        }
        if (!hasChanged)
            return;
    }
}

void Gateway::replaceStalledAttempts(PoolState& pool, SteadyTime now)
{
    for (WaitTicket ticket : std::vector<WaitTicket>(pool.stalled.begin(), pool.stalled.end())) {
        std::shared_ptr<Exchange> exchange = m_exchanges.at(ticket);
        if (quarantineTime(pool, exchange->facts(), now) || crashRisk(pool.crashingParts, exchange->facts().promptParts) > 0)
            continue;
        std::optional<std::size_t> index = chooseTarget(pool, *exchange, now);
        if (index && giveUpStalledAttempt(pool, *exchange, now))
            dispatch(pool, *index, *exchange, now);
    }
}

void Gateway::dispatch(PoolState& pool, std::size_t index, Exchange& exchange, SteadyTime now)
{
    const RequestFacts& facts = exchange.facts();
    std::int64_t left = std::chrono::duration_cast<Milliseconds>(facts.deadline - now).count();
    if (left <= 0) {
        finishWithFailure(exchange, { .reason = "deadline", .timedOut = true });
        return;
    }
    if (std::optional<QuarantinedPart> quarantined = findQuarantinedPart(pool, facts))
        recordTrial(quarantined->pool->crashingParts, quarantined->part, now);
    if (std::size_t risk = crashRisk(pool.crashingParts, facts.promptParts); risk > 0) {
        recordProbe(pool.crashingParts, facts.promptParts, now);
        m_log.line("info", "prompt_probe_sent",
            { { "request", facts.id }, { "pool", pool.id.value() }, { "suspects", static_cast<std::int64_t>(pool.crashingParts.commonSuspects.size()) },
                { "risk", static_cast<std::int64_t>(risk) } });
    }
    double estimatedFirstEvent = exchange.isStreaming() ? estimatedFirstEventMilliseconds(pool.targets, index, facts.promptTokens) : 0;
    TargetState& target = pool.targets[index];
    recordSend(target.rateLimit, now);
    recordUse(pool.partUses, facts.sharedParts, pool.connections[index].hash, now);
    ++target.ownInProgress;
    target.ownPromptTokens += facts.promptTokens;
    target.probeInProgress = target.consecutiveFailures > 0;
    std::optional<std::uint64_t> resumeAfter;
    if (exchange.hasBegunAnswer())
        resumeAfter = exchange.resumePoint();
    std::string head = targetRequestHead(exchange.request(),
        { .target = target.entry.id.value(), .account = facts.account, .millisecondsLeft = left, .resumeAfter = resumeAfter });
    m_metrics.sends.add();
    if (exchange.sendCount() == 0)
        m_metrics.waitSeconds.record(toSeconds(now - facts.arrivedAt));
    m_log.line("info", "request_sent",
        { { "request", facts.id }, { "route", facts.route->name }, { "target", target.entry.id.value() }, { "rank", std::int64_t { facts.rank } },
            { "waited_ms", toMilliseconds(now - facts.arrivedAt) }, { "left_ms", left },
            { "send", std::int64_t { exchange.sendCount() + 1 } }, { "own_in_progress", std::int64_t { target.ownInProgress } },
            { "peers_in_progress", std::int64_t { target.peersInProgress } }, { "settings", static_cast<std::int64_t>(facts.settings->settings.version.value()) } });
    TargetId id = target.entry.id;
    std::int64_t startedAt = target.entry.startedAt;
    m_rollouts.recordSend(exchange, pool, target);
    exchange.send(m_pools.takeConnection(pool, index, exchange.usedConnections(), now), id, std::move(head));
    if (!exchange.attempt())
        return;
    exchange.attempt()->targetStartedAt = startedAt;
    exchange.attempt()->estimatedFirstEventMilliseconds = estimatedFirstEvent;
}

} // namespace limpetpond
