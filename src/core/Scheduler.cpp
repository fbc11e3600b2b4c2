#include "core/Scheduler.h"

#include "core/Routing.h"
#include <algorithm>
#include <iterator>

namespace limpetpond {

namespace {

    constexpr Duration refreshPeriod = std::chrono::milliseconds(50);
    constexpr double pressedQueueShare = 0.75; // of the pool's bound
    constexpr double pressedWaitShare = 0.25; // of a request's longest wait, counted from its end
    constexpr int confirmationHeartbeats = 4; // that a floor may take to be confirmed
    constexpr int floorHoldHeartbeats = 10; // without pressure before a floor is lowered
    constexpr int preemptionGraceHeartbeats = 3; // that lower work may go on under a new floor
    constexpr std::size_t accountsTried = 8; // in one tier for one decision
    constexpr int requestsTried = 8; // of one account, that may rather wait for a warm target
    constexpr std::size_t overdueChecks = 128; // running requests at a time
    constexpr double waitGain = 0.05;
    constexpr double shareBase = 2'000; // tokens of demand that every instance is granted
    constexpr double smallestShareOfEven = 0.25;
    constexpr double overdueFactor = 1.5; // of the expected time to the first token
    constexpr double mostEjectedShare = 0.5; // of a pool's serving targets
    constexpr double trustGain = 0.1;
    constexpr std::int64_t minExpectedForTrust = 256; // tokens

    bool hasTiers(const PoolScheduler& pool)
    {
        return pool.policy == RoutingPolicy::Limpetpond;
    }

    bool isBaseline(const PoolScheduler& pool)
    {
        return pool.policy != RoutingPolicy::Limpetpond && pool.policy != RoutingPolicy::NoTiers;
    }

    double count(TokenCount tokens)
    {
        return static_cast<double>(tokens.count());
    }

    // ---- Settings ----

    std::size_t placeOf(PoolScheduler& pool, const TargetId& id)
    {
        auto found = pool.targetIndex.find(id);
        if (found != pool.targetIndex.end())
            return found->second;
        auto isFree = [](const TargetModel& target) { return !target.isListed && !target.requests; };
        auto free = std::find_if(pool.targets.begin(), pool.targets.end(), isFree);
        auto place = static_cast<std::size_t>(free - pool.targets.begin());
        if (free == pool.targets.end())
            pool.targets.emplace_back();
        else
            pool.targetIndex.erase(free->settings.id);
        pool.targets[place] = {};
        pool.targetIndex[id] = place;
        resizeTargets(pool.prefixes, pool.targets.size());
        clearTarget(pool.prefixes, place);
        return place;
    }

    void applyTargets(PoolScheduler& pool, const Settings& settings)
    {
        for (TargetModel& target : pool.targets)
            target.isListed = false;
        for (const auto& [id, target] : settings.targets) {
            if (target.pool != pool.pool)
                continue;
            auto known = pool.targetIndex.find(id);
            bool isNew = known == pool.targetIndex.end();
            // Listed before a place is searched, so that a known target's place is never given away.
            if (!isNew)
                pool.targets[known->second].isListed = true;
        }
        for (const auto& [id, target] : settings.targets) {
            if (target.pool != pool.pool)
                continue;
            std::size_t place = placeOf(pool, id);
            bool isNewCapacity = pool.targets[place].settings.cacheCapacity != target.cacheCapacity
                || pool.targets[place].settings.id != id;
            applyTargetSettings(pool.targets[place], target);
            if (isNewCapacity)
                setCapacity(pool.prefixes, place, target.cacheCapacity);
        }
    }

    // ---- Shares and health ----

    double ownDemand(const PoolScheduler& pool)
    {
        double demand = 0;
        for (const auto& [tier, state] : pool.tiers)
            demand += count(state.queue.waitingTokens);
        for (const TargetModel& target : pool.targets)
            demand += count(target.tokens);
        return demand;
    }

    double demandOf(const PeerState& peer)
    {
        double demand = 0;
        for (TokenCount tokens : peer.news.waitingTokensByTier)
            demand += count(tokens);
        for (const TargetNews& target : peer.targets)
            demand += count(target.tokensInProgress);
        return demand;
    }

