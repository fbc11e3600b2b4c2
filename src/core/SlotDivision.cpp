#include "core/SlotDivision.h"

#include <algorithm>
#include <cmath>

namespace limpetpond {

namespace {

    constexpr std::size_t minTargetsPerInstance = 2;
    constexpr double minWeightForTargets = 0.5;
    constexpr double minDemand = 1; ///< Demand of an instance whose request has just arrived.
    constexpr double ownDomainDemandFactor = 2; ///< Multiplies an instance's demand at targets of its failure domain.
    constexpr double demandOfRank0 = 144; ///< Weight of a request of the most urgent rank.
    constexpr double demandRatioOfRanks = 12; ///< Ratio between neighbouring ranks: a few urgent requests outweigh many others.
    constexpr double arrivalRateSeconds = 0.5; ///< Time constant of the average of arrivals.
    constexpr double sharedRequestsPerSlot = 1.5; ///< Covers the way back of answers and the way of the next requests.

    std::uint64_t mixHash(std::uint64_t a, std::uint64_t b)
    {
        // The finaliser of SplitMix64: every bit of both numbers affects every bit of the result.
        std::uint64_t x = a ^ (b * 0x9e3779b97f4a7c15U);
        x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9U;
        x = (x ^ (x >> 27)) * 0x94d049bb133111ebU;
        return x ^ (x >> 31);
    }

} // namespace

double rendezvousDistance(const FailureDomainId& targetDomain, std::uint64_t targetHash, const DispatchingInstance& here, const std::vector<DispatchingInstance>& all)
{
    auto isCandidate = [&](const DispatchingInstance& instance, bool onlyOwnDomain) { return !onlyOwnDomain || instance.failureDomain == targetDomain; };
    bool onlyOwnDomain = std::any_of(all.begin(), all.end(), [&](const DispatchingInstance& instance) { return instance.failureDomain == targetDomain; });
    if (!isCandidate(here, onlyOwnDomain))
        return 1;
    std::uint64_t own = mixHash(here.hash, targetHash);
    int nearer = 0;
    int others = 0;
    for (const DispatchingInstance& instance : all) {
        if (instance.hash == here.hash || !isCandidate(instance, onlyOwnDomain))
            continue;
        ++others;
        nearer += mixHash(instance.hash, targetHash) > own;
    }
    return others ? static_cast<double>(nearer) / others : 0;
}

bool isAssignedToPeer(const FailureDomainId& targetDomain, std::uint64_t targetHash, const DispatchingInstance& here, const std::vector<DispatchingInstance>& waiting)
{
    auto weightedHash = [&](const DispatchingInstance& instance) {
        double share = static_cast<double>(mixHash(instance.hash, targetHash) >> 11) * 0x1p-53;
        double weight = std::max(instance.demand, minDemand) * (instance.failureDomain == targetDomain ? ownDomainDemandFactor : 1);
        return -std::log(std::max(share, 0x1p-53)) / weight;
    };
    double own = weightedHash(here);
    return std::any_of(waiting.begin(), waiting.end(), [&](const DispatchingInstance& instance) { return weightedHash(instance) < own; });
}

int countAssignedSlots(const FailureDomainId& targetDomain, std::uint64_t targetHash, int slots, const DispatchingInstance& here, const std::vector<DispatchingInstance>& waiting)
{
    int assigned = 0;
    for (int slot = 0; slot < slots; ++slot)
        assigned += !isAssignedToPeer(targetDomain, mixHash(targetHash, static_cast<std::uint64_t>(slot)), here, waiting);
    return assigned;
}

int countAllowedRequests(int slotsOfPool, const DispatchingInstance& here, const std::vector<DispatchingInstance>& peers)
{
    double own = std::max(here.demand, minDemand);
    double all = own;
    for (const DispatchingInstance& peer : peers)
        all += peer.demand;
    return std::max(static_cast<int>(std::lround(sharedRequestsPerSlot * slotsOfPool * own / all)), 1);
}

SlotDivision slotDivision(std::size_t targets, std::size_t waitingInstances, double peerUpdateWeight)
{
    if (peerUpdateWeight < minWeightForTargets)
        return SlotDivision::ShareOfPool;
    return targets >= minTargetsPerInstance * waitingInstances ? SlotDivision::WholeTargets : SlotDivision::SingleSlots;
}

double demandOf(int rank) { return std::max(demandOfRank0 / std::pow(demandRatioOfRanks, std::max(rank, 0)), 1.0); }

double arrivingDemand(const ArrivalRate& rate, SteadyTime now)
{
    return rate.demandPerSecond * std::exp(-toSeconds(now - rate.updatedAt) / arrivalRateSeconds);
}

void recordArrival(ArrivalRate& rate, double demand, SteadyTime now)
{
    rate.demandPerSecond = arrivingDemand(rate, now) + demand / arrivalRateSeconds;
    rate.updatedAt = now;
}

} // namespace limpetpond
