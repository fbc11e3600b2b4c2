#pragma once

/// The settings in force: the inherited tree resolved into plain structs.
///
/// `core/SettingsTree.h` makes a `Settings` from the tree; everything that decides
/// reads only this. Every field has a default, so that an empty tree is valid.

#include "limpetpond/Ids.h"
#include "limpetpond/Units.h"
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limpetpond {

enum class TargetKind {
    ModelEngine,
    PlainService,
};

/// What an operator has marked a target as.
enum class TargetMark {
    Serving,
    Leaving,
};

/// A weekly window in local time during which a target is emptied and cleaned.
struct CleaningWindow {
    std::string name;
    std::string timeZone { "UTC" }; ///< A POSIX TZ rule or an IANA name, with its daylight-saving rules.
    std::chrono::weekday day { std::chrono::Sunday };
    std::chrono::minutes startOfDay { 0 }; ///< Local time since midnight.
    std::chrono::minutes length { 60 };
};

/// The state that an order asks an engine to reach; a repetition changes nothing.
struct EngineDesiredState {
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;
    std::string role; ///< `prefill`, `decode` or `both`.
    bool operator==(const EngineDesiredState&) const = default;
};

/// One back end: a model engine or a plain service.
struct TargetSettings {
    TargetId id;
    PoolId pool;
    FailureDomainId failureDomain;
    TargetKind kind { TargetKind::ModelEngine };
    std::string host; ///< An IP number.
    int port { 0 };
    TargetMark mark { TargetMark::Serving };
    SettingsVersion markVersion; ///< The version that set the mark.
    bool markedForCleaning { false }; ///< The cleaning schedule set the mark and will return the target.
    SettingsVersion branchVersion; ///< The version of the target's branch.
    TokenCount maxTokensInProgress { 64'000 }; ///< Model engines: prompt and answer tokens admitted at once.
    int maxRequestsInProgress { 64 };
    TokenRate prefillRate { 8'000 }; ///< The expected speed; the learned one replaces it.
    TokenRate decodeRate { 40 }; ///< The expected speed of one stream.
    TokenCount cacheCapacity { 200'000 }; ///< Tokens of prefix cache.
    bool checksFencing { false }; ///< Refuses orders with an old fencing number.
    bool checksKeys { false }; ///< Refuses a second run of an idempotency key itself.
    std::optional<EngineDesiredState> desired; ///< None: the engine gets no orders.
    std::optional<CleaningWindow> cleaningWindow;
    std::chrono::minutes cleaningTime { 30 }; ///< What the cleaning takes once the target is empty.
};

/// A set of targets that serve the same requests.
struct PoolSettings {
    PoolId id;
    TargetKind kind { TargetKind::ModelEngine };
    std::vector<ModelId> models; ///< Model pools: what the API accepts as `model`.
    std::string service; ///< Service pools: NAME in /services/NAME/.
    int maxWaiting { 512 }; ///< Requests waiting in one instance.
    std::chrono::milliseconds maxWait { 20'000 }; ///< How long a request may wait here; an earlier deadline goes first.
    std::chrono::milliseconds callTimeout { 60'000 }; ///< From dispatch to the end of the answer.
    int maxDispatches { 3 }; ///< Dispatches of one idempotent request.
    double retryBudget { 0.1 }; ///< Second dispatches as a share of first ones.
    std::string policy { "limpetpond" }; ///< The routing policy; the others are baselines.
    double maxLeavingShare { 0.25 }; ///< The share of the pool's targets that the schedule empties at once; at least one target.
    std::vector<std::string> nonIdempotentMethods; ///< Service pools: methods whose calls run at most once.
    std::vector<std::string> nonIdempotentPaths; ///< Service pools: path prefixes whose calls run at most once; none means all paths.
    std::vector<TargetId> targets;
};

struct TierSettings {
    std::string name;
    TierLevel level;
};

/// One client account with its key and share.
struct ClientAccountSettings {
    ClientAccountId id;
    TierLevel tier;
    double weight { 1 }; ///< The share inside the tier.
    int maxWaiting { 256 }; ///< Requests waiting in one instance.
    std::vector<std::string> keyHashes; ///< SHA-256 of each bearer key, hexadecimal.
};

/// Site-wide settings.
struct SiteSettings {
    std::string name { "site" };
    std::chrono::milliseconds viewAgeLimit { 3'000 }; ///< No dispatch on settings confirmed longer ago.
    std::chrono::milliseconds heartbeatPeriod { 500 };
    std::chrono::milliseconds suspectAfter { 2'000 }; ///< Without an answer for so long, a peer counts as gone.
    std::chrono::milliseconds headReadPeriod { 1'000 }; ///< Between reads of the version row.
    std::chrono::hours claimRetention { 48 };
    ByteCount maxBody { 4L * 1024 * 1024 };
    ByteCount maxStoredAnswer { 256L * 1024 };
};

/// All settings in force at one version.
struct Settings {
    SettingsVersion version;
    SiteSettings site;
    std::map<PoolId, PoolSettings> pools;
    std::map<TargetId, TargetSettings> targets;
    std::map<ClientAccountId, ClientAccountSettings> accounts;
    std::vector<TierSettings> tiers;
};

} // namespace limpetpond