    void updateShare(PoolScheduler& pool)
    {
        double own = ownDemand(pool) + shareBase;
        double all = own;
        for (const auto& [id, peer] : pool.floors.peers)
            all += demandOf(peer) + shareBase;
        double instances = static_cast<double>(pool.floors.peers.size()) + 1;
        pool.limitShare = std::max(own / all, smallestShareOfEven / instances);
    }

    void sumPeers(PoolScheduler& pool)
    {
        for (TargetModel& target : pool.targets) {
            target.peerTokens = {};
            target.peerRequests = 0;
        }
        for (const auto& [id, peer] : pool.floors.peers) {
            for (const TargetNews& news : peer.targets) {
                auto found = pool.targetIndex.find(news.target);
                if (found == pool.targetIndex.end())
                    continue;
                pool.targets[found->second].peerTokens += news.tokensInProgress;
                pool.targets[found->second].peerRequests += news.requestsInProgress;
            }
        }
    }

    bool mayEject(const PoolScheduler& pool)
    {
        auto isServing = [](const TargetModel& target) { return target.isListed && target.settings.mark == TargetMark::Serving; };
        auto serving = std::count_if(pool.targets.begin(), pool.targets.end(), isServing);
        auto ejected = std::count_if(pool.targets.begin(), pool.targets.end(),
            [&](const TargetModel& target) { return isServing(target) && target.isEjected; });
        return static_cast<double>(ejected + 1) <= static_cast<double>(serving) * mostEjectedShare;
    }

    void noteTargetFailure(PoolScheduler& pool, TargetModel& target, SteadyTime now)
    {
        if (noteFailure(target) && mayEject(pool))
            eject(target, now);
    }

    // Looks at a few running requests at a time, so that no single decision pays for all.
    void learnFromOverdue(PoolScheduler& pool, SteadyTime now)
    {
        std::size_t checks = std::min(overdueChecks, pool.running.slots.size());
        for (std::size_t i = 0; i < checks; ++i) {
            pool.nextOverdueCheck = (pool.nextOverdueCheck + 1) % pool.running.slots.size();
            const RunningRequest& running = pool.running.slots[pool.nextOverdueCheck];
            if (!running.inUse || running.startedAt)
                continue;
            TargetModel& target = pool.targets[running.target];
            double expected = target.firstTokenBase + running.workBefore / target.prefillRate;
            double elapsed = std::chrono::duration<double>(now - running.dispatchedAt).count();
            if (elapsed > overdueFactor * expected)
                learnOverdue(target, running.workBefore, now - running.dispatchedAt, now);
        }
    }

    void refresh(PoolScheduler& pool, SteadyTime now)
    {
        if (now - pool.refreshedAt < refreshPeriod)
            return;
        Duration step = now - pool.refreshedAt;
        pool.refreshedAt = now;
        for (TargetModel& target : pool.targets) {
            updateWeight(target, now);
            forgetOldSpeed(target, step, now);
        }
        if (pool.settings.kind == TargetKind::ModelEngine && !isBaseline(pool))
            learnFromOverdue(pool, now);
        updateShare(pool);
    }

    // ---- Running requests ----

    std::uint32_t claimRunningSlot(RunningStore& store)
    {
        if (store.freeSlots.empty()) {
            store.slots.emplace_back();
            return static_cast<std::uint32_t>(store.slots.size() - 1);
        }
        std::uint32_t index = store.freeSlots.back();
        store.freeSlots.pop_back();
        return index;
    }

    RunningRequest* findRunning(PoolScheduler& pool, const RequestId& request)
    {
        auto found = pool.running.byId.find(request);
        return found == pool.running.byId.end() ? nullptr : &pool.running.slots[found->second];
    }

