#include "core/SchedulerTargets.h"

#include <algorithm>

namespace limpetpond::detail {

namespace {

    constexpr Duration refreshPeriod = std::chrono::milliseconds(50);
    constexpr std::size_t overdueChecksPerRefresh = 128; // running requests per refresh
    constexpr double baseDemand = 2'000; // tokens added to the demand of every instance
    constexpr double minEvenShareFactor = 0.25; // of the even share of a limit, which an instance gets even without demand
    constexpr double overdueFactor = 1.5; // of the expected time to the first token
    constexpr double maxEjectedShare = 0.5; // of a pool's serving targets

    std::size_t findOrAddTarget(PoolScheduler& pool, const TargetId& id)
    {
        auto found = pool.targetIndex.find(id);
        if (found != pool.targetIndex.end())
            return found->second;
        auto isFree = [](const TargetModel& target) { return !target.isListed && !target.requests; };
        auto free = std::find_if(pool.targets.begin(), pool.targets.end(), isFree);
        auto index = static_cast<std::size_t>(free - pool.targets.begin());
        if (free == pool.targets.end())
            pool.targets.emplace_back();
        else
            pool.targetIndex.erase(free->settings.id);
        pool.targets[index] = {};
        pool.targetIndex[id] = index;
        resizeTargets(pool.prefixes, pool.targets.size());
        clearTarget(pool.prefixes, index);
        return index;
    }

    double ownDemand(const PoolScheduler& pool)
    {
        double demand = 0;
        for (const auto& [tier, state] : pool.tiers)
            demand += toDouble(state.queue.waitingTokens);
        for (const TargetModel& target : pool.targets)
            demand += toDouble(target.tokens);
        return demand;
    }

    double demandOf(const PeerState& peer)
    {
        double demand = 0;
        for (TokenCount tokens : peer.update.waitingTokensByTier)
            demand += toDouble(tokens);
        for (const TargetUpdate& target : peer.targets)
            demand += toDouble(target.tokensInProgress);
        return demand;
    }

    void updateLimitShare(PoolScheduler& pool)
    {
        double own = ownDemand(pool) + baseDemand;
        double all = own;
        for (const auto& [id, peer] : pool.floors.peers)
            all += demandOf(peer) + baseDemand;
        double instances = static_cast<double>(pool.floors.peers.size()) + 1;
        pool.limitShare = std::max(own / all, minEvenShareFactor / instances);
    }

    bool mayEject(const PoolScheduler& pool)
    {
        auto isServing = [](const TargetModel& target) { return target.isListed && target.settings.mark == TargetMark::Serving; };
        auto serving = std::count_if(pool.targets.begin(), pool.targets.end(), isServing);
        auto ejected = std::count_if(pool.targets.begin(), pool.targets.end(),
            [&](const TargetModel& target) { return isServing(target) && target.isEjected; });
        return static_cast<double>(ejected + 1) <= static_cast<double>(serving) * maxEjectedShare;
    }

    // Checks a bounded number of running requests per refresh, to bound the time of a single decision.
    void learnFromOverdue(PoolScheduler& pool, SteadyTime now)
    {
        std::size_t checks = std::min(overdueChecksPerRefresh, pool.running.slots.size());
        for (std::size_t i = 0; i < checks; ++i) {
            pool.nextOverdueCheck = (pool.nextOverdueCheck + 1) % pool.running.slots.size();
            const RunningRequest& running = pool.running.slots[pool.nextOverdueCheck];
            if (!running.inUse || running.startedAt)
                continue;
            TargetModel& target = pool.targets[running.target];
            double expected = target.firstTokenBase + running.workToFirstToken / target.prefillRate;
            double elapsed = toSeconds(now - running.dispatchedAt);
            if (elapsed > overdueFactor * expected)
                learnOverdue(target, running.workToFirstToken, now - running.dispatchedAt, now);
        }
    }

} // namespace

void applyTargets(PoolScheduler& pool, const Settings& settings)
{
    for (TargetModel& target : pool.targets)
        target.isListed = false;
    for (const auto& [id, target] : settings.targets) {
        if (target.pool != pool.pool)
            continue;
        auto known = pool.targetIndex.find(id);
        bool isNew = known == pool.targetIndex.end();
        // Known targets are listed before new ones are added, so that no new target reuses a known target's index.
        if (!isNew)
            pool.targets[known->second].isListed = true;
    }
    for (const auto& [id, target] : settings.targets) {
        if (target.pool != pool.pool)
            continue;
        std::size_t index = findOrAddTarget(pool, id);
        bool isNewCapacity = pool.targets[index].settings.cacheCapacity != target.cacheCapacity
            || pool.targets[index].settings.id != id;
        applyTargetSettings(pool.targets[index], target);
        if (isNewCapacity)
            setCapacity(pool.prefixes, index, target.cacheCapacity);
    }
}

void sumPeerLoads(PoolScheduler& pool)
{
    for (TargetModel& target : pool.targets) {
        target.peerTokens = {};
        target.peerRequests = 0;
    }
    for (const auto& [id, peer] : pool.floors.peers) {
        for (const TargetUpdate& update : peer.targets) {
            auto found = pool.targetIndex.find(update.target);
            if (found == pool.targetIndex.end())
                continue;
            pool.targets[found->second].peerTokens += update.tokensInProgress;
            pool.targets[found->second].peerRequests += update.requestsInProgress;
        }
    }
}

void recordTargetFailure(PoolScheduler& pool, TargetModel& target, SteadyTime now)
{
    if (recordFailure(target) && mayEject(pool))
        eject(target, now);
}

void refreshTargets(PoolScheduler& pool, SteadyTime now)
{
    if (now - pool.refreshedAt < refreshPeriod)
        return;
    Duration step = now - pool.refreshedAt;
    pool.refreshedAt = now;
    for (TargetModel& target : pool.targets) {
        updateWeight(target, now);
        decayLearnedRates(target, step, now);
    }
    if (pool.settings.kind == TargetKind::ModelEngine && !isBaseline(pool.policy))
        learnFromOverdue(pool, now);
    updateLimitShare(pool);
}

} // namespace limpetpond::detail
