#include "core/Scheduler.h"

#include "core/SchedulerDispatch.h"
#include "core/SchedulerRunning.h"
#include "core/SchedulerShedding.h"
#include "core/SchedulerTargets.h"
#include <algorithm>
#include <iterator>

namespace limpetpond {

using namespace detail;

namespace {

    constexpr int floorHoldHeartbeats = 10; // heartbeat periods without pressure before the floor is lowered
    constexpr double trustGain = 0.1; // of the moving average
    constexpr std::int64_t minCachedForTrust = 256; // tokens

} // namespace

PoolScheduler makePoolScheduler(PoolId pool, InstanceId instance, std::uint64_t seed)
{
    PoolScheduler state;
    state.pool = std::move(pool);
    state.instance = std::move(instance);
    state.random = seed;
    state.retryAfterSchedule.random = seed + 1;
    return state;
}

void applySettings(PoolScheduler& pool, const Settings& settings, SteadyTime)
{
    pool.heartbeatPeriod = settings.site.heartbeatPeriod;
    auto found = settings.pools.find(pool.pool);
    if (found != settings.pools.end())
        pool.settings = found->second;
    pool.policy = routingPolicyOf(pool.settings.policy);
    pool.retryBudget.share = pool.settings.retryBudget;
    pool.accounts.clear();
    for (const auto& [id, account] : settings.accounts)
        pool.accounts.emplace(id, AccountShare { .weight = account.weight, .maxWaiting = account.maxWaiting });
    for (auto& [level, tier] : pool.tiers)
        tier.isListed = false;
    for (const TierSettings& tier : settings.tiers)
        pool.tiers[tier.level].isListed = true;
    applyTargets(pool, settings);
    sumPeerLoads(pool);
}

void enqueue(PoolScheduler& pool, QueuedRequest request, SteadyTime)
{
    if (pool.policy != RoutingPolicy::Limpetpond)
        request.tier = {};
    auto account = pool.accounts.find(request.account);
    AccountShare share = account == pool.accounts.end() ? AccountShare() : account->second;
    if (isBaseline(pool.policy))
        request.account = {};
    SteadyTime expiresAt = request.arrivedAt + pool.settings.maxWait;
    if (request.deadline)
        expiresAt = std::min(expiresAt, *request.deadline);
    if (pool.settings.kind == TargetKind::ModelEngine && !isBaseline(pool.policy))
        findKnownPrefix(pool, request);
    FairQueue& queue = pool.tiers[request.tier].queue;
    push(pool.waiting, queue, std::move(request), share, expiresAt);
    pool.waitingCount += 1;
}

bool removeWaiting(PoolScheduler& pool, const RequestId& request)
{
    auto found = pool.waiting.byId.find(request);
    if (found == pool.waiting.byId.end())
        return false;
    WaitingIndex index = found->second;
    removeRequest(pool.waiting, pool.tiers[pool.waiting.slots[index].queued.tier].queue, index);
    pool.waitingCount -= 1;
    return true;
}

void answerStarted(PoolScheduler& pool, const RequestId& request, std::optional<TokenCount> cachedPromptTokens, SteadyTime now)
{
    RunningRequest* running = findRunning(pool, request);
    if (!running || running->startedAt)
        return;
    TargetModel& target = pool.targets[running->target];
    removeUnstartedWork(target, *running);
    running->startedAt = now;
    recordSuccess(target);
    double work = running->workToFirstToken;
    if (cachedPromptTokens) {
        TokenCount uncached = std::max(TokenCount(0), running->queued.promptTokens - *cachedPromptTokens);
        work += toDouble(uncached) - toDouble(running->uncached);
        running->uncached = uncached;
        if (running->expectedCached.count() >= minCachedForTrust) {
            double trust = std::min(1.0, toDouble(*cachedPromptTokens) / toDouble(running->expectedCached));
            target.cacheTrust = std::max(0.1, target.cacheTrust + trustGain * (trust - target.cacheTrust));
        }
    }
    if (pool.settings.kind == TargetKind::ModelEngine && !isBaseline(pool.policy))
        learnFirstToken(target, std::max(work, 1.0), now - running->dispatchedAt, now);
}

void dispatchEnded(PoolScheduler& pool, const RequestId& request, DispatchEnd end, TokenCount answerTokens, SteadyTime now)
{
    RunningRequest* running = findRunning(pool, request);
    if (!running)
        return;
    TargetModel& target = pool.targets[running->target];
    if (!running->startedAt)
        removeUnstartedWork(target, *running);
    addOwnWork(target, TokenCount(0) - tokensOf(running->queued), -1, now);
    if (running->startedAt && end == DispatchEnd::Completed && answerTokens.count() > 1)
        learnDecode(target, answerTokens, now - *running->startedAt, now);
    if (end == DispatchEnd::Completed) {
        recordSuccess(target);
        recordCompletion(pool.retryAfterSchedule, now);
        pool.counters.computedPrefill += running->uncached;
        TokenCount recomputed = std::max(TokenCount(0), running->longestCachedPrefix - (running->queued.promptTokens - running->uncached));
        pool.counters.wastedPrefill += recomputed;
    }
    if (end == DispatchEnd::NotStarted || end == DispatchEnd::Lost)
        recordTargetFailure(pool, target, now);
    if ((end == DispatchEnd::Cancelled || end == DispatchEnd::Lost) && running->startedAt)
        pool.counters.wastedPrefill += running->uncached;
    pool.tiers[running->queued.tier].running -= 1;
    running->inUse = false;
    auto found = pool.running.byId.find(request);
    std::uint32_t index = found->second;
    pool.running.byId.erase(found);
    pool.running.freeSlots.push_back(index);
}

bool acquireRetry(PoolScheduler& pool, SteadyTime)
{
    return spendRetryCredit(pool.retryBudget);
}

void targetReported(PoolScheduler& pool, const TargetReported& report, SteadyTime now)
{
    auto found = pool.targetIndex.find(report.target);
    if (found == pool.targetIndex.end())
        return;
    TargetModel& target = pool.targets[found->second];
    if (report.failed)
        recordTargetFailure(pool, target, now);
    else
        applyReport(target, report);
}

void cacheChanged(PoolScheduler& pool, const CacheChanged& change)
{
    auto found = pool.targetIndex.find(change.target);
    if (found == pool.targetIndex.end())
        return;
    for (std::uint64_t block : change.added)
        markSeen(pool.seenBlocks, block);
    insert(pool.prefixes, found->second, change.added);
    erase(pool.prefixes, found->second, change.evicted);
}

void peerUpdateReceived(PoolScheduler& pool, const InstanceId& peer, const PoolUpdate& update, const std::vector<TargetUpdate>& targets,
    std::optional<SteadyTime> answersSentAt, SteadyTime)
{
    PeerState& state = pool.floors.peers[peer];
    state.update = update;
    state.targets.clear();
    std::copy_if(targets.begin(), targets.end(), std::back_inserter(state.targets),
        [&](const TargetUpdate& target) { return pool.targetIndex.contains(target.target); });
    if (answersSentAt) {
        state.hasAnswered = true;
        state.confirmedUpTo = std::max(state.confirmedUpTo.value_or(*answersSentAt), *answersSentAt);
    }
    sumPeerLoads(pool);
}

void peerListed(PoolScheduler& pool, const InstanceId& peer)
{
    pool.floors.peers[peer] = {};
}

void peerDeparted(PoolScheduler& pool, const InstanceId& peer)
{
    pool.floors.peers.erase(peer);
    sumPeerLoads(pool);
}

void decide(PoolScheduler& pool, SteadyTime now, std::vector<SchedulerDecision>& decisions)
{
    refreshTargets(pool, now);
    markExpired(pool, now);
    updateFloors(pool.floors, pool.heartbeatPeriod * floorHoldHeartbeats, now);
    markBelowFloor(pool);
    if (pool.waitingCount > 0) {
        dispatchAll(pool, now, decisions);
        shedOverAccountLimit(pool, now, decisions);
        shedOverflow(pool, now, decisions);
        recordPressures(pool, now);
        updateFloors(pool.floors, pool.heartbeatPeriod * floorHoldHeartbeats, now);
        markBelowFloor(pool);
        shedMarked(pool, now, decisions);
    }
    preemptBelowFloor(pool, now, decisions);
}

PoolUpdate makePoolUpdate(const PoolScheduler& pool)
{
    PoolUpdate update { .pool = pool.pool, .floor = pool.floors.inForce, .wantedFloor = pool.floors.wanted, .lowestServed = lowestServed(pool) };
    for (const auto& [level, tier] : pool.tiers)
        update.waitingTokensByTier.push_back(tier.queue.waitingTokens);
    return update;
}

std::vector<TargetUpdate> makeTargetUpdates(const PoolScheduler& pool)
{
    std::vector<TargetUpdate> updates;
    for (const auto& [id, index] : pool.targetIndex) {
        const TargetModel& target = pool.targets[index];
        if (!target.isListed && !target.requests)
            continue;
        updates.push_back({ .target = id,
            .tokensInProgress = target.tokens,
            .requestsInProgress = target.requests,
            .leavingMarkVersion = target.settings.mark == TargetMark::Leaving ? target.settings.markVersion : SettingsVersion() });
    }
    return updates;
}

SchedulerSnapshot snapshot(const PoolScheduler& pool)
{
    SchedulerSnapshot result { .pool = pool.pool,
        .floor = pool.floors.inForce,
        .wantedFloor = pool.floors.wanted,
        .computedPrefill = pool.counters.computedPrefill,
        .wastedPrefill = pool.counters.wastedPrefill,
        .shed = pool.counters.shed,
        .preempted = pool.counters.preempted };
    for (const auto& [level, tier] : pool.tiers) {
        result.tiers.push_back({ .tier = level,
            .waiting = tier.queue.waiting,
            .waitingTokens = tier.queue.waitingTokens,
            .inProgress = tier.running });
    }
    for (const auto& [id, index] : pool.targetIndex) {
        const TargetModel& target = pool.targets[index];
        result.targets.push_back({ .target = id,
            .mark = target.settings.mark,
            .requestsInProgress = target.requests,
            .tokensInProgress = target.tokens,
            .prefillRate = { target.prefillRate },
            .decodeRate = { target.decodeRate },
            .weight = target.weight });
    }
    return result;
}

bool isWaiting(const PoolScheduler& pool, const RequestId& request)
{
    return pool.waiting.byId.contains(request);
}

std::optional<TierLevel> lowestServed(const PoolScheduler& pool)
{
    for (const auto& [level, tier] : pool.tiers) {
        if (tier.queue.waiting || tier.running)
            return level;
    }
    return std::nullopt;
}

} // namespace limpetpond
