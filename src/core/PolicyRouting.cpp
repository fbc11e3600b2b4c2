#include "core/PolicyRouting.h"

#include "core/Guard.h"
#include "core/Hash.h"
#include <algorithm>
#include <cmath>
#include <limits>
#include <pcg_random.hpp>

namespace limpetpond {

namespace {

    // Weights of the terms of a target's score, which is in seconds.
    constexpr double recomputeWeight = 2; // added to 1 for the time to compute prompt tokens that another target has cached or would cache
    constexpr double decodeWeight = 0.3; // of the time from the first token to the last
    constexpr double loadWeight = 0.5; // of the load, so that otherwise equal targets fill evenly
    constexpr double affinityWeight = 16; // of the time to compute the known prefix at a target other than its affinity target

    constexpr double unstartedShareOfOthers = 0.15; // of the tokens of other instances, if this instance has none there to compare with
    constexpr double headroomPerTier = 0.12; // of a limit, left free for each tier above
    constexpr double noCapacity = -1;
    constexpr double overcommitFactor = 1.25; // of a limit, with the work of other instances included, which is reported late
    constexpr double minWarmShare = 0.8; // of the longest cached prefix, and of the known prefix
    constexpr double waitPerSavedSecond = 20; // wait for a warm target per second of prompt time that it saves
    constexpr double waitPerMeanWait = 0.5; // wait for a warm target per second of the tier's mean wait
    constexpr double maxWarmWaitShare = 0.55; // of a request's longest wait
    constexpr int maxWarmChecks = 2; // searches for warm targets per decision
    constexpr Duration warmRecheckPeriod = std::chrono::milliseconds(500);
    constexpr std::size_t prefixHashBlocks = 16; // leading blocks that `RoutingPolicy::PrefixHash` hashes at most

    // The largest request, in tokens, that the target accepts from this instance now; negative if none.
    double freeCapacityAt(const PoolScheduler& pool, const TargetView& target)
    {
        double ownRequests = std::max(1.0, target.requestLimit * pool.limitShare * pool.tierShare);
        bool isFull = target.ownRequests + 1 > ownRequests || target.allRequests + 1 > target.requestLimit * overcommitFactor;
        if (!target.acceptsWork || isFull)
            return noCapacity;
        if (pool.settings.kind != TargetKind::ModelEngine || target.allRequests < 1)
            return std::numeric_limits<double>::infinity();
        double limit = target.tokenLimit * pool.tierShare;
        // A target without work of this instance accepts a request that is larger than this instance's share.
        if (target.ownRequests < 1)
            return limit - target.allTokens;
        return std::min(limit * pool.limitShare - target.ownTokens, limit * overcommitFactor - target.allTokens);
    }

    void updateLargestFreeCapacity(PoolScheduler& pool)
    {
        pool.largestFreeCapacity = noCapacity;
        for (const TargetView& target : pool.targetViews)
            pool.largestFreeCapacity = std::max(pool.largestFreeCapacity, target.freeCapacity);
    }

    bool isExcluded(const PoolScheduler& pool, const QueuedRequest& request, std::size_t target)
    {
        if (request.excludedTarget != pool.targets[target].settings.id)
            return false;
        auto others = std::count_if(pool.targets.begin(), pool.targets.end(), acceptsWork);
        return others > 1;
    }

    double cachedAt(const PoolScheduler& pool, const QueuedRequest& request, std::size_t target)
    {
        if (!pool.matchedBlocks[target])
            return 0;
        double share = pool.matchedBlocks[target] / static_cast<double>(request.prefixBlocks.size());
        return toDouble(request.promptTokens) * share * pool.targetViews[target].cacheTrust;
    }

    // Prompt tokens that the target has still to compute; the part for other instances is an estimate.
    double promptBacklog(const TargetModel& target)
    {
        double others = toDouble(tokensInProgress(target) - target.tokens);
        double share = target.tokens.count() > 0 ? toDouble(target.unstartedPrompt) / toDouble(target.tokens) : unstartedShareOfOthers;
        return toDouble(target.unstartedPrompt) + others * std::min(share, 1.0);
    }

