#include "core/SchedulerDispatch.h"

#include "core/PolicyRouting.h"
#include "core/SchedulerRunning.h"
#include "core/SchedulerShedding.h"

namespace limpetpond::detail {

namespace {

    constexpr std::size_t accountsTried = 8; // in one tier for one decision
    constexpr int requestsTried = 8; // of one account, that may rather wait for a warm target
    constexpr double waitGain = 0.05;

    int tiersAbove(const PoolScheduler& pool, TierLevel tier)
    {
        int above = 0;
        for (auto entry = pool.tiers.upper_bound(tier); entry != pool.tiers.end(); ++entry)
            above += entry->second.isListed ? 1 : 0;
        return above;
    }

    // No target could meet the deadline even without other work; that is no overload.
    bool isNeverMet(PoolScheduler& pool, const QueuedRequest& request)
    {
        return request.deadline && request.arrivedAt + minCompletionTime(pool, request) > *request.deadline;
    }

    bool missesDeadline(PoolScheduler& pool, const QueuedRequest& request, const RouteChoice& choice, SteadyTime now)
    {
        if (!request.deadline || isBaseline(pool.policy))
            return false;
        auto needed = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(choice.secondsToEnd));
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
        double waited = std::chrono::duration<double>(now - request.arrivedAt).count();
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
        if (isNeverMet(pool, waiting.queued))
            shed(pool, tier, index, Reason::DeadlineExceeded, now, decisions);
        else
            markForShedding(pool.waiting, tier.queue, index, Reason::DeadlineExceeded);
        return DispatchResult::DeadlineMissed;
    }

    // Tries an account's requests in order until one leaves the queue or one fits nowhere.
    DispatchResult tryAccount(PoolScheduler& pool, TierState& tier, WaitingIndex first, SteadyTime now, std::vector<SchedulerDecision>& decisions)
    {
        WaitingIndex index = first;
        for (int tried = 0; tried < requestsTried && index != noWaitingIndex; ++tried) {
            WaitingIndex next = pool.waiting.slots[index].next;
            DispatchResult result = tryDispatch(pool, tier, index, now, decisions);
            if (result != DispatchResult::WaitsForWarmTarget)
                return result;
            index = next;
        }
        return DispatchResult::WaitsForWarmTarget;
    }

    // Dispatches the tier's requests in turn; false where one is left that fits nowhere.
    bool dispatchTier(PoolScheduler& pool, TierLevel level, TierState& tier, SteadyTime now, std::vector<SchedulerDecision>& decisions)
    {
        if (tier.queue.active.empty())
            return true;
        updateFreeCapacity(pool, tiersAbove(pool, level));
        bool isBlocked = false;
        pool.skippedAccounts.clear();
        while (pool.skippedAccounts.size() < accountsTried) {
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
    bool isFirst = true;
    for (auto entry = pool.tiers.rbegin(); entry != pool.tiers.rend(); ++entry) {
        if (entry->first < pool.floors.inForce || (onlyHighest && !isFirst))
            return;
        if (!dispatchTier(pool, entry->first, entry->second, now, decisions))
            return;
        isFirst = false;
    }
}

} // namespace limpetpond::detail
