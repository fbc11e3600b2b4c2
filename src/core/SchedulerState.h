#pragma once

/// The state of one pool's scheduler at one instance, as plain structs.

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

/// How a pool selects targets. All but the first are baselines for benchmarks.
enum class RoutingPolicy {
    Limpetpond,
    NoTiers, ///< As Limpetpond, with all requests in one tier.
    RoundRobin,
    LeastOutstanding, ///< The target with the fewest requests in progress from this instance.
    TwoChoices, ///< The less loaded of two targets drawn at random.
    PrefixHash, ///< Rendezvous hash of the start of the prompt.
};

/// The policy with this name in the settings; Limpetpond if the name is unknown.
///
///     RoutingPolicy policy = routingPolicyOf("round_robin");
///     policy == RoutingPolicy::RoundRobin;
RoutingPolicy routingPolicyOf(const std::string& name);

/// Converts a token count for the arithmetic of shares and rates.
inline double toDouble(TokenCount tokens)
{
    return static_cast<double>(tokens.count());
}

/// True for the baselines that ignore client accounts and cached prompts.
inline bool isBaseline(RoutingPolicy policy)
{
    return policy != RoutingPolicy::Limpetpond && policy != RoutingPolicy::NoTiers;
}

/// A request in progress at a target.
struct RunningRequest {
    QueuedRequest queued;
    std::size_t target { 0 }; ///< Index in `PoolScheduler::targets`.
    SteadyTime dispatchedAt;
    std::optional<SteadyTime> startedAt; ///< When the first token arrived.
    double workToFirstToken { 0 }; ///< Prompt tokens that the target was expected to compute before the first token, those of other requests included.
    TokenCount expectedCached;
    TokenCount uncached; ///< Prompt tokens that the target has to compute for this request.
    TokenCount longestCachedPrefix; ///< The longest prefix that any target was expected to have cached at dispatch.
    bool isCancelling { false };
    bool inUse { false };
};

/// All requests of a pool that are in progress; slots are reused.
struct RunningStore {
    std::vector<RunningRequest> slots;
    std::vector<std::uint32_t> freeSlots;
    boost::unordered_flat_map<RequestId, std::uint32_t, std::hash<RequestId>> byId; ///< Looked up, never iterated.
};

/// Waiting and running requests of one tier.
struct TierState {
    FairQueue queue;
    int running { 0 };
    bool isListed { false }; ///< The settings in force list the tier.
};

/// The values of one target that target selection reads, computed once per decision and updated after each dispatch.
struct TargetView {
    bool acceptsWork { false };
    double tokenLimit { 0 }; ///< For all instances together, scaled by the target's weight.
    double ownTokens { 0 };
    double allTokens { 0 };
    double requestLimit { 0 }; ///< For all instances together, scaled by the target's weight.
    double ownRequests { 0 };
    double allRequests { 0 };
    double backlogSeconds { 0 }; ///< Expected time until the target starts to compute a prompt dispatched now.
    double secondsPerPromptToken { 0 };
    double secondsPerAnswerToken { 0 };
    double load { 0 }; ///< Model engine: tokens in progress over the limit. Plain service: requests in progress plus one, over the weight.
    double freeCapacity { 0 }; ///< The largest request, in tokens, that the target accepts from the current tier; negative if none.
    double cacheTrust { 1 };
    std::uint64_t idHash { 0 };
};

/// Counters of a pool since its scheduler was created.
struct SchedulerCounters {
    TokenCount computedPrefill;
    TokenCount wastedPrefill;
    std::uint64_t shed { 0 };
    std::uint64_t preempted { 0 };
};

/// The state of one pool at one instance. It changes only through the functions of `core/Scheduler.h`.
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

    std::vector<TargetModel> targets; ///< A target's index is fixed while it is listed or has requests in progress.
    std::map<TargetId, std::size_t> targetIndex;
    PrefixIndex prefixes;
    SeenBlocks seenBlocks;

    FloorState floors;
    RetryCreditBudget retryBudget;
    RetryAfterSchedule retryAfterSchedule;
    SchedulerCounters counters;

    std::uint64_t random { 1 }; ///< State of the generator of `RoutingPolicy::TwoChoices`.
    std::size_t nextRoundRobin { 0 };
    double limitShare { 1 }; ///< This instance's share of each target's limits.
    SteadyTime refreshedAt;
    std::size_t nextOverdueCheck { 0 }; ///< The slot of `running` where the check for overdue first tokens stopped.

    double tierShare { 1 }; ///< Scratch: the share of each limit that the current tier may use.
    double largestFreeCapacity { 0 }; ///< Scratch: the largest free capacity of any target.
    int warmChecksLeft { 0 }; ///< Searches for warm targets that this decision may still make.
    std::vector<TargetView> targetViews; ///< Scratch: one view per target, in the order of `targets`.
    std::vector<int> matchedBlocks; ///< Scratch: leading blocks of the current request that each target has cached.
    std::vector<std::uint32_t> skippedAccounts; ///< Scratch: accounts whose requests can't be dispatched now.
};

} // namespace limpetpond
