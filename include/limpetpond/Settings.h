#pragma once

/// The settings in force, resolved from the settings tree into plain structs.
///
/// `resolve` in `core/SettingsTree.h` makes a `Settings` from the tree; the decision core
/// reads only this. Every field has a default, so that an empty tree is valid.

#include "limpetpond/Ids.h"
#include "limpetpond/Units.h"
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limpetpond {

/// What a target is.
enum class TargetKind {
    ModelEngine,
    PlainService,
};

/// Whether a target gets new requests.
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

/// The state that an engine command requests; repeating the command has no further effect.
struct EngineDesiredState {
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;
    std::string role; ///< `prefill`, `decode` or `both`.
    bool operator==(const EngineDesiredState&) const = default;
};

/// A back end, which is a model engine or a plain service.
struct TargetSettings {
    TargetId id;
    PoolId pool;
    FailureDomainId failureDomain;
    TargetKind kind { TargetKind::ModelEngine };
    std::string host; ///< An IPv4 address.
    int port { 0 };
    TargetMark mark { TargetMark::Serving };
    SettingsVersion markVersion; ///< The version that set the mark.
    bool markedForCleaning { false }; ///< The cleaning schedule set the mark and will remove it.
    SettingsVersion branchVersion; ///< The version of the target's branch.
    TokenCount maxTokensInProgress { 64'000 }; ///< Model engines: prompt and answer tokens in progress at once.
    int maxRequestsInProgress { 64 };
    TokenRate prefillRate { 8'000 }; ///< The expected prompt processing rate; the learned rate replaces it.
    TokenRate decodeRate { 40 }; ///< The expected generation rate of one stream.
    TokenCount cacheCapacity { 200'000 }; ///< The size of the prefix cache in tokens.
    bool checksFencing { false }; ///< The target refuses commands with an old fencing number.
    bool checksKeys { false }; ///< The target itself refuses to run an idempotency key again.
    std::optional<EngineDesiredState> desired; ///< When none, the engine gets no commands.
    std::optional<CleaningWindow> cleaningWindow;
    std::chrono::minutes cleaningTime { 30 }; ///< Duration of the cleaning once the target is empty.
};

/// A set of targets that serve the same requests.
struct PoolSettings {
    PoolId id;
    TargetKind kind { TargetKind::ModelEngine };
    std::vector<ModelId> models; ///< Model pools: the values that the API accepts as `model`.
    std::string service; ///< Service pools: NAME in /services/NAME/.
    int maxWaiting { 512 }; ///< Limit of waiting requests at one instance.
    std::chrono::milliseconds maxWait { 20'000 }; ///< Longest time that a request may wait; an earlier deadline takes precedence.
    std::chrono::milliseconds callTimeout { 60'000 }; ///< From the dispatch to the end of the answer.
    int maxDispatches { 3 }; ///< Maximum number of dispatches of one idempotent request.
    double retryBudget { 0.1 }; ///< Retries as a share of first dispatches.
    std::string policy { "limpetpond" }; ///< The routing policy; all others are baselines for comparison.
    double maxLeavingShare { 0.25 }; ///< The share of the pool's targets that the cleaning schedule empties at once; always at least one target.
    std::vector<std::string> nonIdempotentMethods; ///< Service pools: methods whose calls run at most once.
    std::vector<std::string> nonIdempotentPaths; ///< Service pools: path prefixes to which `nonIdempotentMethods` applies; empty for all paths.
    std::vector<TargetId> targets;
};

/// A tier of requests.
struct TierSettings {
    std::string name;
    TierLevel level;
};

/// A client account with its keys and its share of capacity.
struct ClientAccountSettings {
    ClientAccountId id;
    TierLevel tier;
    double weight { 1 }; ///< The share inside the tier, relative to other accounts.
    int maxWaiting { 256 }; ///< Limit of waiting requests at one instance.
    std::vector<std::string> keyHashes; ///< The SHA-256 digest of each bearer key, hexadecimal.
};

/// Site-wide settings.
struct SiteSettings {
    std::string name { "site" };
    std::chrono::milliseconds viewAgeLimit { 3'000 }; ///< Settings that were confirmed longer ago are not used for dispatches.
    std::chrono::milliseconds heartbeatPeriod { 500 };
    std::chrono::milliseconds suspectAfter { 2'000 }; ///< A peer without an answer for this long is suspected.
    std::chrono::milliseconds headReadPeriod { 1'000 }; ///< Period of the reads of the version row.
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
