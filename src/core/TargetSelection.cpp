#include "core/TargetSelection.h"

#include "core/Guard.h"
#include <algorithm>
#include <cmath>
#include <limits>

namespace limpetpond {

namespace {

    constexpr double unitTimeWeight = 0.25; ///< Of the newest answer in the learned millisecondsPerUnit.
    constexpr double failureWeight = 0.15; ///< Of the newest request in the learned share.
    constexpr double failureHalfLifeSeconds = 3; ///< A target that gets no requests is trusted again by and by.
    constexpr int failuresUntilEjection = 2;
    constexpr Duration firstEjection = std::chrono::milliseconds(500);
    constexpr Duration recentAnswer = std::chrono::seconds(1);
    constexpr double ejectedByPeersCost = 6; ///< Expected times added where peers can't reach the target.
    constexpr double limitCutShare = 0.6; ///< What is left of the own limit after a target had no room.
    constexpr double limitGrowth = 0.3; ///< Added to the own limit by as many answers as it counts.
    constexpr double minOwnConcurrencyLimit = 1;
    constexpr int maxEjectionDoublings = 3;
    constexpr double otherDomainCost = 0.15; ///< Share of the expected time added for a target in another failure domain.
    constexpr double failedRequestCost = 8; ///< Expected times that a failed request costs.
    constexpr double loadCost = 0.04; ///< Share of the expected time added for each request in progress.
    constexpr double roundingSlack = 1e-6; ///< A mean of whole numbers may miss a whole number by a little.
    constexpr double unknownMillisecondsPerUnit = 1; ///< For pools of which no answer is known.

    constexpr double notNearestCost = 0.25; ///< Share of the expected time added where another instance is nearer.
    constexpr double distanceCost = 0.25; ///< Share added at the farthest instance, besides.
    constexpr std::size_t leastTargetsForEachInstance = 2;
    constexpr double leastTrustToShareOut = 0.5;
    constexpr double leastDemand = 1; ///< Of an instance with a request that has just arrived.
    constexpr double ownDomainDemand = 2; ///< An instance's demand counts this many times at targets of its failure domain.
    constexpr double urgentDemand = 144; ///< What a request of the highest rank counts.
    constexpr double demandRatio = 12; ///< Between two ranks: a few urgent requests outweigh a long line of others.
    constexpr double maxRequestsPerSlot = 2.5;
    constexpr double trustedIntervals = 3; ///< Requests that last this many news intervals are seen by peers in time.
    constexpr double usedShareOfTimeLeft = 0.7; ///< The expected work is a guess that is often far off.

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    std::uint64_t mixed(std::uint64_t a, std::uint64_t b)
    {
        // The finaliser of SplitMix64: every bit of both numbers reaches every bit of the result.
        std::uint64_t x = a ^ (b * 0x9e3779b97f4a7c15U);
        x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9U;
        x = (x ^ (x >> 27)) * 0x94d049bb133111ebU;
        return x ^ (x >> 31);
    }

    double decayedFailureRate(const TargetState& target, SteadyTime now)
    {
        return target.failureRate * std::exp2(-seconds(now - target.failureRateAt) / failureHalfLifeSeconds);
    }

