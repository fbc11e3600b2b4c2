#pragma once

/// Divides the free slots of targets among the instances that send to them, without messages of its own.
///
/// Load pattern: a burst above the targets' capacity, at up to several hundred instances that receive each other's updates
/// only a few times a second. Without a division, all of them send to each target that looks free. Every instance computes
/// the same division from the same updates by rendezvous hashing, in proportion to the demand of each instance; where their
/// updates differ, few slots are assigned twice.

#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include <cstdint>
#include <vector>

namespace limpetpond {

/// One instance that dispatches requests.
struct DispatchingInstance {
    std::uint64_t hash { 0 }; ///< Of its id.
    FailureDomainId failureDomain;
    double demand { 0 }; ///< Its requests that wait or are about to arrive in the pool, weighted by `demandOf`.
};

/// The position of an instance in the target's order of all instances, scaled to 0 for the first and 1 for the last.
/// A hash of the target and the instance gives the order. It holds only the instances in the target's failure domain;
/// the others have distance 1. A target without instances in its domain orders all instances.
///
///     target.distance = rendezvousDistance(target.entry.failureDomain, targetHash, here, all);
double rendezvousDistance(const FailureDomainId& targetDomain, std::uint64_t targetHash, const DispatchingInstance& here, const std::vector<DispatchingInstance>& all);

/// Whether the target's free slots are assigned to another instance. Weighted rendezvous hashing assigns each target to
/// one of the instances with waiting requests, in proportion to their demand.
///
///     if (isAssignedToPeer(target.entry.failureDomain, targetHash, here, waitingPeers)) target.assignedSlots = 0;
bool isAssignedToPeer(const FailureDomainId& targetDomain, std::uint64_t targetHash, const DispatchingInstance& here, const std::vector<DispatchingInstance>& waiting);

/// How many of the target's slots are assigned to this instance, where each slot is assigned on its own. With more
/// instances than targets, every target has slots of several instances.
///
///     target.assignedSlots = countAssignedSlots(target.entry.failureDomain, targetHash, 6, here, waitingPeers);
int countAssignedSlots(const FailureDomainId& targetDomain, std::uint64_t targetHash, int slots, const DispatchingInstance& here, const std::vector<DispatchingInstance>& waiting);

/// How many requests this instance may have in progress in a whole pool: its share of all slots by demand, but at least
/// one, so that no instance is left out.
///
///     input.ownRequestsAllowed = countAllowedRequests(30, here, peers);
int countAllowedRequests(int slotsOfPool, const DispatchingInstance& here, const std::vector<DispatchingInstance>& peers);

/// How a pool's free slots are divided among the instances at which requests wait.
enum class SlotDivision {
    WholeTargets, ///< Only one instance sends to a target, so that it knows the target's free slots.
    SingleSlots, ///< For fewer targets than the instances need: each slot is assigned on its own.
    ShareOfPool, ///< For calls that end before peers receive an update: each instance uses any target, within its share.
};

/// Selects the division by the number of targets and of instances with waiting requests, and by the weight of peers' updates.
///
///     SlotDivision division = slotDivision(targets.size(), waiting.size() + 1, peerUpdateWeight(serviceTime, updateInterval));
SlotDivision slotDivision(std::size_t targets, std::size_t waitingInstances, double peerUpdateWeight);

/// The weight of a waiting request of the rank in the demand of its instance.
///
///     here.demand += demandOf(request.rank);
double demandOf(int rank);

/// The demand of the requests that arrive at an instance in a second, as a decaying average.
struct ArrivalRate {
    double demandPerSecond { 0 };
    SteadyTime updatedAt;
};

/// Adds a request's demand to the average.
///
///     recordArrival(pool.arrivals, demandOf(request.rank), now);
void recordArrival(ArrivalRate&, double demand, SteadyTime now);

/// The average at the time `now`.
double arrivingDemand(const ArrivalRate&, SteadyTime now);

} // namespace limpetpond
