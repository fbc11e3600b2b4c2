#include "core/Placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace limpetpond {

namespace {

    constexpr double slownessWeight = 0.25; ///< Of the newest answer in the learned slowness.
    constexpr double failureWeight = 0.15; ///< Of the newest request in the learned share.
    constexpr double failureHalfLifeSeconds = 3; ///< A target that gets no requests is trusted again by and by.
    constexpr int failuresUntilClosed = 2;
    constexpr Duration firstClosing = std::chrono::milliseconds(500);
    constexpr int longestClosingDoublings = 3;
    constexpr double promptTokensPerMillisecond = 100; ///< Before it is learned; engines read about this many.
    constexpr double otherDomainCost = 0.15; ///< Share of the expected time added for a target in another failure domain.
    constexpr double failedRequestCost = 8; ///< Expected times that a failed request costs.
    constexpr double loadCost = 0.04; ///< Share of the expected time added for each request in progress.
    constexpr double unknownSlowness = 1; ///< For pools of which no answer is known.

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    double failureShareNow(const TargetState& target, SteadyTime now)
    {
        return target.failureShare * std::exp2(-seconds(now - target.failureShareAt) / failureHalfLifeSeconds);
    }

    void learnFailure(TargetState& target, double failed, SteadyTime now)
    {
        double share = failureShareNow(target, now);
        target.failureShare = share + failureWeight * (failed - share);
        target.failureShareAt = now;
    }

    double usualSlowness(const std::vector<TargetState>& targets)
    {
        double sum = 0;
        int known = 0;
        for (const TargetState& target : targets) {
            if (target.slowness > 0) {
                sum += target.slowness;
                ++known;
            }
        }
        return known ? sum / known : unknownSlowness;
    }

    bool isFree(const TargetState& target, SteadyTime now)
    {
        if (target.entry.isDraining || now < target.closedUntil)
            return false;
        if (target.failuresInRow >= failuresUntilClosed && target.trialInProgress)
            return false;
        return target.ownInProgress + target.peersInProgress < std::max(target.entry.slots, 1);
    }

    double expectedCost(const TargetState& target, const PlacementCase& wanted, double usual, SteadyTime now)
    {
        double slowness = target.slowness > 0 ? target.slowness : usual;
        double promptMilliseconds = (wanted.promptTokens + target.ownPromptTokens) / promptTokensPerMillisecond * (slowness / usual);
        double expected = wanted.work * slowness + promptMilliseconds;
        double factor = 1 + loadCost * (target.ownInProgress + target.peersInProgress) + failedRequestCost * failureShareNow(target, now);
        if (target.entry.failureDomain != wanted.ownFailureDomain)
            factor += otherDomainCost;
        return expected * factor;
    }

    bool isAvoided(const TargetState& target, const PlacementCase& wanted)
    {
        return wanted.avoid && std::find(wanted.avoid->begin(), wanted.avoid->end(), target.entry.id) != wanted.avoid->end();
    }

} // namespace

void noteAnswer(TargetState& target, std::optional<double> unitMilliseconds, SteadyTime now)
{
    target.failuresInRow = 0;
    target.closedUntil = {};
    learnFailure(target, 0, now);
    if (!unitMilliseconds)
        return;
    if (target.slowness <= 0)
        target.slowness = *unitMilliseconds;
    target.slowness += slownessWeight * (*unitMilliseconds - target.slowness);
}

void noteFailedAnswer(TargetState& target, SteadyTime now)
{
    target.failuresInRow = 0;
    learnFailure(target, 1, now);
}

void noteBrokenConnection(TargetState& target, SteadyTime now)
{
    learnFailure(target, 1, now);
    ++target.failuresInRow;
    if (target.failuresInRow < failuresUntilClosed)
        return;
    int doublings = std::min(target.failuresInRow - failuresUntilClosed, longestClosingDoublings);
    target.closedUntil = std::max(target.closedUntil, now + firstClosing * (1 << doublings));
}

std::optional<std::size_t> choosePlace(const std::vector<TargetState>& targets, const PlacementCase& wanted, SteadyTime now)
{
    double usual = usualSlowness(targets);
    double least = std::numeric_limits<double>::infinity();
    std::optional<std::size_t> place;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (!isFree(targets[i], now) || isAvoided(targets[i], wanted))
            continue;
        double cost = expectedCost(targets[i], wanted, usual, now);
        if (cost < least) {
            least = cost;
            place = i;
        }
    }
    return place;
}

bool hasUsableTarget(const std::vector<TargetState>& targets)
{
    return std::any_of(targets.begin(), targets.end(), [](const TargetState& target) { return !target.entry.isDraining; });
}

} // namespace limpetpond