    void startWork(PoolScheduler& pool, QueuedRequest request, const RouteChoice& choice, SteadyTime now)
    {
        std::uint32_t index = claimRunningSlot(pool.running);
        RunningRequest& running = pool.running.slots[index];
        running.queued = std::move(request);
        running.target = choice.target;
        running.dispatchedAt = now;
        running.startedAt.reset();
        running.workBefore = choice.workBefore;
        running.expectedCached = choice.expectedCached;
        running.uncached = running.queued.promptTokens - choice.expectedCached;
        running.cachedSomewhere = choice.cachedSomewhere;
        running.isCancelling = false;
        running.inUse = true;
        pool.running.byId.emplace(running.queued.request, index);
        TargetModel& target = pool.targets[choice.target];
        addOwnWork(target, tokensOf(running.queued), 1, now);
        target.unstartedRequests += 1;
        target.unstartedPrompt += running.uncached;
        pool.tiers[running.queued.tier].running += 1;
        if (pool.settings.kind == TargetKind::ModelEngine && !isBaseline(pool))
            insert(pool.prefixes, choice.target, running.queued.prefixBlocks);
        if (!running.queued.dispatchesSoFar)
            earnRetry(pool.retries);
    }

    void leaveUnstarted(TargetModel& target, const RunningRequest& running)
    {
        target.unstartedRequests -= 1;
        target.unstartedPrompt -= running.uncached;
    }

    // ---- Shedding ----

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

    void shed(PoolScheduler& pool, TierState& tier, WaitingIndex index, Reason reason, SteadyTime now, std::vector<SchedulerDecision>& decisions)
    {
        QueuedRequest request = take(pool.waiting, tier.queue, index);
        pool.waitingCount -= 1;
        pool.counters.shed += 1;
        decisions.emplace_back(ShedDecision { .request = std::move(request.request),
            .reason = reason,
            .retryAfter = nextReturn(pool.returns, pool.waitingCount, now) });
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
        bool isDeadline = waiting.queued.deadline && *waiting.queued.deadline <= waiting.giveUpAt;
        return isDeadline ? Reason::DeadlineExceeded : Reason::Overloaded;
    }

    void giveUpExpired(PoolScheduler& pool, SteadyTime now)
    {
        for (auto& [level, tier] : pool.tiers) {
            while (auto next = nextExpiry(pool.waiting, tier.queue)) {
                if (next->at > now)
                    break;
                giveUp(pool.waiting, tier.queue, next->index, expiryReason(pool, pool.waiting.slots[next->index]));
            }
        }
    }

    // Everything that waits below a floor is to be shed.
    void giveUpBelowFloor(PoolScheduler& pool)
    {
        for (auto& [level, tier] : pool.tiers) {
            if (level >= pool.floors.inForce)
                return;
            while (!tier.queue.active.empty())
                giveUp(pool.waiting, tier.queue, lastOfLargest(tier.queue), Reason::Overloaded);
        }
    }

    void shedGivenUp(PoolScheduler& pool, SteadyTime now, std::vector<SchedulerDecision>& decisions)
    {
        for (auto& [level, tier] : pool.tiers) {
            if (tier.queue.givenUp.empty())
                continue;
            if (!mayShed(pool.floors, servedTiers(pool), level)) {
                notePressure(pool.floors, level, now);
                continue;
            }
            while (!tier.queue.givenUp.empty()) {
                WaitingIndex index = tier.queue.givenUp.front();
                shed(pool, tier, index, *pool.waiting.slots[index].givenUpFor, now, decisions);
            }
        }
    }

    // Sheds what is over the pool's bound, lowest tier first and there from the account that has the most waiting.
    void shedOverflow(PoolScheduler& pool, SteadyTime now, std::vector<SchedulerDecision>& decisions)
    {
        for (auto& [level, tier] : pool.tiers) {
            while (pool.waitingCount > pool.settings.maxWaiting && !tier.queue.active.empty()) {
                if (!mayShed(pool.floors, servedTiers(pool), level)) {
                    notePressure(pool.floors, level, now);
                    return;
                }
                shed(pool, tier, lastOfLargest(tier.queue), Reason::Overloaded, now, decisions);
            }
        }
    }

    void shedOverAccountLimit(PoolScheduler& pool, SteadyTime now, std::vector<SchedulerDecision>& decisions)
    {
        for (auto& [level, tier] : pool.tiers) {
            while (true) {
                WaitingIndex last = lastOfLargest(tier.queue);
                if (last == noWaitingIndex)
                    break;
                const AccountQueue& account = tier.queue.accounts[pool.waiting.slots[last].account];
                if (account.waiting <= account.share.maxWaiting)
                    break;
                if (!mayShed(pool.floors, servedTiers(pool), level)) {
                    notePressure(pool.floors, level, now);
                    break;
                }
                shed(pool, tier, last, Reason::AccountLimit, now, decisions);
            }
        }
    }