    // Rendezvous hash of a block and a target, the same at every instance; the target with the lowest value has the affinity.
    std::uint64_t rendezvousHash(std::uint64_t block, std::uint64_t targetHash)
    {
        return mixBits(targetHash ^ block);
    }

    double tierShareOf(int tiersAbove)
    {
        return std::max(0.5, 1 - headroomPerTier * tiersAbove);
    }

    // The target that all instances prefer for a known prefix that no target has cached; the number of targets if the prefix is new.
    std::size_t affinityTarget(const PoolScheduler& pool, const QueuedRequest& request)
    {
        std::size_t affinityIndex = pool.targetViews.size();
        if (!request.knownPrefixBlock)
            return affinityIndex;
        std::uint64_t lowestHash = std::numeric_limits<std::uint64_t>::max();
        for (std::size_t index = 0; index < pool.targetViews.size(); ++index) {
            if (!pool.targetViews[index].acceptsWork)
                continue;
            std::uint64_t hash = rendezvousHash(request.knownPrefixBlock, pool.targetViews[index].idHash);
            if (hash >= lowestHash)
                continue;
            affinityIndex = index;
            lowestHash = hash;
        }
        return affinityIndex;
    }

    double scoreModel(const PoolScheduler& pool, const QueuedRequest& request, std::size_t index, std::size_t affinityIndex)
    {
        const TargetView& target = pool.targetViews[index];
        double recompute = (toDouble(request.promptTokens) - cachedAt(pool, request, index)) * target.secondsPerPromptToken;
        double prefixRecompute = std::max(0.0, toDouble(request.knownPrefixTokens) - cachedAt(pool, request, index)) * target.secondsPerPromptToken;
        double affinityPenalty = index == affinityIndex ? 0 : affinityWeight * prefixRecompute;
        double decode = decodeWeight * toDouble(request.answerTokens) * target.secondsPerAnswerToken;
        return target.backlogSeconds + (1 + recomputeWeight) * recompute + affinityPenalty + decode + loadWeight * target.load;
    }

    RouteChoice makeChoice(const PoolScheduler& pool, const QueuedRequest& request, std::size_t index)
    {
        RouteChoice choice { .target = index };
        if (pool.settings.kind != TargetKind::ModelEngine)
            return choice;
        const TargetView& view = pool.targetViews[index];
        double cached = cachedAt(pool, request, index);
        double uncached = toDouble(request.promptTokens) - cached;
        double longestCachedPrefix = 0;
        for (std::size_t other = 0; other < pool.targetViews.size(); ++other) {
            if (pool.targetViews[other].acceptsWork)
                longestCachedPrefix = std::max(longestCachedPrefix, cachedAt(pool, request, other));
        }
        choice.expectedCached = TokenCount(static_cast<std::int64_t>(cached));
        choice.longestCachedPrefix = TokenCount(static_cast<std::int64_t>(longestCachedPrefix));
        choice.workToFirstToken = promptBacklog(pool.targets[index]) + uncached;
        choice.secondsToEnd = view.backlogSeconds + uncached * view.secondsPerPromptToken + toDouble(request.answerTokens) * view.secondsPerAnswerToken;
        return choice;
    }

    std::optional<RouteChoice> pickBest(PoolScheduler& pool, const QueuedRequest& request)
    {
        double tokens = toDouble(tokensOf(request));
        bool isModel = pool.settings.kind == TargetKind::ModelEngine;
        if (isModel)
            matchAll(pool.prefixes, request.prefixBlocks, pool.matchedBlocks);
        std::size_t affinityIndex = affinityTarget(pool, request);
        std::optional<std::size_t> best;
        double bestScore = std::numeric_limits<double>::infinity();
        for (std::size_t index = 0; index < pool.targetViews.size(); ++index) {
            const TargetView& target = pool.targetViews[index];
            if (target.freeCapacity < tokens || isExcluded(pool, request, index))
                continue;
            double score = isModel ? scoreModel(pool, request, index, affinityIndex) : target.load;
            if (score >= bestScore)
                continue;
            best = index;
            bestScore = score;
        }
        if (!best)
            return std::nullopt;
        return makeChoice(pool, request, *best);
    }

