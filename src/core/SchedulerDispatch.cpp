#include "core/SchedulerDispatch.h"

#include "core/PolicyRouting.h"
#include "core/SchedulerRunning.h"
#include "core/SchedulerShedding.h"

namespace limpetpond::detail {

namespace {

    constexpr std::size_t maxSkippedAccounts = 8; // accounts of a tier that may be skipped in one decision
    constexpr int maxRequestsTried = 8; // requests of an account, as long as each waits for a warm target
    constexpr double waitGain = 0.05; // of the moving average

    int tiersAbove(const PoolScheduler& pool, TierLevel tier)
    {
        int above = 0;
        for (auto entry = pool.tiers.upper_bound(tier); entry != pool.tiers.end(); ++entry)
            above += entry->second.isListed ? 1 : 0;
        return above;
    }

    // True if no target could have met the deadline even without other work, so overload is not the cause.
    bool isDeadlineImpossible(PoolScheduler& pool, const QueuedRequest& request)
    {
        return request.deadline && request.arrivedAt + minCompletionTime(pool, request) > *request.deadline;
    }

    bool missesDeadline(PoolScheduler& pool, const QueuedRequest& request, const RouteChoice& choice, SteadyTime now)
    {
        if (!request.deadline || isBaseline(pool.policy))
            return false;
        auto needed = fromSeconds(choice.secondsToEnd);
        return now + needed > *request.deadline && now + minCompletionTime(pool, request) > *request.deadline;
    }

    enum class DispatchResult {
        Dispatched,
        DeadlineMissed,
        WaitsForWarmTarget,
        NoCapacity,
    };

    void dispatchWaiting(PoolScheduler& pool, FairQueue& queue, WaitingIndex index, const RouteChoice& choice, SteadyTime now, std::vector<SchedulerDecision>& decisions)
    {
        charge(queue, pool.waiting.slots[index]);
        QueuedRequest request = removeRequest(pool.waiting, queue, index);
        pool.waitingCount -= 1;
        double waited = toSeconds(now - request.arrivedAt);
        queue.meanWait += waitGain * (waited - queue.meanWait);
        decisions.emplace_back(DispatchDecision { .request = request.request, .target = pool.targets[choice.target].settings.id });
        addRunning(pool, std::move(request), choice, now);
        updateTargetView(pool, choice.target);
    }

    DispatchResult tryDispatch(PoolScheduler& pool, TierState& tier, WaitingIndex index, SteadyTime now, std::vector<SchedulerDecision>& decisions)
    {
        WaitingRequest& waiting = pool.waiting.slots[index];
        if (!isBaseline(pool.policy) && !fitsAnyTarget(pool, waiting.queued))
            return DispatchResult::NoCapacity;
        if (!isBaseline(pool.policy) && waitsForWarmTarget(pool, waiting, tier.queue.meanWait, now))
            return DispatchResult::WaitsForWarmTarget;
        std::optional<RouteChoice> choice = pickTarget(pool, waiting.queued);
        if (!choice)
            return DispatchResult::NoCapacity;
        if (!missesDeadline(pool, waiting.queued, *choice, now)) {
            dispatchWaiting(pool, tier.queue, index, *choice, now, decisions);
            return DispatchResult::Dispatched;
        }
        if (isDeadlineImpossible(pool, waiting.queued))
            shed(pool, tier, index, Reason::DeadlineExceeded, now, decisions);
        else
            markForShedding(pool.waiting, tier.queue, index, Reason::DeadlineExceeded);
        return DispatchResult::DeadlineMissed;
    }

    // Tries an account's requests in order until one is dispatched, misses its deadline or fits no target.
    DispatchResult tryAccount(PoolScheduler& pool, TierState& tier, WaitingIndex first, SteadyTime now, std::vector<SchedulerDecision>& decisions)
    {
        WaitingIndex index = first;
        for (int tried = 0; tried < maxRequestsTried && index != noWaitingIndex; ++tried) {
            WaitingIndex next = pool.waiting.slots[index].next;
            DispatchResult result = tryDispatch(pool, tier, index, now, decisions);
            if (result != DispatchResult::WaitsForWarmTarget)
                return result;
            index = next;
        }
        return DispatchResult::WaitsForWarmTarget;
    }

    // Dispatches the tier's requests in fair order; false if a request is left that fits no target.
    bool dispatchTier(PoolScheduler& pool, TierLevel level, TierState& tier, SteadyTime now, std::vector<SchedulerDecision>& decisions)
    {
        if (tier.queue.active.empty())
            return true;
        updateFreeCapacity(pool, tiersAbove(pool, level));
        bool isBlocked = false;
        pool.skippedAccounts.clear();
        while (pool.skippedAccounts.size() < maxSkippedAccounts) {
            WaitingIndex first = selectNext(tier.queue, pool.skippedAccounts);
            if (first == noWaitingIndex)
                break;
            std::uint32_t account = pool.waiting.slots[first].account;
            DispatchResult result = tryAccount(pool, tier, first, now, decisions);
            if (result == DispatchResult::NoCapacity)
                isBlocked = true;
            if (result == DispatchResult::NoCapacity || result == DispatchResult::WaitsForWarmTarget)
                pool.skippedAccounts.push_back(account);
        }
        return !isBlocked;
    }

} // namespace

void dispatchAll(PoolScheduler& pool, SteadyTime now, std::vector<SchedulerDecision>& decisions)
{
    updateTargetViews(pool);
    bool onlyHighest = hasPendingPeer(pool.floors);
    bool isHighest = true;
    for (auto entry = pool.tiers.rbegin(); entry != pool.tiers.rend(); ++entry) {
        if (entry->first < pool.floors.inForce || (onlyHighest && !isHighest))
            return;
        if (!dispatchTier(pool, entry->first, entry->second, now, decisions))
            return;
        isHighest = false;
    }
}

} // namespace limpetpond::detail
