#pragma once

/// The targets of each pool, the requests that wait for them and the connections to them.

#include "core/Placement.h"
#include "core/ResendBudget.h"
#include "core/ServingSettings.h"
#include "core/WaitingLine.h"
#include "traffic/HttpClientConnection.h"
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetpond {

/// The number that stands for an id in news between instances.
std::uint32_t shortHash(const std::string& id);

/// Connections to one target.
struct TargetLink {
    std::uint32_t hash { 0 }; ///< `shortHash` of the target's id.
    boost::asio::ip::tcp::endpoint endpoint;
    std::vector<std::shared_ptr<HttpClientConnection>> idle; ///< Used last at the back.
};

/// What a peer last said.
struct PeerView {
    std::uint32_t hash { 0 }; ///< `shortHash` of its id.
    FailureDomainId failureDomain;
    std::unordered_map<std::uint32_t, int> work; ///< Requests in progress by the hash of the target's id.
    std::vector<std::uint32_t> closedTargets; ///< Hashes, in rising order.
    std::unordered_map<std::uint32_t, double> demands; ///< Of its waiting requests, by the hash of the pool's id.
};

/// What bounds the idle connections to one target.
struct IdleConnectionCase {
    int maxConnections { 0 }; ///< The target's limit over all instances; 0 for none.
    int instances { 1 };
    int inProgress { 0 }; ///< Connections of this instance that carry a request there.
};

/// How many idle connections this instance may keep to the target: together with those in use no more than
/// an equal part of the target's limit, since a target resets connections past it.
///
///     idleConnectionsAllowed({ .maxConnections = 120, .instances = 24, .inProgress = 2 }) == 3;
std::size_t idleConnectionsAllowed(const IdleConnectionCase&);

/// One pool at this instance. `targets` and `links` run in parallel.
struct PoolState {
    PoolId id;
    std::uint32_t hash { 0 }; ///< `shortHash` of the id.
    int maxConnections { 0 }; ///< Of each target, over all instances; 0 for no limit.
    std::vector<TargetState> targets;
    std::vector<TargetLink> links;
    WaitingLine line;
    SendRate sendRate;
    ResendBudget resends;
    double ownDemand { 0 }; ///< Of the requests that wait here, when places were last shared.
    bool hasStaleShares { true }; ///< Demands changed since places were last shared.
    double serviceMilliseconds { 0 }; ///< Learned time of a request at a target, from its sending to its end.
};

/// The demand of the requests that wait in the pool here.
double waitingDemand(const PoolState&);

/// All pools, and the place of each target in them.
class Pools {
public:
    Pools(boost::asio::io_context&, const Clock&, PlacingInstance here, ResendBudgetOptions);

    /// The pool's state; made where it is new.
    PoolState& pool(const PoolId&);
    std::map<PoolId, PoolState>& all() { return m_pools; }

    /// Takes over what the settings say of each pool.
    void applySettings(const std::vector<PoolSettings>&);

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
    std::size_t targets() const { return m_places.size(); }

    /// A connection to the pool's target at `place`: an idle one, or a new one.
    std::shared_ptr<HttpClientConnection> takeConnection(PoolState&, std::size_t place, SteadyTime now);

    /// Keeps a connection for later use, where it can be used again.
    void keepConnection(const TargetId&, const std::shared_ptr<HttpClientConnection>&, SteadyTime now);

    /// Replaces what a peer said; an empty value forgets the peer's work.
    void setPeer(const InstanceId&, PeerView);

    /// Decides again which targets' free places are this instance's to fill, as far as demands have changed.
    /// To be called some times a second.
    void sharePlaces(PoolState&, Duration newsInterval);

    /// Places the targets among the instances again, as far as instances came or went.
    /// To be called some times a second.
    void refreshDistances(SteadyTime now);

    /// Forgets a peer that is silent.
    void removePeer(const InstanceId&);

    /// Peers heard from lately.
    int peers() const { return static_cast<int>(m_peers.size()); }

private:
    struct Place {
        PoolState* pool { nullptr }; ///< Pools are never removed.
        std::size_t index { 0 };
    };
    void notePlace(PoolState&, std::size_t index);
    void addPeer(const PeerView&, int sign);
    void applyPeers(TargetState&, std::uint32_t hash) const;
    std::vector<PlacingInstance> allInstances() const;

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    ResendBudgetOptions m_resendOptions;
    std::map<PoolId, PoolState> m_pools;
    std::unordered_map<TargetId, Place> m_places;
    std::unordered_map<std::uint32_t, Place> m_placesByHash;
    PlacingInstance m_here;
    std::map<InstanceId, PeerView> m_peers;
    bool m_hasStaleDistances { false };
    SteadyTime m_distancesAt;
};

} // namespace limpetpond