    // Finds the targets that have at least `minWarmShare` of the longest cached prefix, or the affinity target
    // of a known prefix that no target has cached to that share.
    void findWarmTargets(PoolScheduler& pool, const QueuedRequest& request, WarmTargets& warm)
    {
        matchAll(pool.prefixes, request.prefixBlocks, pool.matchedBlocks);
        warm.count = 0;
        double longestCached = 0;
        for (std::size_t index = 0; index < pool.targetViews.size(); ++index) {
            if (pool.targetViews[index].acceptsWork)
                longestCached = std::max(longestCached, cachedAt(pool, request, index));
        }
        std::size_t affinityIndex = affinityTarget(pool, request);
        bool isCached = longestCached > 0 && longestCached >= minWarmShare * toDouble(request.knownPrefixTokens);
        if (affinityIndex < pool.targetViews.size() && (!isCached || cachedAt(pool, request, affinityIndex) >= minWarmShare * longestCached))
            warm.targets[warm.count++] = static_cast<std::uint32_t>(affinityIndex);
        for (std::size_t index = 0; isCached && index < pool.targetViews.size() && warm.count < warm.targets.size(); ++index) {
            if (index != affinityIndex && pool.targetViews[index].acceptsWork && cachedAt(pool, request, index) >= minWarmShare * longestCached)
                warm.targets[warm.count++] = static_cast<std::uint32_t>(index);
        }
        if (warm.count)
            warm.savedSeconds = std::max(longestCached, toDouble(request.knownPrefixTokens)) * pool.targetViews[warm.targets[0]].secondsPerPromptToken;
    }

    void fillTargetView(PoolScheduler& pool, std::size_t index)
    {
        const TargetModel& target = pool.targets[index];
        TargetView& view = pool.targetViews[index];
        view.acceptsWork = acceptsWork(target);
        view.tokenLimit = toDouble(target.settings.maxTokensInProgress) * target.weight;
        view.ownTokens = toDouble(target.tokens);
        view.allTokens = toDouble(tokensInProgress(target));
        view.requestLimit = target.settings.maxRequestsInProgress * target.weight;
        view.ownRequests = target.requests;
        view.allRequests = requestsInProgress(target);
        view.secondsPerPromptToken = 1 / target.prefillRate;
        view.secondsPerAnswerToken = 1 / target.decodeRate;
        view.backlogSeconds = target.firstTokenBase + promptBacklog(target) * view.secondsPerPromptToken;
        view.cacheTrust = target.cacheTrust;
        view.idHash = target.idHash;
        bool isModel = pool.settings.kind == TargetKind::ModelEngine;
        view.load = isModel ? view.allTokens / std::max(1.0, view.tokenLimit) : (view.allRequests + 1) / std::max(0.01, target.weight);
    }

    // ---- Baselines ----

    bool isBelowRequestLimit(const TargetModel& target)
    {
        return acceptsWork(target) && target.requests < target.settings.maxRequestsInProgress;
    }

    std::optional<std::size_t> pickRoundRobin(PoolScheduler& pool)
    {
        for (std::size_t step = 0; step < pool.targets.size(); ++step) {
            std::size_t index = (pool.nextRoundRobin + step) % pool.targets.size();
            if (!isBelowRequestLimit(pool.targets[index]))
                continue;
            pool.nextRoundRobin = index + 1;
            return index;
        }
        return std::nullopt;
    }