    // ---- Floors ----

    Duration confirmationTime(const PoolScheduler& pool)
    {
        return pool.heartbeatPeriod * confirmationHeartbeats;
    }

    // A tier is pressed when its oldest request runs short of time or the queue of it and all above fills up.
    void notePressures(PoolScheduler& pool, SteadyTime now)
    {
        int waitingAbove = 0;
        for (auto entry = pool.tiers.rbegin(); entry != pool.tiers.rend(); ++entry) {
            TierState& tier = entry->second;
            waitingAbove += tier.queue.waiting;
            if (!tier.queue.waiting)
                continue;
            bool isFull = waitingAbove > pool.settings.maxWaiting * pressedQueueShare;
            bool isShort = false;
            if (auto next = nextExpiry(pool.waiting, tier.queue)) {
                const WaitingRequest& waiting = pool.waiting.slots[next->index];
                Duration longest = waiting.giveUpAt - waiting.queued.arrivedAt;
                auto margin = std::chrono::duration_cast<Duration>(longest * pressedWaitShare);
                isShort = next->at - now < std::max(margin, std::min(confirmationTime(pool), longest * 3 / 4));
            }
            if (isFull || isShort)
                notePressure(pool.floors, entry->first, now);
        }
    }

    double wasteOf(const RunningRequest& running)
    {
        return running.startedAt ? count(running.uncached) : 0;
    }

    bool mayCancel(const PoolScheduler& pool, const RunningRequest& running, TierLevel floor)
    {
        const TargetModel& target = pool.targets[running.target];
        bool isServing = target.isListed && target.settings.mark == TargetMark::Serving;
        return running.inUse && !running.isCancelling && running.queued.tier < floor && running.queued.cancellable && isServing;
    }

    // The lower request whose cancellation wastes least: lowest tier first, then least computed prompt.
    RunningRequest* cheapestToCancel(PoolScheduler& pool, TierLevel floor)
    {
        RunningRequest* cheapest = nullptr;
        for (RunningRequest& running : pool.running.slots) {
            if (!mayCancel(pool, running, floor))
                continue;
            bool isCheaper = !cheapest || running.queued.tier < cheapest->queued.tier
                || (running.queued.tier == cheapest->queued.tier && wasteOf(running) < wasteOf(*cheapest));
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
            .retryAfter = nextReturn(pool.returns, pool.waitingCount, now) });
    }

    // Lower work in progress may end by itself for a while; after that it is cancelled.
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

    // ---- Dispatch ----

    int tiersAbove(const PoolScheduler& pool, TierLevel tier)
    {
        int above = 0;
        for (auto entry = pool.tiers.upper_bound(tier); entry != pool.tiers.end(); ++entry)
            above += entry->second.isListed ? 1 : 0;
        return above;
    }

    // No target could meet the deadline even without other work; that is no overload.
    bool isImpossible(PoolScheduler& pool, const QueuedRequest& request)
    {
        return request.deadline && request.arrivedAt + shortestTime(pool, request) > *request.deadline;
    }

