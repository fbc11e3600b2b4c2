#include "core/SchedulerShedding.h"

#include <algorithm>

namespace limpetpond::detail {

namespace {

    constexpr double pressureQueueShare = 0.75; // of the pool's waiting limit
    constexpr double pressureWaitShare = 0.25; // last part of a request's longest wait that counts as pressure
    constexpr int confirmationHeartbeats = 4; // heartbeat periods that peers may take to confirm a floor
    constexpr int preemptionGraceHeartbeats = 3; // heartbeat periods that lower tiers may keep running under a new floor

    ServedTiers servedTiers(const PoolScheduler& pool)
    {
        ServedTiers served { .lowest = lowestServed(pool) };
        for (const auto& [tier, state] : pool.tiers) {
            if (state.isListed || state.queue.waiting || state.running) {
                served.lowestKnown = tier;
                break;
            }
        }
        return served;
    }

    bool hasServingTarget(const PoolScheduler& pool)
    {
        return std::any_of(pool.targets.begin(), pool.targets.end(),
            [](const TargetModel& target) { return target.isListed && target.settings.mark == TargetMark::Serving; });
    }

    Reason expiryReason(const PoolScheduler& pool, const WaitingRequest& waiting)
    {
        if (!hasServingTarget(pool))
            return Reason::NoTarget;
        bool isDeadline = waiting.queued.deadline && *waiting.queued.deadline <= waiting.expiresAt;
        return isDeadline ? Reason::DeadlineExceeded : Reason::Overloaded;
    }

    Duration confirmationTime(const PoolScheduler& pool)
    {
        return pool.heartbeatPeriod * confirmationHeartbeats;
    }

    double wastedPrompt(const RunningRequest& running)
    {
        return running.startedAt ? toDouble(running.uncached) : 0;
    }

    bool mayCancel(const PoolScheduler& pool, const RunningRequest& running, TierLevel floor)
    {
        const TargetModel& target = pool.targets[running.target];
        bool isServing = target.isListed && target.settings.mark == TargetMark::Serving;
        return running.inUse && !running.isCancelling && running.queued.tier < floor && running.queued.cancellable && isServing;
    }

    // The request below the floor that is cheapest to cancel: lowest tier first, then fewest prompt tokens wasted; null if none.
    RunningRequest* cheapestToCancel(PoolScheduler& pool, TierLevel floor)
    {
        RunningRequest* cheapest = nullptr;
        for (RunningRequest& running : pool.running.slots) {
            if (!mayCancel(pool, running, floor))
                continue;
            bool isCheaper = !cheapest || running.queued.tier < cheapest->queued.tier
                || (running.queued.tier == cheapest->queued.tier && wastedPrompt(running) < wastedPrompt(*cheapest));
            if (isCheaper)
                cheapest = &running;
        }
        return cheapest;
    }