    std::optional<std::size_t> pickLeastOutstanding(const PoolScheduler& pool)
    {
        std::optional<std::size_t> best;
        for (std::size_t index = 0; index < pool.targets.size(); ++index) {
            const TargetModel& target = pool.targets[index];
            if (isBelowRequestLimit(target) && (!best || target.requests < pool.targets[*best].requests))
                best = index;
        }
        return best;
    }

    std::optional<std::size_t> pickTwoChoices(PoolScheduler& pool)
    {
        if (pool.targets.empty())
            return std::nullopt;
        pcg32 generator(pool.random);
        auto size = static_cast<std::uint32_t>(pool.targets.size());
        std::size_t first = generator(size);
        std::size_t second = generator(size);
        pool.random = (std::uint64_t { generator() } << 32) | generator();
        bool firstHasRoom = isBelowRequestLimit(pool.targets[first]);
        bool secondHasRoom = isBelowRequestLimit(pool.targets[second]);
        if (!firstHasRoom && !secondHasRoom)
            return pickLeastOutstanding(pool);
        if (firstHasRoom != secondHasRoom)
            return firstHasRoom ? first : second;
        return pool.targets[second].requests < pool.targets[first].requests ? second : first;
    }

    std::optional<std::size_t> pickByPrefix(const PoolScheduler& pool, const QueuedRequest& request)
    {
        std::optional<std::size_t> best;
        std::uint64_t lowestHash = 0;
        std::uint64_t block = request.prefixBlocks.empty() ? 0 : request.prefixBlocks[std::min(prefixHashBlocks, request.prefixBlocks.size()) - 1];
        for (std::size_t index = 0; index < pool.targets.size(); ++index) {
            if (!isBelowRequestLimit(pool.targets[index]))
                continue;
            std::uint64_t hash = rendezvousHash(block, pool.targets[index].idHash);
            if (best && hash >= lowestHash)
                continue;
            best = index;
            lowestHash = hash;
        }
        return best;
    }

