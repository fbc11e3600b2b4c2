#include "core/TargetSelection.h"

#include "core/Guard.h"
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace limpetpond {

namespace {

    constexpr double unitTimeWeight = 0.25; ///< Weight of the latest answer in the moving average.
    constexpr double failureRateWeight = 0.15; ///< Weight of the latest request in the moving average.
    constexpr double failureHalfLifeSeconds = 3; ///< Lets a target that receives no requests be selected again after a while.
    constexpr int failuresUntilEjection = 2;
    constexpr Duration firstEjectionTime = std::chrono::milliseconds(500);
    constexpr Duration recentAnswerAge = std::chrono::seconds(1);
    constexpr double ejectedByPeersCost = 6; ///< Expected times added when peers have ejected the target.
    constexpr double limitDecreaseFactor = 0.6; ///< Multiplies the own concurrency limit when the target rejects a request for lack of a free slot.
    constexpr double limitIncrease = 0.3; ///< Added to the own concurrency limit over as many answers as the limit.
    constexpr double minOwnConcurrencyLimit = 1;
    constexpr int maxEjectionDoublings = 3;
    constexpr double otherDomainCost = 0.15; ///< Share of the expected time added for a target in another failure domain.
    constexpr double failedRequestCost = 8; ///< Expected times that a failed request costs.
    constexpr double costPerRequestInProgress = 0.04; ///< Share of the expected time added for each request in progress.
    constexpr double roundingSlack = 1e-6; ///< Allows for rounding errors in counts computed from means.
    constexpr double unknownMillisecondsPerUnit = 1; ///< For pools whose targets have not answered yet.

    constexpr double firstTokenMilliseconds = 60; ///< Sending, admission and one step, at a target of mean speed.
    constexpr double firstEventFactorWeight = 0.05; ///< Weight of the latest answer in the moving average.
    constexpr double minFirstEventFactor = 0.5;
    constexpr double maxFirstEventFactor = 4; ///< Bounds the effect of single answers that waited behind others.

    constexpr double notNearestCost = 0.25; ///< Share of the expected time added when another instance is nearer.
    constexpr double farthestCost = 0.25; ///< Further share of the expected time added at the farthest instance, in proportion at nearer ones.
    constexpr double maxRequestsPerSlot = 2.5;
    constexpr double fullWeightIntervals = 3; ///< Requests that last this many update intervals are known to peers in time.
    constexpr double returnSeconds = 1; ///< In which the own requests at a target grow from one to its slots after a pause.
    constexpr double usableShareOfTimeLeft = 0.7; ///< Leaves a margin, because the estimate of the work is often far off.

    double decayedFailureRate(const TargetState& target, SteadyTime now)
    {
        return target.failureRate * std::exp2(-toSeconds(now - target.failureRateAt) / failureHalfLifeSeconds);
    }

    void updateFailureRate(TargetState& target, double failed, SteadyTime now)
    {
        double rate = decayedFailureRate(target, now);
        target.failureRate = rate + failureRateWeight * (failed - rate);
        target.failureRateAt = now;
    }

    double meanMillisecondsPerUnit(const std::vector<TargetState>& targets)
    {
        double sum = 0;
        int known = 0;
        for (const TargetState& target : targets) {
            if (target.millisecondsPerUnit > 0) {
                sum += target.millisecondsPerUnit;
                ++known;
            }
        }
        return known ? sum / known : unknownMillisecondsPerUnit;
    }

    /// Whether this instance sends nothing to a target that peers have ejected. The nearest instance and those with a
    /// recent answer of the target go on sending.
    bool isLeftToNearestInstance(const TargetState& target, SteadyTime now)
    {
        return target.ejectedByPeers > 0 && target.distance > 0 && now - target.lastAnswerAt > recentAnswerAge;
    }

    bool isSelectable(const TargetState& target, SteadyTime now)
    {
        if (!isUsable(target) || isPaused(target, now) || isEjected(target, now) || isLeftToNearestInstance(target, now))
            return false;
        if (!isWithinRateLimit(target.rateLimit, now) && !isGuardDisabled(GuardId::RateLimitKept))
            return false;
        return target.consecutiveFailures < failuresUntilEjection || !target.probeInProgress;
    }

    double slotsOf(const TargetState& target) { return std::max(target.entry.slots, 1); }

    /// How soon a target would answer a request. The request waits for a busy target of the first class that has any,
    /// instead of taking a free slot of a slower one.
    enum class SpeedClass : std::size_t {
        MeetsObjective,
        EndsInTime, ///< By the request's deadline, with a margin.
        TooSlow,
        Count,
    };

    /// The targets of one speed class.
    struct Candidates {
        bool isAny { false };
        double leastCost { std::numeric_limits<double>::infinity() }; ///< Of those with a free slot.
        std::optional<std::size_t> index;
    };

    /// Means over all targets of the pool.
    struct PoolView {
        double meanMillisecondsPerUnit { 1 };
        double peerRequestsPerSlot { 0 };
        int ownInProgress { 0 }; ///< Sum over all targets.
    };

    PoolView viewOf(const std::vector<TargetState>& targets)
    {
        double peers = 0;
        double slots = 0;
        int own = 0;
        for (const TargetState& target : targets) {
            if (!target.isVersionAllowed)
                continue; // The slots of a version that gets nothing would make the others look idle.
            peers += target.peersInProgress;
            slots += slotsOf(target);
            own += target.ownInProgress;
        }
        return { .meanMillisecondsPerUnit = meanMillisecondsPerUnit(targets), .peerRequestsPerSlot = slots > 0 ? peers / slots : 0, .ownInProgress = own };
    }

    /// Estimated requests in progress at the target, of all instances.
    double inProgress(const TargetState& target, const TargetSelectionInput& input, const PoolView& pool)
    {
        double mean = pool.peerRequestsPerSlot * slotsOf(target);
        return target.ownInProgress + mean + input.peerUpdateWeight * (target.peersInProgress - mean);
    }

    /// The own requests that may be in progress at a target that was paused.
    double returningRequests(const TargetState& target, SteadyTime now)
    {
        if (target.notice.pausedUntil == SteadyTime {} || isGuardDisabled(GuardId::PauseKept))
            return std::numeric_limits<double>::infinity();
        return 1 + slotsOf(target) * toSeconds(now - target.notice.pausedUntil) / returnSeconds;
    }

    bool hasFreeSlot(const TargetState& target, const TargetSelectionInput& input, const PoolView& pool, SteadyTime now)
    {
        if (target.assignedSlots && target.ownInProgress >= *target.assignedSlots)
            return false;
        if (target.ownConcurrencyLimit > 0 && target.ownInProgress + 1 > target.ownConcurrencyLimit + roundingSlack)
            return false;
        if (target.ownInProgress + 1 > returningRequests(target, now) + roundingSlack)
            return false;
        // Counts of calls that ended before the update arrived would stop all instances at once, and start them at once.
        if (input.ownRequestsAllowed)
            return true;
        return inProgress(target, input, pool) + 1 <= requestsAllowed(target, input.requestsPerSlot) + roundingSlack;
    }

    /// Tokens of the prompt that the target has to read.
    double tokensToRead(const TargetSelectionInput& input, std::size_t index)
    {
        double cached = index < input.cachedTokens.size() ? input.cachedTokens[index] : 0;
        return std::max(input.promptTokens - cached, 0.0);
    }

    double expectedMilliseconds(const TargetState& target, const TargetSelectionInput& input, double promptTokens, double mean)
    {
        double millisecondsPerUnit = target.millisecondsPerUnit > 0 ? target.millisecondsPerUnit : mean;
        double promptMilliseconds = (promptTokens + target.ownPromptTokens) / typicalPromptTokensPerMillisecond * (millisecondsPerUnit / mean);
        return input.work * millisecondsPerUnit + promptMilliseconds;
    }

    double firstEventMilliseconds(const TargetState& target, double promptTokens, double mean)
    {
        double slowness = target.millisecondsPerUnit > 0 ? target.millisecondsPerUnit / mean : 1;
        return slowness * (firstTokenMilliseconds + (promptTokens + target.ownPromptTokens) / typicalPromptTokensPerMillisecond);
    }

    bool meetsObjective(const TargetState& target, const TargetSelectionInput& input, double promptTokens, double mean)
    {
        if (!input.timeToObjective)
            return true;
        return input.firstEventFactor * firstEventMilliseconds(target, promptTokens, mean) <= 1000 * toSeconds(*input.timeToObjective);
    }

    SpeedClass speedClassOf(const TargetState& target, const TargetSelectionInput& input, double promptTokens, double mean)
    {
        if (expectedMilliseconds(target, input, promptTokens, mean) > usableShareOfTimeLeft * 1000 * toSeconds(input.timeLeft))
            return SpeedClass::TooSlow;
        return meetsObjective(target, input, promptTokens, mean) ? SpeedClass::MeetsObjective : SpeedClass::EndsInTime;
    }

    double expectedCost(const TargetState& target, const TargetSelectionInput& input, double promptTokens, const PoolView& pool, SteadyTime now)
    {
        double expected = expectedMilliseconds(target, input, promptTokens, pool.meanMillisecondsPerUnit);
        double busy = inProgress(target, input, pool);
        double excess = std::max(busy + 1 - slotsOf(target), 0.0) / slotsOf(target);
        double factor = 1 + costPerRequestInProgress * busy + excess + failedRequestCost * decayedFailureRate(target, now);
        if (target.entry.failureDomain != input.ownFailureDomain)
            factor += otherDomainCost;
        if (target.ejectedByPeers > 0)
            factor += ejectedByPeersCost;
        // Where a part of the prompt selects the target, it also orders the instances.
        if (target.distance > 0 && promptTokens >= input.promptTokens)
            factor += notNearestCost + farthestCost * target.distance;
        double slowness = target.millisecondsPerUnit > 0 ? target.millisecondsPerUnit / pool.meanMillisecondsPerUnit : 1;
        double delayOfOthers = busy * slowness * promptTokens / typicalPromptTokensPerMillisecond;
        return expected * factor + delayOfOthers;
    }

    bool isAvoided(const TargetState& target, const TargetSelectionInput& input)
    {
        return input.avoid && std::find(input.avoid->begin(), input.avoid->end(), target.entry.id) != input.avoid->end();
    }

} // namespace

void recordAnswer(TargetState& target, std::optional<double> unitMilliseconds, SteadyTime now)
{
    target.consecutiveFailures = 0;
    target.ejectedUntil = {};
    target.lastAnswerAt = now;
    updateFailureRate(target, 0, now);
    if (target.ownConcurrencyLimit > 0)
        target.ownConcurrencyLimit += limitIncrease / target.ownConcurrencyLimit;
    if (!unitMilliseconds)
        return;
    if (target.millisecondsPerUnit <= 0)
        target.millisecondsPerUnit = *unitMilliseconds;
    target.millisecondsPerUnit += unitTimeWeight * (*unitMilliseconds - target.millisecondsPerUnit);
}

void recordFailedAnswer(TargetState& target, SteadyTime now)
{
    target.consecutiveFailures = 0;
    updateFailureRate(target, 1, now);
}

void recordConnectionFailure(TargetState& target, ConnectionFailure failure, SteadyTime now)
{
    updateFailureRate(target, 1, now);
    ++target.consecutiveFailures;
    if (failure == ConnectionFailure::Late && target.consecutiveFailures < failuresUntilEjection)
        return;
    int doublings = std::clamp(target.consecutiveFailures - failuresUntilEjection, 0, maxEjectionDoublings);
    target.ejectedUntil = std::max(target.ejectedUntil, now + firstEjectionTime * (1 << doublings));
}

void recordTargetFull(TargetState& target)
{
    double accepted = std::max(target.ownInProgress - 1, 0);
    double limit = target.ownConcurrencyLimit > 0 ? std::min(target.ownConcurrencyLimit, accepted + 1) : accepted + 1;
    target.ownConcurrencyLimit = std::max(limit * limitDecreaseFactor, minOwnConcurrencyLimit);
}

bool isPaused(const TargetState& target, SteadyTime now) { return now < target.notice.pausedUntil && !isGuardDisabled(GuardId::PauseKept); }

std::optional<SteadyTime> poolPausedUntil(const std::vector<TargetState>& targets, SteadyTime now)
{
    std::optional<SteadyTime> first;
    for (const TargetState& target : targets) {
        if (!isUsable(target))
            continue;
        if (!isPaused(target, now))
            return std::nullopt;
        first = std::min(first.value_or(target.notice.pausedUntil), target.notice.pausedUntil);
    }
    return first;
}

bool isEjected(const TargetState& target, SteadyTime now) { return now < target.ejectedUntil; }

std::optional<std::size_t> chooseTarget(const std::vector<TargetState>& targets, const TargetSelectionInput& input, SteadyTime now)
{
    PoolView pool = viewOf(targets);
    if (input.ownRequestsAllowed && pool.ownInProgress >= *input.ownRequestsAllowed)
        return std::nullopt;
    std::array<Candidates, static_cast<std::size_t>(SpeedClass::Count)> candidates;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (targets[i].isSample != input.usesSamples || !isSelectable(targets[i], now) || isAvoided(targets[i], input))
            continue;
        double promptTokens = tokensToRead(input, i);
        Candidates& speedClass = candidates[static_cast<std::size_t>(speedClassOf(targets[i], input, input.promptTokens, pool.meanMillisecondsPerUnit))];
        speedClass.isAny = true;
        if (!hasFreeSlot(targets[i], input, pool, now))
            continue;
        double cost = expectedCost(targets[i], input, promptTokens, pool, now);
        if (cost < speedClass.leastCost) {
            speedClass.leastCost = cost;
            speedClass.index = i;
        }
    }
    for (const Candidates& speedClass : candidates) {
        if (speedClass.isAny)
            return speedClass.index;
    }
    return std::nullopt;
}

