#pragma once

/// The gateway's queue of one pool, by rank and then by latency objective, and its admission decision. The daemon's
/// core/FairQueue.h shares a pool fairly between client accounts.
///
/// Load pattern: bursts of two to five seconds in which the load exceeds the targets' capacity. Targets serve requests
/// in the order of arrival and don't know ranks, so requests wait here. Requests that can still meet their latency
/// objective go first, by rank and then by objective. Late requests follow, since their answers are worth less. When
/// little time is left until a late request expires, it goes before all less urgent ranks, but never before a request of
/// its own rank that can still meet its objective: in a burst that would make the other request late as well.

#include "limpetpond/Clock.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace limpetpond {

/// Identifies a waiting request at this instance; unique for the lifetime of the process.
using WaitTicket = std::uint64_t;

/// Number of route ranks within one rank of client accounts. Requests are ordered by the account's rank, then by the
/// route's.
inline constexpr int routeRanksPerAccountRank = 1000;

/// A request with the values that decide its position in the queue.
struct RankedRequest {
    WaitTicket ticket { 0 };
    int rank { 0 }; ///< 0 is the most urgent.
    SteadyTime arrivedAt;
    SteadyTime objectiveAt; ///< Latest time of its dispatch at which it can meet its latency objective.
    SteadyTime expiresAt; ///< Latest time of its dispatch at which its answer is still useful.
};

/// The waiting requests of one pool. It differs from core/FairQueue.h, which orders requests by the share of their
/// client account.
struct RankedQueue {
    /// The requests of one rank.
    struct Level {
        std::set<std::pair<SteadyTime, WaitTicket>> inTime; ///< By `RankedRequest::objectiveAt`.
        std::set<std::pair<SteadyTime, WaitTicket>> late; ///< By the time from which the request goes before less urgent ranks.
    };
    std::map<int, Level> ranks;
    std::unordered_map<WaitTicket, RankedRequest> requests;
};

/// Adds a request.
///
///     enqueue(queue, { .ticket = 1, .rank = 0, .arrivedAt = now, .objectiveAt = now + 500ms, .expiresAt = now + 3s });
///     nextWaiting(queue, now) == 1;
void enqueue(RankedQueue&, const RankedRequest&);

/// Removes a request; does nothing when it isn't in the queue.
void removeWaiting(RankedQueue&, WaitTicket);

/// The request to send next; none when the queue is empty.
///
///     if (std::optional<WaitTicket> ticket = nextWaiting(queue, now)) trySending(*ticket);
std::optional<WaitTicket> nextWaiting(RankedQueue&, SteadyTime now);

/// The first `maxCount` requests in the order of sending.
///
///     for (WaitTicket ticket : firstWaiting(queue, 6, now)) trySending(ticket);
std::vector<WaitTicket> firstWaiting(RankedQueue&, std::size_t maxCount, SteadyTime now);

/// The requests that have expired, sorted by ticket. They stay in the queue until removed.
std::vector<WaitTicket> expiredRequests(const RankedQueue&, SteadyTime now);

/// The number of waiting requests of the same rank or a more urgent one.
///
///     countAhead(queue, 1);
std::size_t countAhead(const RankedQueue&, int rank);

/// The rate at which this instance sends requests while others wait, as a moving average.
struct SendRate {
    double perSecond { 0 }; ///< 0 before it is known.
    SteadyTime countedFrom;
    int counted { 0 };
};

/// Starts a counting interval; to be called when the first request enters an empty queue.
void beginCounting(SendRate&, SteadyTime now);

/// Counts a request that was sent while requests waited.
void recordSent(SendRate&, SteadyTime now);

/// What the admission of a request to the queue depends on.
struct AdmissionInput {
    std::size_t ahead { 0 }; ///< Requests that will be sent first.
    double sentPerSecond { 0 }; ///< 0 for unknown.
    Duration timeToExpiry { 0 }; ///< Time until the request expires.
    Duration pauseLeft { 0 }; ///< Until the first target of the pool takes requests again; 0 while one does.
};

/// Whether a request may wait, and otherwise the time after which its caller should retry.
struct AdmissionDecision {
    bool mayWait { true };
    Duration retryAfter { 0 };
};

/// When the caller of a refused request should return.
struct RetryAfterInput {
    std::size_t ahead { 0 }; ///< Requests that will be sent first.
    double sentPerSecond { 0 }; ///< 0 for unknown.
    Duration pauseLeft { 0 }; ///< As in `AdmissionInput`.
    double random { 0 }; ///< From 0 to 1; callers that are refused together return one after the other.
};

/// The time until the queue has room again.
///
///     Duration retryAfter = timeToReturn({ .ahead = 12, .sentPerSecond = 30, .random = 0.3 });
Duration timeToReturn(const RetryAfterInput&);

/// Rejects a request that is not expected to be sent in time.
///
///     AdmissionDecision decision = decideAdmission({ .ahead = 90, .sentPerSecond = 30, .timeToExpiry = 2s });
///     decision.mayWait == false;
AdmissionDecision decideAdmission(const AdmissionInput&);

} // namespace limpetpond
