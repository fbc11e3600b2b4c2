#pragma once

/// The gateway's settings: routes, pools, client accounts and caller limits. The daemon's are in limpetpond/Settings.h.
///
/// A platform adapter decodes one operator document into one value of `ServingSettings`; a newer version replaces the
/// whole value.

#include "limpetpond/Ids.h"
#include "limpetpond/Units.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limpetpond {

using Milliseconds = std::chrono::milliseconds;

/// Whether and how a call may be repeated.
enum class CallKind {
    Idempotent,
    NonIdempotent,
    Streaming,
};

/// One destination of a route and its share of the route's requests.
struct WeightedPool {
    PoolId pool;
    int weight { 1 };
};

/// One route: a host, a path prefix and how its requests are served.
struct RouteSettings {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    CallKind kind { CallKind::NonIdempotent };
    Milliseconds timeout { 0 }; ///< Time from a request's arrival to its final answer; 0 for no timeout.
    Milliseconds latencyObjective { 0 }; ///< Time to the whole answer, or to a stream's first event; 0 for none.
    Milliseconds maxEventGap { 0 }; ///< Longest time between a stream's events that meets the objective; 0 for none.
    int rank { 0 }; ///< Urgency; 0 is the most urgent.
    std::vector<WeightedPool> pools; ///< Never empty.
    int maxTargets { 1 }; ///< Number of targets that one request may be sent to.
    bool isPublic { false }; ///< Requires no API key.
    bool isResumable { false }; ///< An interrupted stream may resume at another target after its last event.
};

/// The settings of one pool's targets at the gateway. `PoolSettings` in limpetpond/Settings.h are the daemon's.
struct ServingPoolSettings {
    PoolId id;
    std::string healthPath;
    int maxConnections { 0 }; ///< Connections to each target over all instances; 0 for no limit.
    int engineSlots { 0 }; ///< Requests that an engine of this pool runs concurrently; 0 for plain services.
};

/// Bounds on what a caller may send.
struct CallerLimits {
    ByteCount headerBytes { 16384 };
    ByteCount bodyBytes { 4194304 };
    Milliseconds headerTimeout { 3000 }; ///< Until a whole header has arrived.
    Milliseconds idleTimeout { 15000 }; ///< Of a connection without a request, and between reads of a body.
};

/// One client account, its API keys and its quota.
struct AccountSettings {
    ClientAccountId id;
    std::vector<std::string> keys; ///< API keys of its callers.
    std::optional<int> rank; ///< Compared before the route's rank.
    bool countsTokens { false }; ///< The quota counts tokens instead of requests.
    double defaultTokens { 0 }; ///< Counted for a request that states no token count.
    double perSecond { 0 }; ///< Quota over all instances; 0 for no limit.
    double burst { 0 };
};

/// One version of the operator's settings.
struct ServingSettings {
    SettingsVersion version;
    std::vector<RouteSettings> routes;
    std::vector<ServingPoolSettings> pools;
    CallerLimits limits;
    std::vector<AccountSettings> accounts;
};

/// A target's entry in the store, which the target writes itself.
struct TargetEntry {
    TargetId id;
    PoolId pool;
    std::string address; ///< IP:PORT.
    FailureDomainId failureDomain;
    int slots { 0 }; ///< Requests that it runs concurrently.
    bool isDraining { false };
    Milliseconds warmUpLeft { 0 }; ///< Remaining time after its start in which it is slow.
    std::uint64_t sequence { 0 }; ///< Increases with each entry of one incarnation.
    std::int64_t startedAt { 0 }; ///< Start time in Unix milliseconds; identifies the incarnation.
    TargetVersion version; ///< Of the software that it runs; empty where the entry names none.
};

} // namespace limpetpond
