#pragma once

/// The plain structs that hold a pool's state at one instance.

#include "core/FairQueue.h"
#include "core/Floors.h"
#include "core/PrefixIndex.h"
#include "core/RetryCreditBudget.h"
#include "core/TargetModel.h"
#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include "limpetpond/Settings.h"
#include "limpetpond/Units.h"
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace limpetpond {

/// How a pool picks targets. All but the first are baselines that measurements compare with.
enum class RoutingPolicy {
    Limpetpond,
    NoTiers, ///< As Limpetpond, with all requests in one tier.
    RoundRobin,
    LeastOutstanding, ///< Least requests in progress from this instance.
    TwoChoices, ///< The less loaded of two at random.
    PrefixHash, ///< By rendezvous hash of the prompt's start.
};

/// The policy that a setting names; Limpetpond for an unknown name.
///
///     RoutingPolicy policy = routingPolicyOf("round_robin");
///     policy == RoutingPolicy::RoundRobin;
RoutingPolicy routingPolicyOf(const std::string& name);

/// Tokens as a number that shares and rates are worked out with.
inline double toDouble(TokenCount tokens)
{
    return static_cast<double>(tokens.count());
}

/// True for the policies that measurements compare with: they know neither accounts nor cached prompts.
inline bool isBaseline(RoutingPolicy policy)
{
    return policy != RoutingPolicy::Limpetpond && policy != RoutingPolicy::NoTiers;
}

/// A request in progress at a target.
struct RunningRequest {
    QueuedRequest queued;
    std::size_t target { 0 }; ///< Its place in the pool's list.
    SteadyTime dispatchedAt;
    std::optional<SteadyTime> startedAt;
    double workToFirstToken { 0 }; ///< Prompt tokens expected to be computed before the first token, its own included.
    TokenCount expectedCached;
    TokenCount uncached; ///< Prompt tokens that its target has to compute.
    TokenCount longestCachedPrefix; ///< The longest prefix that any target held at dispatch.
    bool isCancelling { false };
    bool inUse { false };
};

/// All requests of a pool in progress; slots are reused.
struct RunningStore {
    std::vector<RunningRequest> slots;
    std::vector<std::uint32_t> freeSlots;
    boost::unordered_flat_map<RequestId, std::uint32_t, std::hash<RequestId>> byId; ///< Looked up, never iterated.
};

/// One tier's queue and work.
struct TierState {
    FairQueue queue;
    int running { 0 };
    bool isListed { false }; ///< In the settings.
};

/// What routing reads of one target, worked out once for all requests of one decision.
struct TargetView {
    bool acceptsWork { false };
    double tokenLimit { 0 }; ///< Of all instances, at the target's weight.
    double ownTokens { 0 };
    double allTokens { 0 };
    double requestLimit { 0 }; ///< Of all instances, at the target's weight.
    double ownRequests { 0 };
    double allRequests { 0 };
    double backlogSeconds { 0 }; ///< Until a prompt that is sent now begins to be computed.
    double secondsPerPromptToken { 0 };
    double secondsPerAnswerToken { 0 };
    double load { 0 }; ///< Share of its limit in progress.
    double freeCapacity { 0 }; ///< The largest request, in tokens, that it takes from the tier at hand; negative for none.
    double cacheTrust { 1 };
    std::uint64_t idHash { 0 };
};

struct SchedulerCounters {
    TokenCount computedPrefill;
    TokenCount wastedPrefill;
    std::uint64_t shed { 0 };
    std::uint64_t preempted { 0 };
};

/// The state of one pool at one instance. Only the functions of `core/Scheduler.h` change it.
struct PoolScheduler {
    PoolId pool;
    InstanceId instance;
    PoolSettings settings;
    RoutingPolicy policy { RoutingPolicy::Limpetpond };
    Duration heartbeatPeriod { std::chrono::milliseconds(500) };
    boost::unordered_flat_map<ClientAccountId, AccountShare, std::hash<ClientAccountId>> accounts; ///< Never iterated.

    WaitingStore waiting;
    RunningStore running;
    std::map<TierLevel, TierState> tiers;
    int waitingCount { 0 };

    std::vector<TargetModel> targets; ///< A target keeps its place.
    std::map<TargetId, std::size_t> targetIndex;
    PrefixIndex prefixes;
    SeenBlocks seenBlocks;

    FloorState floors;
    RetryCreditBudget retryBudget;
    RetryAfterSchedule retryAfterSchedule;
    SchedulerCounters counters;

    std::uint64_t random { 1 };
    std::size_t nextRoundRobin { 0 };
    double limitShare { 1 }; ///< This instance's part of each target's limits.
    SteadyTime refreshedAt;
    std::size_t nextOverdueCheck { 0 }; ///< The running slot that is looked at next.

    double tierShare { 1 }; ///< Scratch: the part of each limit that the tier at hand may use.
    double largestFreeCapacity { 0 }; ///< Scratch: the largest room of any target.
    int warmChecksLeft { 0 }; ///< Searches for warm targets that this decision may still make.
    std::vector<TargetView> targetViews; ///< Scratch: what routing reads of each target, in the same order.
    std::vector<int> matchedBlocks; ///< Scratch: blocks of the request at hand by target.
    std::vector<std::uint32_t> skippedAccounts; ///< Scratch: accounts whose next request fits nowhere now.
};

} // namespace limpetpond