    std::optional<RouteChoice> asChoice(std::optional<std::size_t> index)
    {
        if (!index)
            return std::nullopt;
        return RouteChoice { .target = *index };
    }

} // namespace

RoutingPolicy routingPolicyOf(const std::string& name)
{
    if (name == "no_tiers")
        return RoutingPolicy::NoTiers;
    if (name == "round_robin")
        return RoutingPolicy::RoundRobin;
    if (name == "least_outstanding")
        return RoutingPolicy::LeastOutstanding;
    if (name == "two_choices")
        return RoutingPolicy::TwoChoices;
    if (name == "prefix_hash")
        return RoutingPolicy::PrefixHash;
    return RoutingPolicy::Limpetpond;
}

bool acceptsWork(const TargetModel& target)
{
    bool isServing = target.settings.mark == TargetMark::Serving || isGuardDisabled(GuardId::LeavingMarkRespected);
    return target.isListed && isServing && target.weight > 0;
}

void updateTargetViews(PoolScheduler& pool)
{
    pool.warmChecksLeft = maxWarmChecks;
    pool.targetViews.resize(pool.targets.size());
    for (std::size_t index = 0; index < pool.targets.size(); ++index)
        fillTargetView(pool, index);
}

void updateTargetView(PoolScheduler& pool, std::size_t index)
{
    fillTargetView(pool, index);
    pool.targetViews[index].freeCapacity = freeCapacityAt(pool, pool.targetViews[index]);
    updateLargestFreeCapacity(pool);
}

void findKnownPrefix(PoolScheduler& pool, QueuedRequest& request)
{
    request.knownPrefixBlock = 0;
    request.knownPrefixTokens = {};
    for (std::size_t depth = 1; depth <= request.prefixBlocks.size(); depth *= 2) {
        std::uint64_t block = request.prefixBlocks[depth - 1];
        if (wasSeen(pool.seenBlocks, block)) {
            request.knownPrefixBlock = block;
            request.knownPrefixTokens = TokenCount(request.promptTokens.count() * static_cast<std::int64_t>(depth) / static_cast<std::int64_t>(request.prefixBlocks.size()));
        }
        markSeen(pool.seenBlocks, block);
    }
}

void updateFreeCapacity(PoolScheduler& pool, int tiersAbove)
{
    pool.tierShare = tierShareOf(tiersAbove);
    for (TargetView& target : pool.targetViews)
        target.freeCapacity = freeCapacityAt(pool, target);
    updateLargestFreeCapacity(pool);
}

bool fitsAnyTarget(const PoolScheduler& pool, const QueuedRequest& request)
{
    return toDouble(tokensOf(request)) <= pool.largestFreeCapacity;
}

bool waitsForWarmTarget(PoolScheduler& pool, WaitingRequest& waiting, double meanWait, SteadyTime now)
{
    if (waiting.queued.prefixBlocks.empty() || pool.settings.kind != TargetKind::ModelEngine)
        return false;
    bool isUnchecked = waiting.warm.checkedAt == SteadyTime();
    if (isUnchecked || now - waiting.warm.checkedAt > warmRecheckPeriod) {
        // Requests that were not checked in this decision are checked in a later one.
        if (pool.warmChecksLeft <= 0 && isUnchecked)
            return true;
        if (pool.warmChecksLeft > 0) {
            pool.warmChecksLeft -= 1;
            findWarmTargets(pool, waiting.queued, waiting.warm);
            waiting.warm.checkedAt = now;
        }
    }
    double longestWait = toSeconds(waiting.expiresAt - waiting.queued.arrivedAt);
    double maxWarmWait = std::min(waitPerSavedSecond * waiting.warm.savedSeconds + waitPerMeanWait * meanWait, longestWait * maxWarmWaitShare);
    double waited = toSeconds(now - waiting.queued.arrivedAt);
    if (waited > maxWarmWait)
        return false;
    double tokens = toDouble(tokensOf(waiting.queued));
    for (std::uint32_t i = 0; i < waiting.warm.count; ++i) {
        const TargetView& target = pool.targetViews[waiting.warm.targets[i]];
        if (tokens <= target.freeCapacity)
            return false;
    }
    return waiting.warm.count > 0;
}

std::optional<RouteChoice> pickTarget(PoolScheduler& pool, const QueuedRequest& request)
{
    switch (pool.policy) {
    case RoutingPolicy::Limpetpond:
    case RoutingPolicy::NoTiers:
        return pickBest(pool, request);
    case RoutingPolicy::RoundRobin:
        return asChoice(pickRoundRobin(pool));
    case RoutingPolicy::LeastOutstanding:
        return asChoice(pickLeastOutstanding(pool));
    case RoutingPolicy::TwoChoices:
        return asChoice(pickTwoChoices(pool));
    case RoutingPolicy::PrefixHash:
        return asChoice(pickByPrefix(pool, request));
    }
    return std::nullopt;
}

Duration minCompletionTime(PoolScheduler& pool, const QueuedRequest& request)
{
    if (pool.settings.kind != TargetKind::ModelEngine)
        return Duration(0);
    matchAll(pool.prefixes, request.prefixBlocks, pool.matchedBlocks);
    double shortest = std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < pool.targets.size(); ++index) {
        const TargetModel& target = pool.targets[index];
        if (!acceptsWork(target))
            continue;
        double uncached = toDouble(request.promptTokens) - cachedAt(pool, request, index);
        double prefillRate = std::max(target.prefillRate, target.settings.prefillRate.perSecond);
        double decodeRate = std::max(target.decodeRate, target.settings.decodeRate.perSecond);
        shortest = std::min(shortest, uncached / prefillRate + toDouble(request.answerTokens) / decodeRate);
    }
    if (shortest == std::numeric_limits<double>::infinity())
        return Duration(0);
    return fromSeconds(shortest);
}

} // namespace limpetpond
