#include "core/SchedulerRunning.h"

namespace limpetpond::detail {

namespace {

    std::uint32_t acquireRunningSlot(RunningStore& store)
    {
        if (store.freeSlots.empty()) {
            store.slots.emplace_back();
            return static_cast<std::uint32_t>(store.slots.size() - 1);
        }
        std::uint32_t index = store.freeSlots.back();
        store.freeSlots.pop_back();
        return index;
    }

} // namespace

RunningRequest* findRunning(PoolScheduler& pool, const RequestId& request)
{
    auto found = pool.running.byId.find(request);
    return found == pool.running.byId.end() ? nullptr : &pool.running.slots[found->second];
}

void addRunning(PoolScheduler& pool, QueuedRequest request, const RouteChoice& choice, SteadyTime now)
{
    std::uint32_t index = acquireRunningSlot(pool.running);
    RunningRequest& running = pool.running.slots[index];
    running.queued = std::move(request);
    running.target = choice.target;
    running.dispatchedAt = now;
    running.startedAt.reset();
    running.workToFirstToken = choice.workToFirstToken;
    running.expectedCached = choice.expectedCached;
    running.uncached = running.queued.promptTokens - choice.expectedCached;
    running.longestCachedPrefix = choice.longestCachedPrefix;
    running.isCancelling = false;
    running.inUse = true;
    pool.running.byId.emplace(running.queued.request, index);
    TargetModel& target = pool.targets[choice.target];
    addOwnWork(target, tokensOf(running.queued), 1, now);
    target.unstartedRequests += 1;
    target.unstartedPrompt += running.uncached;
    pool.tiers[running.queued.tier].running += 1;
    if (pool.settings.kind == TargetKind::ModelEngine && !isBaseline(pool.policy))
        insert(pool.prefixes, choice.target, running.queued.prefixBlocks);
    if (!running.queued.dispatchesSoFar)
        earnRetryCredit(pool.retryBudget);
}

void removeUnstartedWork(TargetModel& target, const RunningRequest& running)
{
    target.unstartedRequests -= 1;
    target.unstartedPrompt -= running.uncached;
}

} // namespace limpetpond::detail
