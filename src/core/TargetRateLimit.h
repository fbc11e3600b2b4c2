#pragma once

/// Keeps a target's rate limit over all instances, without messages of its own.
///
/// Load pattern: a target in need states in its answers how many requests a second it takes from all instances together,
/// often less than one for each instance. A few instances with requests for the pool use the target, in proportion to the
/// requests that arrive there; the others leave it alone. Every instance computes the same shares from the same updates,
/// and learns the limit from its own answers or from peers that got one. Requests are evenly spaced, without a burst, so
/// that the instances' sum stays near the limit also while their updates differ.

#include "limpetpond/Clock.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace limpetpond {

/// What a target's answer said of its limit.
struct StatedRateLimit {
    std::optional<double> perSecond; ///< Requests over all instances; none for no limit.
    SteadyTime at; ///< When the answer arrived.
};

/// The limit of one target at one instance.
struct TargetRateLimit {
    StatedRateLimit stated; ///< The latest statement, here or at a peer.
    std::optional<StatedRateLimit> observed; ///< What an answer to this instance said last of a limit or of the end of one.
    double ownPerSecond { 0 }; ///< This instance's share of the limit.
    double credit { 0 }; ///< Requests that this instance may send, at most 1; grows with its share of the limit.
    SteadyTime creditAt; ///< When `credit` was last updated.
};

/// Whether a limit is in force. It ends with an answer that states none, or once no instance has received it for a long time.
bool isLimited(const TargetRateLimit&, SteadyTime now);

/// Records what an answer to this instance says. True where the limit has changed.
///
///     recordStatement(target.rateLimit, { .perSecond = 2.5, .at = now });
bool recordStatement(TargetRateLimit&, const StatedRateLimit&);

/// Applies a peer's statement if it is later than what is known. True where the limit has changed.
bool mergeStatement(TargetRateLimit&, const StatedRateLimit&);

/// The statement to report to peers: a limit, or for some time the end of one; nothing otherwise.
std::optional<StatedRateLimit> statementToReport(const TargetRateLimit&, SteadyTime now);

/// The demand with which an instance takes part in sharing a limit. It stays for some seconds after the last request, so
/// that the share doesn't move to others between two requests.
///
///     sharer.demand = sharedDemand(report.demand, lastRequestAt, now);
double sharedDemand(double demand, SteadyTime lastDemandAt, SteadyTime now);

/// An instance that shares the limit.
struct LimitSharer {
    std::uint64_t order { 0 }; ///< Its position in an order of all instances, which differs from target to target.
    double demand { 0 }; ///< Of its requests for the pool; 0 where it has none.
};

/// The share of the limit of this instance: 0 unless it is among the first ones in order that have demand, and otherwise
/// in proportion to the demand of these. Their number grows with the limit, since each of them may send one request at any
/// time.
///
///     setShare(target.rateLimit, shareOfLimit(2.5, { .order = 7, .demand = 3 }, peers), now);
double shareOfLimit(double perSecond, const LimitSharer& self, const std::vector<LimitSharer>& peers);

/// Sets this instance's share. An instance that loses its share also loses its credit, so that the credit of all instances
/// stays bounded while the share moves from one to another. Call it several times a second.
void setShare(TargetRateLimit&, double perSecond, SteadyTime now);

/// Whether this instance may send a request to the target now.
bool isWithinRateLimit(const TargetRateLimit&, SteadyTime now);

/// Records that this instance sends a request to the target.
void recordSend(TargetRateLimit&, SteadyTime now);

} // namespace limpetpond