double estimatedFirstEventMilliseconds(const std::vector<TargetState>& targets, std::size_t index, double promptTokens)
{
    return firstEventMilliseconds(targets[index], promptTokens, meanMillisecondsPerUnit(targets));
}

void updateFirstEventFactor(double& factor, double measuredMilliseconds, double estimatedMilliseconds)
{
    if (estimatedMilliseconds <= 0)
        return;
    double measured = std::clamp(measuredMilliseconds / estimatedMilliseconds, minFirstEventFactor, maxFirstEventFactor);
    factor += firstEventFactorWeight * (measured - factor);
}

double requestsPerSlot(Duration serviceTime, Duration updateInterval)
{
    if (serviceTime <= Duration::zero())
        return 1;
    return std::min(1 + toSeconds(updateInterval) / toSeconds(serviceTime), maxRequestsPerSlot);
}

int requestsAllowed(const TargetState& target, double requestsPerSlot) { return static_cast<int>(std::floor(slotsOf(target) * requestsPerSlot)); }

double peerUpdateWeight(Duration serviceTime, Duration updateInterval)
{
    if (serviceTime <= Duration::zero())
        return 1;
    return std::clamp(toSeconds(serviceTime) / (fullWeightIntervals * toSeconds(updateInterval)), 0.0, 1.0);
}

bool isLeaving(const TargetState& target)
{
    if (target.entry.isDraining && !isGuardDisabled(GuardId::LeavingMarkRespected))
        return true;
    return target.notice.isLeaving && !isGuardDisabled(GuardId::LeavingAnswerRespected);
}

bool isUsable(const TargetState& target) { return target.isVersionAllowed && !isLeaving(target); }

bool hasUsableTarget(const std::vector<TargetState>& targets) { return std::any_of(targets.begin(), targets.end(), isUsable); }

} // namespace limpetpond