    void learnFailure(TargetState& target, double failed, SteadyTime now)
    {
        double share = decayedFailureRate(target, now);
        target.failureRate = share + failureWeight * (failed - share);
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

    /// Where peers can't reach a target, only the instance nearest to it and those that it answers go on trying.
    bool isLeftToTrials(const TargetState& target, SteadyTime now)
    {
        return target.ejectedByPeers > 0 && target.distance > 0 && now - target.lastAnswerAt > recentAnswer;
    }

    bool isOpen(const TargetState& target, SteadyTime now)
    {
        if ((target.entry.isDraining && !isGuardDisabled(GuardId::LeavingMarkRespected)) || isEjected(target, now) || isLeftToTrials(target, now))
            return false;
        return target.consecutiveFailures < failuresUntilEjection || !target.probeInProgress;
    }

    double slotsOf(const TargetState& target) { return std::max(target.entry.slots, 1); }

    /// What is known of the whole pool.
    struct PoolView {
        double meanMillisecondsPerUnit { 1 };
        double peersForEachSlot { 0 };
    };

    PoolView viewOf(const std::vector<TargetState>& targets)
    {
        double peers = 0;
        double slots = 0;
        for (const TargetState& target : targets) {
            peers += target.peersInProgress;
            slots += slotsOf(target);
        }
        return { .meanMillisecondsPerUnit = meanMillisecondsPerUnit(targets), .peersForEachSlot = slots > 0 ? peers / slots : 0 };
    }

    /// Requests in progress at the target, by all instances.
    double inProgress(const TargetState& target, const TargetSelectionInput& wanted, const PoolView& pool)
    {
        double mean = pool.peersForEachSlot * slotsOf(target);
        return target.ownInProgress + mean + wanted.peerUpdateWeight * (target.peersInProgress - mean);
    }

    bool hasRoom(const TargetState& target, const TargetSelectionInput& wanted, const PoolView& pool)
    {
        if (target.isAssignedToPeer || (target.ownConcurrencyLimit > 0 && target.ownInProgress + 1 > target.ownConcurrencyLimit + roundingSlack))
            return false;
        return inProgress(target, wanted, pool) + 1 <= std::floor(slotsOf(target) * wanted.requestsPerSlot) + roundingSlack;
    }

    double expectedMilliseconds(const TargetState& target, const TargetSelectionInput& wanted, double usual)
    {
        double millisecondsPerUnit = target.millisecondsPerUnit > 0 ? target.millisecondsPerUnit : usual;
        double promptMilliseconds = (wanted.promptTokens + target.ownPromptTokens) / typicalPromptTokensPerMillisecond * (millisecondsPerUnit / usual);
        return wanted.work * millisecondsPerUnit + promptMilliseconds;
    }

    double expectedCost(const TargetState& target, const TargetSelectionInput& wanted, const PoolView& pool, SteadyTime now)
    {
        double expected = expectedMilliseconds(target, wanted, pool.meanMillisecondsPerUnit);
        double busy = inProgress(target, wanted, pool);
        double waits = std::max(busy + 1 - slotsOf(target), 0.0) / slotsOf(target);
        double factor = 1 + loadCost * busy + waits + failedRequestCost * decayedFailureRate(target, now);
        if (target.entry.failureDomain != wanted.ownFailureDomain)
            factor += otherDomainCost;
        if (target.ejectedByPeers > 0)
            factor += ejectedByPeersCost;
        if (target.distance > 0)
            factor += notNearestCost + distanceCost * target.distance;
        return expected * factor;
    }

    bool isAvoided(const TargetState& target, const TargetSelectionInput& wanted)
    {
        return wanted.avoid && std::find(wanted.avoid->begin(), wanted.avoid->end(), target.entry.id) != wanted.avoid->end();
    }

} // namespace

void recordAnswer(TargetState& target, std::optional<double> unitMilliseconds, SteadyTime now)
{
    target.consecutiveFailures = 0;
    target.ejectedUntil = {};
    target.lastAnswerAt = now;
    learnFailure(target, 0, now);
    if (target.ownConcurrencyLimit > 0)
        target.ownConcurrencyLimit += limitGrowth / target.ownConcurrencyLimit;
    if (!unitMilliseconds)
        return;
    if (target.millisecondsPerUnit <= 0)
        target.millisecondsPerUnit = *unitMilliseconds;
    target.millisecondsPerUnit += unitTimeWeight * (*unitMilliseconds - target.millisecondsPerUnit);
}

void recordFailedAnswer(TargetState& target, SteadyTime now)
{
    target.consecutiveFailures = 0;
    learnFailure(target, 1, now);
}

void recordConnectionFailure(TargetState& target, ConnectionFailure kind, SteadyTime now)
{
    learnFailure(target, 1, now);
    ++target.consecutiveFailures;
    if (kind == ConnectionFailure::Late && target.consecutiveFailures < failuresUntilEjection)
        return;
    int doublings = std::clamp(target.consecutiveFailures - failuresUntilEjection, 0, maxEjectionDoublings);
    target.ejectedUntil = std::max(target.ejectedUntil, now + firstEjection * (1 << doublings));
}

void recordTargetFull(TargetState& target)
{
    double taken = std::max(target.ownInProgress - 1, 0);
    double limit = target.ownConcurrencyLimit > 0 ? std::min(target.ownConcurrencyLimit, taken + 1) : taken + 1;
    target.ownConcurrencyLimit = std::max(limit * limitCutShare, minOwnConcurrencyLimit);
}

bool isEjected(const TargetState& target, SteadyTime now) { return now < target.ejectedUntil; }

std::optional<std::size_t> chooseTarget(const std::vector<TargetState>& targets, const TargetSelectionInput& wanted, SteadyTime now)
{
    PoolView pool = viewOf(targets);
    double longest = usedShareOfTimeLeft * 1000 * seconds(wanted.timeLeft);
    double least = std::numeric_limits<double>::infinity();
    std::optional<std::size_t> place;
    std::optional<std::size_t> slowPlace;
    bool isAnyFastEnough = false;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (!isOpen(targets[i], now) || isAvoided(targets[i], wanted))
            continue;
        bool isFastEnough = expectedMilliseconds(targets[i], wanted, pool.meanMillisecondsPerUnit) <= longest;
        isAnyFastEnough = isAnyFastEnough || isFastEnough;
        if (!hasRoom(targets[i], wanted, pool))
            continue;
        double cost = expectedCost(targets[i], wanted, pool, now);
        if (!isFastEnough) {
            slowPlace = i;
            continue;
        }
        if (cost < least) {
            least = cost;
            place = i;
        }
    }
    return isAnyFastEnough ? place : slowPlace;
}

double rendezvousDistance(const FailureDomainId& targetDomain, std::uint64_t targetHash, const DispatchingInstance& here, const std::vector<DispatchingInstance>& all)
{
    auto isAmong = [&](const DispatchingInstance& instance, bool onlyOwnDomain) { return !onlyOwnDomain || instance.failureDomain == targetDomain; };
    bool onlyOwnDomain = std::any_of(all.begin(), all.end(), [&](const DispatchingInstance& instance) { return instance.failureDomain == targetDomain; });
    if (!isAmong(here, onlyOwnDomain))
        return 1;
    std::uint64_t own = mixed(here.hash, targetHash);
    int nearer = 0;
    int others = 0;
    for (const DispatchingInstance& instance : all) {
        if (instance.hash == here.hash || !isAmong(instance, onlyOwnDomain))
            continue;
        ++others;
        nearer += mixed(instance.hash, targetHash) > own;
    }
    return others ? static_cast<double>(nearer) / others : 0;
}

bool isAssignedToPeer(const FailureDomainId& targetDomain, std::uint64_t targetHash, const DispatchingInstance& here, const std::vector<DispatchingInstance>& waiting)
{
    auto lot = [&](const DispatchingInstance& instance) {
        double share = static_cast<double>(mixed(instance.hash, targetHash) >> 11) * 0x1p-53;
        double weight = std::max(instance.demand, leastDemand) * (instance.failureDomain == targetDomain ? ownDomainDemand : 1);
        return -std::log(std::max(share, 0x1p-53)) / weight;
    };
    double own = lot(here);
    return std::any_of(waiting.begin(), waiting.end(), [&](const DispatchingInstance& instance) { return lot(instance) < own; });
}

bool canPartitionTargets(std::size_t targets, std::size_t waitingInstances, double peerUpdateWeight)
{
    return targets >= leastTargetsForEachInstance * waitingInstances && peerUpdateWeight >= leastTrustToShareOut;
}

double demandOf(int rank) { return std::max(urgentDemand / std::pow(demandRatio, std::max(rank, 0)), 1.0); }

double requestsPerSlot(Duration serviceTime, Duration newsInterval)
{
    if (serviceTime <= Duration::zero())
        return 1;
    return std::min(1 + seconds(newsInterval) / seconds(serviceTime), maxRequestsPerSlot);
}

double peerUpdateWeight(Duration serviceTime, Duration newsInterval)
{
    if (serviceTime <= Duration::zero())
        return 1;
    return std::clamp(seconds(serviceTime) / (trustedIntervals * seconds(newsInterval)), 0.0, 1.0);
}

bool hasUsableTarget(const std::vector<TargetState>& targets)
{
    return std::any_of(targets.begin(), targets.end(), [](const TargetState& target) { return !target.entry.isDraining; });
}

} // namespace limpetpond