    bool isTooLate(PoolScheduler& pool, const QueuedRequest& request, const RouteChoice& choice, SteadyTime now)
    {
        if (!request.deadline || isBaseline(pool))
            return false;
        auto needed = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(choice.secondsToEnd));
        return now + needed > *request.deadline && now + shortestTime(pool, request) > *request.deadline;
    }

    enum class TurnResult {
        Dispatched,
        GivenUp,
        WaitsForWarmTarget,
        NoRoom,
    };

    void dispatchWaiting(PoolScheduler& pool, FairQueue& queue, WaitingIndex index, const RouteChoice& choice, SteadyTime now, std::vector<SchedulerDecision>& decisions)
    {
        charge(queue, pool.waiting.slots[index]);
        QueuedRequest request = take(pool.waiting, queue, index);
        pool.waitingCount -= 1;
        double waited = std::chrono::duration<double>(now - request.arrivedAt).count();
        queue.meanWait += waitGain * (waited - queue.meanWait);
        decisions.emplace_back(DispatchDecision { .request = request.request, .target = pool.targets[choice.target].settings.id });
        startWork(pool, std::move(request), choice, now);
        viewTarget(pool, choice.target);
    }

    TurnResult takeTurn(PoolScheduler& pool, TierState& tier, WaitingIndex index, SteadyTime now, std::vector<SchedulerDecision>& decisions)
    {
        WaitingRequest& waiting = pool.waiting.slots[index];
        if (!isBaseline(pool) && !hasRoomSomewhere(pool, waiting.queued))
            return TurnResult::NoRoom;
        if (!isBaseline(pool) && waitsForWarmTarget(pool, waiting, tier.queue.meanWait, now))
            return TurnResult::WaitsForWarmTarget;
        std::optional<RouteChoice> choice = pickTarget(pool, waiting.queued);
        if (!choice)
            return TurnResult::NoRoom;
        if (!isTooLate(pool, waiting.queued, *choice, now)) {
            dispatchWaiting(pool, tier.queue, index, *choice, now, decisions);
            return TurnResult::Dispatched;
        }
        if (isImpossible(pool, waiting.queued))
            shed(pool, tier, index, Reason::DeadlineExceeded, now, decisions);
        else
            giveUp(pool.waiting, tier.queue, index, Reason::DeadlineExceeded);
        return TurnResult::GivenUp;
    }

    // Tries an account's requests in order until one leaves the queue or one fits nowhere.
    TurnResult takeAccountsTurn(PoolScheduler& pool, TierState& tier, WaitingIndex first, SteadyTime now, std::vector<SchedulerDecision>& decisions)
    {
        WaitingIndex index = first;
        for (int tried = 0; tried < requestsTried && index != noWaitingIndex; ++tried) {
            WaitingIndex next = pool.waiting.slots[index].next;
            TurnResult result = takeTurn(pool, tier, index, now, decisions);
            if (result != TurnResult::WaitsForWarmTarget)
                return result;
            index = next;
        }
        return TurnResult::WaitsForWarmTarget;
    }

    // Dispatches the tier's requests in turn; false where one is left that fits nowhere.
    bool dispatchTier(PoolScheduler& pool, TierLevel level, TierState& tier, SteadyTime now, std::vector<SchedulerDecision>& decisions)
    {
        if (tier.queue.active.empty())
            return true;
        viewRooms(pool, tiersAbove(pool, level));
        bool isBlocked = false;
        pool.skippedAccounts.clear();
        while (pool.skippedAccounts.size() < accountsTried) {
            WaitingIndex first = nextInTurn(tier.queue, pool.skippedAccounts);
            if (first == noWaitingIndex)
                break;
            std::uint32_t account = pool.waiting.slots[first].account;
            TurnResult result = takeAccountsTurn(pool, tier, first, now, decisions);
            if (result == TurnResult::NoRoom)
                isBlocked = true;
            if (result == TurnResult::NoRoom || result == TurnResult::WaitsForWarmTarget)
                pool.skippedAccounts.push_back(account);
        }
        return !isBlocked;
    }

    void dispatchAll(PoolScheduler& pool, SteadyTime now, std::vector<SchedulerDecision>& decisions)
    {
        viewTargets(pool);
        bool onlyHighest = hasUnheardPeer(pool.floors);
        bool isFirst = true;
        for (auto entry = pool.tiers.rbegin(); entry != pool.tiers.rend(); ++entry) {
            if (entry->first < pool.floors.inForce || (onlyHighest && !isFirst))
                return;
            if (!dispatchTier(pool, entry->first, entry->second, now, decisions))
                return;
            isFirst = false;
        }
    }

    bool hasWaiting(const PoolScheduler& pool)
    {
        return pool.waitingCount > 0;
    }

} // namespace

PoolScheduler makePoolScheduler(PoolId pool, InstanceId instance, std::uint64_t seed)
{
    PoolScheduler state;
    state.pool = std::move(pool);
    state.instance = std::move(instance);
    state.random = seed;
    state.returns.random = seed + 1;
    return state;
}

