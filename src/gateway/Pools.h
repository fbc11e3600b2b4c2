#pragma once

/// The gateway's view of each pool: its targets, the requests that wait for them, the connections to them and the load
/// that peers report.

#include "core/CrashingParts.h"
#include "core/PromptAffinity.h"
#include "core/RankedQueue.h"
#include "core/ServingSettings.h"
#include "core/TargetDepartures.h"
#include "core/TargetNotices.h"
#include "core/TargetSelection.h"
#include "core/WindowedRetryBudget.h"
#include "traffic/HttpClientConnection.h"
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetpond {

/// The number that stands for an id in updates between instances.
std::uint32_t shortHash(const std::string& id);

/// Connections to one target.
struct TargetConnections {
    std::uint32_t hash { 0 }; ///< `shortHash` of the target's id.
    boost::asio::ip::tcp::endpoint endpoint;
    std::vector<std::shared_ptr<HttpClientConnection>> idle; ///< The most recently used one is last.
};

/// The state that a peer last reported. The lists are in ascending order of the hashes.
struct PeerLoadReport {
    struct Work {
        std::uint32_t target { 0 }; ///< `shortHash` of the id.
        int inProgress { 0 };
        bool operator==(const Work&) const = default;
    };
    struct Demand {
        std::uint32_t pool { 0 }; ///< `shortHash` of the id.
        double waiting { 0 }; ///< Of its waiting requests.
        double arriving { 0 }; ///< Of the requests that arrive there in a second.
    };
    std::uint32_t hash { 0 }; ///< `shortHash` of its id.
    FailureDomainId failureDomain;
    std::vector<Work> work; ///< Requests in progress.
    std::vector<std::uint32_t> closedTargets; ///< Hashes of the targets' ids.
    std::vector<Demand> demands; ///< Of the pools with demand.
};

/// The demand of a peer in one pool.
struct PeerDemand {
    std::uint32_t peer { 0 }; ///< `shortHash` of the id.
    FailureDomainId failureDomain;
    double waiting { 0 };
    double arriving { 0 };
    SteadyTime lastDemandAt; ///< When the peer last reported demand.
};

/// What limits the idle connections to one target.
struct IdleConnectionLimits {
    int maxConnections { 0 }; ///< The target's limit over all instances; 0 for none.
    int instances { 1 };
    int inProgress { 0 }; ///< Connections of this instance to the target that carry a request.
};

/// How many idle connections this instance may keep to the target. With those in use they are at most an equal share
/// of the target's limit, since a target resets connections over its limit.
///
///     idleConnectionsAllowed({ .maxConnections = 120, .instances = 24, .inProgress = 2 }) == 3;
std::size_t idleConnectionsAllowed(const IdleConnectionLimits&);

/// One pool as this instance sees it. `targets` and `connections` have the same order and length.
struct PoolState {
    PoolId id;
    std::uint32_t hash { 0 }; ///< `shortHash` of the id.
    int maxConnections { 0 }; ///< To each target, over all instances; 0 for no limit.
    std::vector<TargetState> targets;
    std::vector<TargetConnections> connections;
    RankedQueue queue;
    std::set<WaitTicket> stalled; ///< Requests with an attempt that makes no progress. It goes on until a further target has a free slot.
    SendRate sendRate;
    WindowedRetryBudget retryBudget;
    std::optional<int> ownRequestsAllowed; ///< Requests of this instance that may be in progress; none for no limit.
    double firstEventFactor { 1 }; ///< Moving average of measured over estimated times to the first event.
    ArrivalRate arrivals; ///< Of requests for the pool at this instance.
    SteadyTime lastDemandAt; ///< When a request last arrived or waited.
    std::vector<PeerDemand> peerDemands; ///< Of the peers that have reported any, in ascending order of their hashes.
    SteadyTime slotsAssignedAt; ///< When the free slots were last assigned.
    CrashingParts crashingParts; ///< Parts of prompts that crash its targets.
    PromptParts loggedQuarantines; ///< The quarantined parts by the last line of the log about each.
    PartUses partUses; ///< Of this instance's requests.
    double serviceMilliseconds { 0 }; ///< Moving average of the time from sending a request to the end of its answer; 0 for unknown.
};

/// The demand of the requests that wait for the pool at this instance.
double waitingDemand(const PoolState&);

/// All pools, with an index of their targets.
class Pools {
public:
    Pools(boost::asio::io_context&, const Clock&, DispatchingInstance self, WindowedRetryBudgetOptions);

    /// The pool's state; created on first use.
    PoolState& pool(const PoolId&);
    std::map<PoolId, PoolState>& all() { return m_pools; }

    void applySettings(const std::vector<ServingPoolSettings>&);

    const std::map<PoolId, PoolState>& all() const { return m_pools; }

    /// Adds a target or applies a newer entry of a known one. True where anything changed.
    bool putTarget(const TargetEntry&);

    /// Removes a target; attempts in progress there continue.
    void removeTarget(const TargetId&);

    /// Removes a target that has left, and remembers it. The epoch is that of the store that showed it as gone.
    void removeDeparted(const TargetId&, StoreEpoch);

    const TargetDepartures& departures() const { return m_departures; }
    TargetDepartures& departures() { return m_departures; }

    /// Records that an answer of this incarnation of the target says that it leaves: it gets no further requests, and idle
    /// connections to it are closed. True where that wasn't known.
    bool recordLeaving(const TargetId&, std::int64_t startedAt, SteadyTime now);

    /// Records that an answer of this incarnation of the target asks for a pause: it gets no requests meanwhile, and this
    /// instance returns in its turn. A pause is never shortened. The time of the return.
    SteadyTime recordPause(const TargetId&, std::int64_t startedAt, Duration pause, SteadyTime now);

    /// The number of targets with an entry that give a notice.
    struct NoticeCounts {
        int leaving { 0 };
        int paused { 0 };
    };
    NoticeCounts noticeCounts(SteadyTime now) const;

    /// Records that the target's entry expired while the store could not be read.
    void markMissing(const TargetId&, SteadyTime now);

    /// Removes the targets that have been missing for longer than `grace` as departed; returns their number.
    int removeMissing(Duration grace, StoreEpoch, SteadyTime now);

    /// `shortHash` of the targets' ids, in the order of the pool's `targets`.
    static std::vector<std::uint32_t> targetHashes(const PoolState&);

    TargetState* findTarget(const TargetId&);
    std::vector<TargetId> targetIds() const;
    std::size_t targets() const { return m_positions.size(); }

    /// A connection to the pool's target at `index`: an idle one that isn't among those avoided, or a new one.
    std::shared_ptr<HttpClientConnection> takeConnection(
        PoolState&, std::size_t index, const std::vector<std::shared_ptr<HttpClientConnection>>& avoided, SteadyTime now);

    /// Keeps a connection for reuse, or closes it where it can't be reused.
    void returnConnection(const TargetId&, const std::shared_ptr<HttpClientConnection>&, SteadyTime now);

    /// Replaces the state that a peer reported.
    void setPeer(const InstanceId&, PeerLoadReport);

    /// Assigns the targets' free slots to instances by the last updates, unless that was done a moment ago. Call it before
    /// requests are sent.
    void assignFreeSlots(PoolState&, Duration updateInterval);

    /// Divides the rate limits that targets state among the instances with requests. Call it several times a second.
    void divideRateLimits(PoolState&, SteadyTime now);

    /// Applies a peer's statement of a target's rate limit. The target's id where the limit has changed.
    std::optional<TargetId> mergeRateLimit(std::uint32_t targetHash, const StatedRateLimit&);

    /// Computes the targets' distances again if instances have joined or left. Call it several times a second.
    void refreshDistances(SteadyTime now);

    /// Removes a peer and the load that it reported.
    void removePeer(const InstanceId&);

    /// The position of this instance in an order of all instances, which differs from number to number; 0 for the first.
    int turnOf(std::uint64_t number) const;

    /// Whether requests wait for any pool here or, by the last updates, at a peer.
    bool areRequestsWaiting() const;

    /// The number of peers that have sent updates lately.
    int peers() const { return static_cast<int>(m_peers.size()); }

private:
    struct Position {
        PoolState* pool { nullptr }; ///< Pools are never removed.
        std::size_t index { 0 }; ///< In the pool's `targets`.
    };
    void recordPosition(PoolState&, std::size_t index);
    static void closeIdleConnections(TargetConnections&);
    void addWork(std::uint32_t target, int change);
    void addClosedTargets(const std::vector<std::uint32_t>&, int sign);
    /// Applies the difference between two reports of a peer to the counts of the targets.
    void replaceReport(const PeerLoadReport& known, const PeerLoadReport&);
    void recordDemands(const PeerLoadReport&, SteadyTime now);
    /// Sets the counts and the distance of a new target.
    void applyPeers(TargetState&, std::uint32_t hash) const;
    std::vector<DispatchingInstance> allInstances() const;

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    WindowedRetryBudgetOptions m_retryBudgetOptions;
    KeptNotices m_keptNotices;
    std::map<PoolId, PoolState> m_pools;
    std::unordered_map<TargetId, Position> m_positions;
    std::unordered_map<std::uint32_t, Position> m_positionsByHash;
    TargetDepartures m_departures;
    DispatchingInstance m_self;
    std::map<InstanceId, PeerLoadReport> m_peers;
    bool m_hasStaleDistances { false };
    SteadyTime m_distancesAt;
};

} // namespace limpetpond
