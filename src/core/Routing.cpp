#include "core/Routing.h"

#include <algorithm>
#include <limits>
#include <pcg_random.hpp>

namespace limpetpond {

namespace {

    // Weights of the parts of a target's score, all in seconds.
    constexpr double recomputeWeight = 1.5; // of computing prompt tokens that another target's cache holds or would hold
    constexpr double decodeWeight = 0.3; // of the time from the first token to the last
    constexpr double spreadWeight = 0.5; // of the load, so that like targets fill evenly
    constexpr double homeWeight = 0.5; // of the prompt's time, for the targets that aren't its home

    constexpr double unstartedShareOfOthers = 0.15; // of others' tokens, without own work to compare with
    constexpr double headroomPerTier = 0.08; // of a limit, left free for each tier above
    constexpr double overshoot = 1.25; // of a limit, counting others' work, which is known late
    constexpr std::size_t homeBlocks = 16; // blocks that choose a prompt's home

    double count(TokenCount tokens)
    {
        return static_cast<double>(tokens.count());
    }

    bool isPlain(const TargetModel& target)
    {
        return target.settings.kind == TargetKind::PlainService;
    }

    double ownRequestLimit(const PoolScheduler& pool, const TargetModel& target, double tierShare)
    {
        return std::max(1.0, target.settings.maxRequestsInProgress * pool.limitShare * target.weight * tierShare);
    }

    bool hasRequestRoom(const PoolScheduler& pool, const TargetModel& target, double tierShare)
    {
        if (target.requests + 1 > ownRequestLimit(pool, target, tierShare))
            return false;
        return requestsInProgress(target) + 1 <= target.settings.maxRequestsInProgress * overshoot;
    }

    // A request larger than this instance's part goes to a target that has no other work of this instance.
    bool hasTokenRoom(const PoolScheduler& pool, const TargetModel& target, TokenCount tokens, double tierShare)
    {
        if (isPlain(target))
            return true;
        double limit = count(target.settings.maxTokensInProgress) * target.weight * tierShare;
        double all = count(tokensInProgress(target)) + count(tokens);
        if (!target.requests)
            return all <= limit || !requestsInProgress(target);
        return count(target.tokens + tokens) <= limit * pool.limitShare && all <= limit * overshoot;
    }

    bool isExcluded(const PoolScheduler& pool, const QueuedRequest& request, const TargetModel& target)
    {
        if (request.excludedTarget != target.settings.id)
            return false;
        auto others = std::count_if(pool.targets.begin(), pool.targets.end(), takesWork);
        return others > 1;
    }

    TokenCount cachedAt(const PoolScheduler& pool, const QueuedRequest& request, std::size_t target)
    {
        if (request.prefixBlocks.empty() || target >= pool.matchedBlocks.size())
            return {};
        double share = pool.matchedBlocks[target] / static_cast<double>(request.prefixBlocks.size());
        double trusted = count(request.promptTokens) * share * pool.targets[target].cacheTrust;
        return TokenCount(static_cast<std::int64_t>(trusted));
    }

    // Prompt tokens that the target has still to compute, its own guess for the work of others included.
    double promptBacklog(const TargetModel& target)
    {
        double others = count(tokensInProgress(target) - target.tokens);
        double share = target.tokens.count() > 0 ? count(target.unstartedPrompt) / count(target.tokens) : unstartedShareOfOthers;
        return count(target.unstartedPrompt) + others * std::min(share, 1.0);
    }

    // The finalizer of SplitMix64: every bit of the input changes half of the output's bits.
    std::uint64_t mixed(std::uint64_t value)
    {
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
        value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
        return value ^ (value >> 31);
    }

    // A number in [0, 1) that all instances compute alike: the target with the lowest is the prompt's home.
    double distanceFromHome(const QueuedRequest& request, const TargetModel& target)
    {
        if (request.prefixBlocks.empty())
            return 0;
        std::size_t block = std::min(homeBlocks, request.prefixBlocks.size()) - 1;
        std::uint64_t hash = mixed(target.idHash ^ request.prefixBlocks[block]);
        return static_cast<double>(hash >> 11) / static_cast<double>(std::uint64_t { 1 } << 53);
    }

    double loadShare(const TargetModel& target)
    {
        if (isPlain(target))
            return requestsInProgress(target) / static_cast<double>(std::max(1, target.settings.maxRequestsInProgress));
        return count(tokensInProgress(target)) / std::max(1.0, count(target.settings.maxTokensInProgress));
    }

    struct Score {
        double value { std::numeric_limits<double>::infinity() };
        RouteChoice choice;
    };

