#pragma once

/// How the requests of one pool wait at one instance, and which of them are turned away.
///
/// Load pattern: bursts of two to five seconds in which more is asked than the targets carry. Targets
/// admit in the order of arrival and know no ranks, so requests wait here. Those that can still meet their
/// latency objective go first, by rank and then by that time. Late ones follow, since their answers are worth
/// less, until little of their patience is left: then they go before all lower ranks. They never take a place from
/// a request of their own rank that can be in time; in a burst that would make it late as well.

#include "limpetpond/Clock.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace limpetpond {

/// Names a waiting request at this instance; unique for the life of the process.
using WaitTicket = std::uint64_t;

/// Ranks of routes within one rank of client accounts: an account's rank goes first, the route's orders within it.
inline constexpr int routeRanksPerAccountRank = 1000;

/// What decides the place of a request in the line.
struct RankedRequest {
    WaitTicket ticket { 0 };
    int rank { 0 }; ///< 0 is the most urgent.
    SteadyTime arrivedAt;
    SteadyTime objectiveAt; ///< When it has to be at a target to meet its objective.
    SteadyTime expiresAt; ///< When sending it to a target is of no use any more.
};

/// The line of one pool.
struct RankedQueue {
    struct Level {
        std::set<std::pair<SteadyTime, WaitTicket>> inTime; ///< By objectiveAt.
        std::set<std::pair<SteadyTime, WaitTicket>> late; ///< By lastCallAt.
    };
    std::map<int, Level> ranks;
    std::unordered_map<WaitTicket, RankedRequest> requests;
};

/// Adds a request.
///
///     enqueue(line, { .ticket = 1, .rank = 0, .arrivedAt = now, .objectiveAt = now + 500ms, .expiresAt = now + 3s });
///     nextWaiting(line, now) == 1;
void enqueue(RankedQueue&, const RankedRequest&);

/// Removes a request; nothing where it doesn't wait.
void removeWaiting(RankedQueue&, WaitTicket);

/// The request to send next; nothing where none waits.
///
///     if (std::optional<WaitTicket> ticket = nextWaiting(line, now)) trySending(*ticket);
std::optional<WaitTicket> nextWaiting(RankedQueue&, SteadyTime now);

/// The first requests in the order of sending, at most `most`.
///
///     for (WaitTicket ticket : firstWaiting(line, 6, now)) trySending(ticket);
std::vector<WaitTicket> firstWaiting(RankedQueue&, std::size_t most, SteadyTime now);

/// Requests that have waited past the use of sending them; they stay in the line until removed.
std::vector<WaitTicket> expiredRequests(const RankedQueue&, SteadyTime now);

/// How many requests go before a new one of the rank.
///
///     countAhead(line, 1);
std::size_t countAhead(const RankedQueue&, int rank);

/// The rate at which places come free for this instance, learned from what it sent while requests waited.
struct SendRate {
    double perSecond { 0 }; ///< 0 before it is known.
    SteadyTime countedFrom;
    int counted { 0 };
};

/// Begins to count: the first request of a line began to wait.
void beginCounting(SendRate&, SteadyTime now);

/// Counts a request that was sent while requests waited.
void recordSent(SendRate&, SteadyTime now);

/// What is known when a request arrives at a full pool.
struct AdmissionInput {
    std::size_t ahead { 0 }; ///< Requests that go first.
    double sentPerSecond { 0 }; ///< 0 for unknown.
    Duration timeToExpiry { 0 }; ///< From now to the last useful moment of sending it.
};

/// Whether a request may wait, and when its caller should come back otherwise.
struct AdmissionDecision {
    bool mayWait { true };
    Duration retryAfter { 0 };
};

/// Turns a request away at once where it would not be sent in time.
///
///     AdmissionDecision decision = decideAdmission({ .ahead = 90, .sentPerSecond = 30, .timeToExpiry = 2s });
///     decision.mayWait == false;
AdmissionDecision decideAdmission(const AdmissionInput&);

} // namespace limpetpond
