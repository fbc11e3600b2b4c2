#pragma once

/// The settings that requests are served by: routes, pools, client accounts and caller limits.
///
/// The adapter of a platform decodes one operator document into one value of `ServingSettings`;
/// a newer version replaces the whole value.

#include "limpetpond/Ids.h"
#include "limpetpond/Units.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limpetpond {

using Milliseconds = std::chrono::milliseconds;

/// What may be repeated of a call.
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

/// One route: a host and a path prefix, and how its requests are served.
struct RouteSettings {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    CallKind kind { CallKind::NonIdempotent };
    Milliseconds timeout { 0 }; ///< Longest time a request may be kept waiting for its final answer; 0 for none.
    Milliseconds latencyObjective { 0 }; ///< Latency objective: to the whole answer, or to a stream's first event; 0 for none.
    Milliseconds maxEventGap { 0 }; ///< Longest pause between a stream's events that is still on time; 0 for none.
    int rank { 0 }; ///< Urgency; 0 is the most urgent.
    std::vector<WeightedPool> pools; ///< Never empty.
    int maxTargets { 1 }; ///< To how many targets one request may be sent.
    bool isPublic { false }; ///< Needs no API key.
    bool isResumable { false }; ///< A stream may go on at another target after its last event.
};

/// What is common to the targets of one pool.
struct ServingPoolSettings {
    PoolId id;
    std::string healthPath;
    int maxConnections { 0 }; ///< Each target's limit over all instances; 0 for none.
    int engineSlots { 0 }; ///< Requests that an engine of this pool runs at once; 0 for plain services.
};

/// Bounds on what a caller may send.
struct CallerLimits {
    ByteCount headerBytes { 16384 };
    ByteCount bodyBytes { 4194304 };
    Milliseconds headerTimeout { 3000 }; ///< For a whole header to arrive.
    Milliseconds idleTimeout { 15000 }; ///< A kept connection without a request.
};

/// One client account, its API keys and its quota.
struct AccountSettings {
    ClientAccountId id;
    std::vector<std::string> keys; ///< API keys of its callers.
    std::optional<int> rank; ///< Goes before the route's rank.
    bool countsTokens { false }; ///< The quota is counted in tokens instead of requests.
    double defaultTokens { 0 }; ///< Counted for a request that states no token count.
    double perSecond { 0 }; ///< Quota over all instances; 0 for no limit.
    double burst { 0 };
};

/// Everything the operator states, at one version.
struct ServingSettings {
    SettingsVersion version;
    std::vector<RouteSettings> routes;
    std::vector<ServingPoolSettings> pools;
    CallerLimits limits;
    std::vector<AccountSettings> accounts;
};

/// What a target says of itself in the store.
struct TargetEntry {
    TargetId id;
    PoolId pool;
    std::string address; ///< IP:PORT.
    FailureDomainId failureDomain;
    int slots { 0 }; ///< Requests it runs at once.
    bool isDraining { false };
    Milliseconds warmUpLeft { 0 }; ///< How much longer it is slow after its start.
    std::uint64_t sequence { 0 }; ///< Rises with each entry of one incarnation.
    std::int64_t startedAt { 0 }; ///< Unix milliseconds of its start: its incarnation.
};

} // namespace limpetpond