void applySettings(PoolScheduler& pool, const Settings& settings, SteadyTime)
{
    pool.heartbeatPeriod = settings.site.heartbeatPeriod;
    auto found = settings.pools.find(pool.pool);
    if (found != settings.pools.end())
        pool.settings = found->second;
    pool.policy = routingPolicyOf(pool.settings.policy);
    pool.retries.share = pool.settings.retryBudget;
    pool.accounts.clear();
    for (const auto& [id, account] : settings.accounts)
        pool.accounts.emplace(id, AccountShare { .weight = account.weight, .maxWaiting = account.maxWaiting });
    for (auto& [level, tier] : pool.tiers)
        tier.isListed = false;
    for (const TierSettings& tier : settings.tiers)
        pool.tiers[tier.level].isListed = true;
    applyTargets(pool, settings);
    sumPeers(pool);
}

void enqueue(PoolScheduler& pool, QueuedRequest request, SteadyTime)
{
    if (!hasTiers(pool))
        request.tier = {};
    auto account = pool.accounts.find(request.account);
    AccountShare share = account == pool.accounts.end() ? AccountShare() : account->second;
    if (isBaseline(pool))
        request.account = {};
    SteadyTime giveUpAt = request.arrivedAt + pool.settings.maxWait;
    if (request.deadline)
        giveUpAt = std::min(giveUpAt, *request.deadline);
    if (pool.settings.kind == TargetKind::ModelEngine && !isBaseline(pool))
        findHome(pool, request);
    FairQueue& queue = pool.tiers[request.tier].queue;
    push(pool.waiting, queue, std::move(request), share, giveUpAt);
    pool.waitingCount += 1;
}

bool removeWaiting(PoolScheduler& pool, const RequestId& request)
{
    auto found = pool.waiting.byId.find(request);
    if (found == pool.waiting.byId.end())
        return false;
    WaitingIndex index = found->second;
    take(pool.waiting, pool.tiers[pool.waiting.slots[index].queued.tier].queue, index);
    pool.waitingCount -= 1;
    return true;
}

void answerStarted(PoolScheduler& pool, const RequestId& request, std::optional<TokenCount> cachedPromptTokens, SteadyTime now)
{
    RunningRequest* running = findRunning(pool, request);
    if (!running || running->startedAt)
        return;
    TargetModel& target = pool.targets[running->target];
    leaveUnstarted(target, *running);
    running->startedAt = now;
    noteSuccess(target);
    double work = running->workBefore;
    if (cachedPromptTokens) {
        TokenCount uncached = std::max(TokenCount(0), running->queued.promptTokens - *cachedPromptTokens);
        work += count(uncached) - count(running->uncached);
        running->uncached = uncached;
        if (running->expectedCached.count() >= minExpectedForTrust) {
            double trust = std::min(1.0, count(*cachedPromptTokens) / count(running->expectedCached));
            target.cacheTrust = std::max(0.1, target.cacheTrust + trustGain * (trust - target.cacheTrust));
        }
    }
    if (pool.settings.kind == TargetKind::ModelEngine && !isBaseline(pool))
        learnFirstToken(target, std::max(work, 1.0), now - running->dispatchedAt, now);
}

void dispatchEnded(PoolScheduler& pool, const RequestId& request, DispatchEnd end, TokenCount answerTokens, SteadyTime now)
{
    RunningRequest* running = findRunning(pool, request);
    if (!running)
        return;
    TargetModel& target = pool.targets[running->target];
    if (!running->startedAt)
        leaveUnstarted(target, *running);
    addOwnWork(target, TokenCount(0) - tokensOf(running->queued), -1, now);
    if (running->startedAt && end == DispatchEnd::Completed && answerTokens.count() > 1)
        learnDecode(target, answerTokens, now - *running->startedAt, now);
    if (end == DispatchEnd::Completed) {
        noteSuccess(target);
        noteCompletion(pool.returns, now);
        pool.counters.computedPrefill += running->uncached;
        TokenCount known = std::max(TokenCount(0), running->cachedSomewhere - (running->queued.promptTokens - running->uncached));
        pool.counters.wastedPrefill += known;
    }
    if (end == DispatchEnd::NotStarted || end == DispatchEnd::Lost)
        noteTargetFailure(pool, target, now);
    if ((end == DispatchEnd::Cancelled || end == DispatchEnd::Lost) && running->startedAt)
        pool.counters.wastedPrefill += running->uncached;
    pool.tiers[running->queued.tier].running -= 1;
    running->inUse = false;
    auto found = pool.running.byId.find(request);
    std::uint32_t index = found->second;
    pool.running.byId.erase(found);
    pool.running.freeSlots.push_back(index);
}

