#pragma once

/// The targets of each pool, the requests that wait for them and the connections to them.

#include "core/RankedQueue.h"
#include "core/ServingSettings.h"
#include "core/TargetSelection.h"
#include "core/WindowedRetryBudget.h"
#include "traffic/HttpChannel.h"
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetpond {

/// The number that stands for an id in update between instances.
std::uint32_t shortHash(const std::string& id);

/// Connections to one target.
struct TargetConnections {
    std::uint32_t hash { 0 }; ///< `shortHash` of the target's id.
    boost::asio::ip::tcp::endpoint endpoint;
    std::vector<std::shared_ptr<HttpChannel>> idle; ///< Used last at the back.
};

/// What a peer last said.
struct PeerLoadReport {
    std::uint32_t hash { 0 }; ///< `shortHash` of its id.
    FailureDomainId failureDomain;
    std::unordered_map<std::uint32_t, int> work; ///< Requests in progress by the hash of the target's id.
    std::vector<std::uint32_t> closedTargets; ///< Hashes, in rising order.
    std::unordered_map<std::uint32_t, double> demands; ///< Of its waiting requests, by the hash of the pool's id.
};

/// What bounds the idle connections to one target.
struct IdleConnectionLimits {
    int maxConnections { 0 }; ///< The target's limit over all instances; 0 for none.
    int instances { 1 };
    int inProgress { 0 }; ///< Connections of this instance that carry a request there.
};

/// How many idle connections this instance may keep to the target: together with those in use no more than
/// an equal part of the target's limit, since a target resets connections past it.
///
///     idleConnectionsAllowed({ .maxConnections = 120, .instances = 24, .inProgress = 2 }) == 3;
std::size_t idleConnectionsAllowed(const IdleConnectionLimits&);

/// One pool at this instance. `targets` and `connections` run in parallel.
struct PoolState {
    PoolId id;
    std::uint32_t hash { 0 }; ///< `shortHash` of the id.
    int maxConnections { 0 }; ///< Of each target, over all instances; 0 for no limit.
    std::vector<TargetState> targets;
    std::vector<TargetConnections> connections;
    RankedQueue queue;
    SendRate sendRate;
    WindowedRetryBudget retryBudget;
    double ownDemand { 0 }; ///< Of the requests that wait here, when places were last shared.
    bool hasStaleSlotAssignment { true }; ///< Demands changed since places were last shared.
    double serviceMilliseconds { 0 }; ///< Learned time of a request at a target, from its sending to its end.
};

/// The demand of the requests that wait in the pool here.
double waitingDemand(const PoolState&);

/// All pools, and the place of each target in them.
class Pools {
public:
    Pools(boost::asio::io_context&, const Clock&, DispatchingInstance self, WindowedRetryBudgetOptions);

    /// The pool's state; made where it is new.
    PoolState& pool(const PoolId&);
    std::map<PoolId, PoolState>& all() { return m_pools; }

    /// Takes over what the settings say of each pool.
    void applySettings(const std::vector<ServingPoolSettings>&);

    const std::map<PoolId, PoolState>& all() const { return m_pools; }

    /// Adds a target or takes over a newer entry of a known one; tells whether anything changed.
    bool putTarget(const TargetEntry&);

    /// Removes a target from the choice; what is in progress there goes on.
    void removeTarget(const TargetId&);

    /// Notes that the entry lapsed while the store could not be read.
    void markMissing(const TargetId&, SteadyTime now);

    /// Removes the targets that are missing for longer than the grace; tells how many.
    int removeMissing(Duration grace, SteadyTime now);

    TargetState* findTarget(const TargetId&);
    std::vector<TargetId> targetIds() const;
    std::size_t targets() const { return m_positions.size(); }

    /// A connection to the pool's target at `place`: an idle one, or a new one.
    std::shared_ptr<HttpChannel> takeConnection(PoolState&, std::size_t index, SteadyTime now);

    /// Keeps a connection for later use, where it can be used again.
    void returnConnection(const TargetId&, const std::shared_ptr<HttpChannel>&, SteadyTime now);

    /// Replaces what a peer said; an empty value forgets the peer's work.
    void setPeer(const InstanceId&, PeerLoadReport);

    /// Decides again which targets' free places are this instance's to fill, as far as demands have changed.
    /// To be called some times a second.
    void assignFreeSlots(PoolState&, Duration updateInterval);

    /// Places the targets among the instances again, as far as instances came or went.
    /// To be called some times a second.
    void refreshDistances(SteadyTime now);

    /// Forgets a peer that is silent.
    void removePeer(const InstanceId&);

    /// Peers received from lately.
    int peers() const { return static_cast<int>(m_peers.size()); }

private:
    struct Position {
        PoolState* pool { nullptr }; ///< Pools are never removed.
        std::size_t index { 0 };
    };
    void recordPosition(PoolState&, std::size_t index);
    void addPeerReport(const PeerLoadReport&, int sign);
    void applyPeers(TargetState&, std::uint32_t hash) const;
    std::vector<DispatchingInstance> allInstances() const;

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    WindowedRetryBudgetOptions m_retryBudgetOptions;
    std::map<PoolId, PoolState> m_pools;
    std::unordered_map<TargetId, Position> m_positions;
    std::unordered_map<std::uint32_t, Position> m_positionsByHash;
    DispatchingInstance m_self;
    std::map<InstanceId, PeerLoadReport> m_peers;
    bool m_hasStaleDistances { false };
    SteadyTime m_distancesAt;
};

} // namespace limpetpond