    void cancel(PoolScheduler& pool, RunningRequest& running, SteadyTime now, std::vector<SchedulerDecision>& decisions)
    {
        running.isCancelling = true;
        pool.counters.preempted += 1;
        decisions.emplace_back(CancelDecision { .request = running.queued.request,
            .target = pool.targets[running.target].settings.id,
            .retryAfter = nextRetryAfter(pool.retryAfterSchedule, pool.waitingCount, now) });
    }

} // namespace

void shed(PoolScheduler& pool, TierState& tier, WaitingIndex index, Reason reason, SteadyTime now, std::vector<SchedulerDecision>& decisions)
{
    QueuedRequest request = removeRequest(pool.waiting, tier.queue, index);
    pool.waitingCount -= 1;
    pool.counters.shed += 1;
    decisions.emplace_back(ShedDecision { .request = std::move(request.request),
        .reason = reason,
        .retryAfter = nextRetryAfter(pool.retryAfterSchedule, pool.waitingCount, now) });
}

void markExpired(PoolScheduler& pool, SteadyTime now)
{
    for (auto& [level, tier] : pool.tiers) {
        while (auto next = nextExpiry(pool.waiting, tier.queue)) {
            if (next->at > now)
                break;
            markForShedding(pool.waiting, tier.queue, next->index, expiryReason(pool, pool.waiting.slots[next->index]));
        }
    }
}

void markBelowFloor(PoolScheduler& pool)
{
    for (auto& [level, tier] : pool.tiers) {
        if (level >= pool.floors.inForce)
            return;
        while (!tier.queue.active.empty())
            markForShedding(pool.waiting, tier.queue, newestOfLargestAccount(tier.queue), Reason::Overloaded);
    }
}

void shedMarked(PoolScheduler& pool, SteadyTime now, std::vector<SchedulerDecision>& decisions)
{
    for (auto& [level, tier] : pool.tiers) {
        if (tier.queue.pendingShed.empty())
            continue;
        if (!mayShed(pool.floors, servedTiers(pool), level)) {
            recordPressure(pool.floors, level, now);
            continue;
        }
        while (!tier.queue.pendingShed.empty()) {
            WaitingIndex index = tier.queue.pendingShed.front();
            shed(pool, tier, index, *pool.waiting.slots[index].shedReason, now, decisions);
        }
    }
}

void shedOverflow(PoolScheduler& pool, SteadyTime now, std::vector<SchedulerDecision>& decisions)
{
    for (auto& [level, tier] : pool.tiers) {
        while (pool.waitingCount > pool.settings.maxWaiting && !tier.queue.active.empty()) {
            if (!mayShed(pool.floors, servedTiers(pool), level)) {
                recordPressure(pool.floors, level, now);
                return;
            }
            shed(pool, tier, newestOfLargestAccount(tier.queue), Reason::Overloaded, now, decisions);
        }
    }
}

void shedOverAccountLimit(PoolScheduler& pool, SteadyTime now, std::vector<SchedulerDecision>& decisions)
{
    for (auto& [level, tier] : pool.tiers) {
        while (true) {
            WaitingIndex last = newestOfLargestAccount(tier.queue);
            if (last == noWaitingIndex)
                break;
            const AccountQueue& account = tier.queue.accounts[pool.waiting.slots[last].account];
            if (account.waiting <= account.share.maxWaiting)
                break;
            if (!mayShed(pool.floors, servedTiers(pool), level)) {
                recordPressure(pool.floors, level, now);
                break;
            }
            shed(pool, tier, last, Reason::AccountLimit, now, decisions);
        }
    }
}

void recordPressures(PoolScheduler& pool, SteadyTime now)
{
    int waitingAbove = 0;
    for (auto entry = pool.tiers.rbegin(); entry != pool.tiers.rend(); ++entry) {
        TierState& tier = entry->second;
        waitingAbove += tier.queue.waiting;
        if (!tier.queue.waiting)
            continue;
        bool isFull = waitingAbove > pool.settings.maxWaiting * pressureQueueShare;
        bool isExpiring = false;
        if (auto next = nextExpiry(pool.waiting, tier.queue)) {
            const WaitingRequest& waiting = pool.waiting.slots[next->index];
            Duration longestWait = waiting.expiresAt - waiting.queued.arrivedAt;
            auto margin = std::chrono::duration_cast<Duration>(longestWait * pressureWaitShare);
            isExpiring = next->at - now < std::max(margin, std::min(confirmationTime(pool), longestWait * 3 / 4));
        }
        if (isFull || isExpiring)
            recordPressure(pool.floors, entry->first, now);
    }
}

void preemptBelowFloor(PoolScheduler& pool, SteadyTime now, std::vector<SchedulerDecision>& decisions)
{
    if (!pool.floors.inForce.level || now - pool.floors.inForceSince < pool.heartbeatPeriod * preemptionGraceHeartbeats)
        return;
    std::optional<TierLevel> lowest = lowestServed(pool);
    if (!lowest || *lowest >= pool.floors.inForce)
        return;
    while (RunningRequest* running = cheapestToCancel(pool, pool.floors.inForce))
        cancel(pool, *running, now, decisions);
}

} // namespace limpetpond::detail