    Score scoreModel(const PoolScheduler& pool, const QueuedRequest& request, std::size_t index)
    {
        const TargetModel& target = pool.targets[index];
        TokenCount cached = cachedAt(pool, request, index);
        double uncached = count(request.promptTokens - cached);
        double work = promptBacklog(target) + uncached;
        double firstToken = target.firstTokenBase + work / target.prefillRate;
        double decode = count(request.answerTokens) / target.decodeRate;
        double recompute = uncached / target.prefillRate;
        double value = firstToken + recomputeWeight * recompute + decodeWeight * decode + spreadWeight * loadShare(target)
            + homeWeight * recompute * distanceFromHome(request, target);
        return { .value = value,
            .choice = { .target = index, .expectedCached = cached, .workBefore = work, .secondsToEnd = firstToken + decode } };
    }

    Score scorePlain(const PoolScheduler& pool, std::size_t index)
    {
        const TargetModel& target = pool.targets[index];
        double work = requestsInProgress(target) + 1.0;
        return { .value = work / std::max(target.weight, 0.01), .choice = { .target = index } };
    }

    std::optional<RouteChoice> pickBest(PoolScheduler& pool, const QueuedRequest& request, int tiersAbove)
    {
        double tierShare = std::max(0.5, 1 - headroomPerTier * tiersAbove);
        TokenCount tokens = tokensOf(request);
        bool isModel = pool.settings.kind == TargetKind::ModelEngine;
        if (isModel)
            matchAll(pool.prefixes, request.prefixBlocks, pool.matchedBlocks);
        Score best;
        TokenCount cachedSomewhere;
        for (std::size_t index = 0; index < pool.targets.size(); ++index) {
            const TargetModel& target = pool.targets[index];
            if (!takesWork(target))
                continue;
            if (isModel)
                cachedSomewhere = std::max(cachedSomewhere, cachedAt(pool, request, index));
            bool hasRoom = hasRequestRoom(pool, target, tierShare) && hasTokenRoom(pool, target, tokens, tierShare);
            if (!hasRoom || isExcluded(pool, request, target))
                continue;
            Score score = isModel ? scoreModel(pool, request, index) : scorePlain(pool, index);
            if (score.value < best.value)
                best = score;
        }
        if (best.value == std::numeric_limits<double>::infinity())
            return std::nullopt;
        best.choice.cachedSomewhere = cachedSomewhere;
        return best.choice;
    }

    // ---- Baselines ----

    bool hasBaselineRoom(const TargetModel& target)
    {
        return takesWork(target) && target.requests < target.settings.maxRequestsInProgress;
    }

    std::optional<std::size_t> pickRoundRobin(PoolScheduler& pool)
    {
        for (std::size_t step = 0; step < pool.targets.size(); ++step) {
            std::size_t index = (pool.nextRoundRobin + step) % pool.targets.size();
            if (!hasBaselineRoom(pool.targets[index]))
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
            if (hasBaselineRoom(target) && (!best || target.requests < pool.targets[*best].requests))
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
        bool firstHasRoom = hasBaselineRoom(pool.targets[first]);
        bool secondHasRoom = hasBaselineRoom(pool.targets[second]);
        if (!firstHasRoom && !secondHasRoom)
            return pickLeastOutstanding(pool);
        if (firstHasRoom != secondHasRoom)
            return firstHasRoom ? first : second;
        return pool.targets[second].requests < pool.targets[first].requests ? second : first;
    }

    std::optional<std::size_t> pickByPrefix(const PoolScheduler& pool, const QueuedRequest& request)
    {
        std::optional<std::size_t> best;
        double bestDistance = 0;
        for (std::size_t index = 0; index < pool.targets.size(); ++index) {
            if (!hasBaselineRoom(pool.targets[index]))
                continue;
            double distance = distanceFromHome(request, pool.targets[index]);
            if (best && distance >= bestDistance)
                continue;
            best = index;
            bestDistance = distance;
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

bool takesWork(const TargetModel& target)
{
    return target.isListed && target.settings.mark == TargetMark::Serving && target.weight > 0;
}

std::optional<RouteChoice> pickTarget(PoolScheduler& pool, const QueuedRequest& request, int tiersAbove)
{
    switch (pool.policy) {
    case RoutingPolicy::Limpetpond:
    case RoutingPolicy::NoTiers:
        return pickBest(pool, request, tiersAbove);
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

Duration shortestTime(PoolScheduler& pool, const QueuedRequest& request)
{
    if (pool.settings.kind != TargetKind::ModelEngine)
        return Duration(0);
    matchAll(pool.prefixes, request.prefixBlocks, pool.matchedBlocks);
    double shortest = std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < pool.targets.size(); ++index) {
        const TargetModel& target = pool.targets[index];
        if (!takesWork(target))
            continue;
        double uncached = count(request.promptTokens - cachedAt(pool, request, index));
        double prefillRate = std::max(target.prefillRate, target.settings.prefillRate.perSecond);
        double decodeRate = std::max(target.decodeRate, target.settings.decodeRate.perSecond);
        shortest = std::min(shortest, uncached / prefillRate + count(request.answerTokens) / decodeRate);
    }
    if (shortest == std::numeric_limits<double>::infinity())
        return Duration(0);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(shortest));
}

} // namespace limpetpond
