#pragma once

/// One randomised run of the control state of several instances on a fake clock. Fakes of the table service, targets,
/// callers, network and operators inject faults.
///
/// All random choices come from one seeded generator and all containers are ordered, so a seed always replays the same
/// run. `digest` covers every event and action.

#include "core/Control.h"
#include "core/Invariant.h"
#include "test/soak/Oracle.h"
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace limpetpond::soak {

struct SimulationOptions {
    std::uint64_t seed { 1 };
    std::uint64_t steps { 50'000 }; ///< Events handled by the instances before the recovery begins.
};

/// Counts of the injected faults, for the report.
struct FaultCounts {
    std::uint64_t kills { 0 };
    std::uint64_t cuts { 0 };
    std::uint64_t freezes { 0 };
    std::uint64_t storeOutages { 0 };
    std::uint64_t lostAnswers { 0 };
    std::uint64_t slowTargets { 0 };
    std::uint64_t bursts { 0 };
    std::uint64_t staleHeads { 0 };
    std::uint64_t conflicts { 0 };
};

/// Instances and their fakes.
///
///     SimulatedCluster cluster({ .seed = 7, .steps = 20'000 });
///     cluster.run();
///     cluster.violations();
class SimulatedCluster {
public:
    explicit SimulatedCluster(SimulationOptions);

    /// Runs until the steps are used up and the cluster has recovered, or until a promise is violated.
    void run();

    const std::vector<Violation>& violations() const { return m_oracle.violations(); }
    const Oracle& oracle() const { return m_oracle; }
    const FaultCounts& faults() const { return m_faults; }
    std::uint64_t digest() const { return m_digest; }
    std::uint64_t steps() const { return m_steps; }

    /// Records a violated invariant of the core; the invariant handler calls it.
    void recordInvariant(InvariantId);

private:
    using Work = std::function<void()>;

    struct ScheduledWork {
        SteadyTime at;
        std::uint64_t sequence { 0 };
        Work work;
        bool operator<(const ScheduledWork& other) const { return std::pair(at, sequence) > std::pair(other.at, other.sequence); }
    };

    struct Instance {
        InstanceId id;
        std::unique_ptr<Control> control;
        std::uint64_t epoch { 0 };
        SteadyTime frozenUntil;
        bool isCutFromStore { false };
    };

    struct FakeTarget {
        TargetSettings settings;
        double slowdown { 1 };
        std::set<AttemptId> cancelled;
        FencingNumber highestNumber;
    };

    struct StoredClaim {
        ClaimRow row;
        SteadyTime expiresAt;
    };

    /// An idempotency key that callers reuse until `useUntil`.
    struct ActiveKey {
        IdempotencyKey key;
        ClientAccountId account;
        std::uint64_t bodyHash { 0 };
        std::uint64_t token { 0 };
        SteadyTime useUntil;
    };

    // Random choices
    bool chance(double probability);
    std::int64_t randomBetween(std::int64_t low, std::int64_t high);
    Duration randomDelay(Duration low, Duration high);

    // Scheduling on the fake clock
    void scheduleAfter(Duration, Work);
    void scheduleAt(SteadyTime, Work);
    /// Runs the work in the instance's process. Delays it while the process is frozen and drops it when the process has
    /// ended.
    void onInstance(int instance, std::uint64_t epoch, Duration, Work);
    void deliver(int instance, std::uint64_t epoch, Duration, ControlEvent);
    void handle(int instance, const ControlEvent&, const std::function<void(const Heartbeat&)>& answerHeartbeat);
    void addToDigest(std::uint64_t);
    void addToDigest(const std::string&);

    // Instances
    void startInstance(int);
    void kill(int);
    void tick(int instance, std::uint64_t epoch);
    void pollInstancesAndTargets(int instance, std::uint64_t epoch);
    std::vector<ListedInstance> listInstances() const;
    bool isCut(int from, int to) const { return m_cuts.contains({ from, to }); }
    int indexOf(const InstanceId&) const;

    // Actions
    void carryOut(int, const Dispatch&);
    void carryOut(int, const CancelDispatch&);
    void carryOut(int, const FinalAnswer&);
    void carryOut(int, const WriteClaim&);
    void carryOut(int, const ReadClaim&);
    void carryOut(int, const ReadSettingsHead&);
    void carryOut(int, const FetchSettings&);
    void carryOut(int, const MarkTarget&);
    void carryOut(int, const SendHeartbeat&);
    void carryOut(int, const AnswerHeartbeat&) { }
    void carryOut(int, const AccessLease&);
    void carryOut(int, const SendEngineCommand&);
    void carryOut(int, const RaiseAlarm&) { }

    // Targets
    void startAtTarget(int instance, std::uint64_t epoch, const Dispatch&, SettingsVersion used);
    void endAtTarget(int instance, std::uint64_t epoch, const Dispatch&, DispatchEnd);
    void checkStream(const AttemptId&);
    /// Returns a request of a lower tier that runs for this instance or for one that it can reach; empty for none.
    std::string findLowerTierRunning(int instance, const RequestRecord&) const;
    void checkTierInversion(int instance, const FinalAnswer&);

    // Table service
    enum class StoreOutcome { Served,
        NotSent,
        NoEffect,
        LostAnswer,
        LateEffect };
    StoreOutcome drawStoreOutcome(int instance);
    Duration storeDelay();
    /// The delay until another thread of the process executes an action.
    Duration threadDelay();
    bool applyClaim(const WriteClaim&);
    std::optional<ClaimRow> unexpiredRow(const ClientAccountId&, const IdempotencyKey&);

    // Callers
    void scheduleArrival();
    void sendNextCall();
    void sendRequest(RequestArrived, int instance);
    RequestArrived makeDraftRequest();
    RequestArrived makeKeyedCall();

    // Operators
    void runOperator();
    void editSettings();
    void commitSettings(const std::shared_ptr<Settings>&, const std::optional<TargetId>& marked, int instance);
    void awaitAcceptance(SettingsVersion, const std::optional<TargetId>&, bool isLeaving, int instance, std::uint64_t epoch, SteadyTime until);
    void checkEmptyTargets();

    // Faults
    void injectFault();
    void heal();

    SimulationOptions m_options;
    pcg32 m_random;
    SteadyTime m_now { std::chrono::hours(1) };
    std::uint64_t m_sequence { 0 };
    std::uint64_t m_steps { 0 };
    std::uint64_t m_digest { 0xcbf29ce484222325 };
    std::priority_queue<ScheduledWork> m_queue;
    Oracle m_oracle;
    FaultCounts m_faults;
    bool m_isHealing { false };

    std::vector<Instance> m_instances;
    std::map<TargetId, FakeTarget> m_targets;
    std::set<std::pair<int, int>> m_cuts;
    std::map<std::pair<int, int>, SteadyTime> m_cutHealedAt;
    std::map<std::pair<ClientAccountId, IdempotencyKey>, StoredClaim> m_claims;
    std::map<LeaseId, LeaseRow> m_leases;
    std::vector<std::shared_ptr<const Settings>> m_versions;
    SteadyTime m_storeDownUntil;
    SteadyTime m_storeSlowUntil;
    SteadyTime m_storeLossyUntil;
    SteadyTime m_staleHeadUntil;
    SteadyTime m_burstUntil;
    std::vector<InstanceId> m_unlistedInstances;
    std::vector<ActiveKey> m_activeKeys;
    std::map<RequestId, std::string> m_lowerTierAtClose;
    std::uint64_t m_requestCount { 0 };
    std::uint64_t m_keyCount { 0 };
    std::uint64_t m_processCount { 0 };
    double m_load { 1 };
};

} // namespace limpetpond::soak