bool takeRetry(PoolScheduler& pool, SteadyTime)
{
    return spendRetry(pool.retries);
}

void targetReported(PoolScheduler& pool, const TargetReported& report, SteadyTime now)
{
    auto found = pool.targetIndex.find(report.target);
    if (found == pool.targetIndex.end())
        return;
    TargetModel& target = pool.targets[found->second];
    if (report.failed)
        noteTargetFailure(pool, target, now);
    else
        takeReport(target, report);
}

void cacheChanged(PoolScheduler& pool, const CacheChanged& change)
{
    auto found = pool.targetIndex.find(change.target);
    if (found == pool.targetIndex.end())
        return;
    for (std::uint64_t block : change.added)
        noteSeen(pool.seenBlocks, block);
    insert(pool.prefixes, found->second, change.added);
    erase(pool.prefixes, found->second, change.evicted);
}

void peerNews(PoolScheduler& pool, const InstanceId& peer, const PoolNews& news, const std::vector<TargetNews>& targets,
    std::optional<SteadyTime> answersSentAt, SteadyTime)
{
    PeerState& state = pool.floors.peers[peer];
    state.news = news;
    state.targets.clear();
    std::copy_if(targets.begin(), targets.end(), std::back_inserter(state.targets),
        [&](const TargetNews& target) { return pool.targetIndex.contains(target.target); });
    if (answersSentAt) {
        state.isHeard = true;
        state.knowsSince = std::max(state.knowsSince.value_or(*answersSentAt), *answersSentAt);
    }
    sumPeers(pool);
}

void peerListed(PoolScheduler& pool, const InstanceId& peer)
{
    pool.floors.peers[peer] = {};
}

void peerDeparted(PoolScheduler& pool, const InstanceId& peer)
{
    pool.floors.peers.erase(peer);
    sumPeers(pool);
}

void decide(PoolScheduler& pool, SteadyTime now, std::vector<SchedulerDecision>& decisions)
{
    refresh(pool, now);
    giveUpExpired(pool, now);
    updateFloors(pool.floors, pool.heartbeatPeriod * floorHoldHeartbeats, now);
    giveUpBelowFloor(pool);
    if (hasWaiting(pool)) {
        dispatchAll(pool, now, decisions);
        shedOverAccountLimit(pool, now, decisions);
        shedOverflow(pool, now, decisions);
        notePressures(pool, now);
        updateFloors(pool.floors, pool.heartbeatPeriod * floorHoldHeartbeats, now);
        giveUpBelowFloor(pool);
        shedGivenUp(pool, now, decisions);
    }
    preemptBelowFloor(pool, now, decisions);
}

PoolNews poolNews(const PoolScheduler& pool)
{
    PoolNews news { .pool = pool.pool, .floor = pool.floors.inForce, .wantedFloor = pool.floors.wanted, .lowestServed = lowestServed(pool) };
    for (const auto& [level, tier] : pool.tiers)
        news.waitingTokensByTier.push_back(tier.queue.waitingTokens);
    return news;
}

std::vector<TargetNews> targetNews(const PoolScheduler& pool)
{
    std::vector<TargetNews> news;
    for (const auto& [id, place] : pool.targetIndex) {
        const TargetModel& target = pool.targets[place];
        if (!target.isListed && !target.requests)
            continue;
        news.push_back({ .target = id,
            .tokensInProgress = target.tokens,
            .requestsInProgress = target.requests,
            .leavingMarkVersion = target.settings.mark == TargetMark::Leaving ? target.settings.markVersion : SettingsVersion() });
    }
    return news;
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
    for (const auto& [id, place] : pool.targetIndex) {
        const TargetModel& target = pool.targets[place];
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
