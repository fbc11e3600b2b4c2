#pragma once

/// Checks a randomised run against the promises of the scheduler, using only what targets ran and what callers and
/// operators were answered.

#include "core/Messages.h"
#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace limpetpond::soak {

/// A violated promise, its time on the fake clock and the request, target or instance concerned.
struct Violation {
    SteadyTime at;
    std::string promise;
    std::string detail;
};

/// A request as its caller sent it, its dispatches and its answer.
struct RequestRecord {
    RequestArrived arrival;
    int instance { 0 };
    std::uint64_t epoch { 0 }; ///< Identifies the process of the instance.
    int runs { 0 };
    int answers { 0 };
    bool isLost { false }; ///< The caller disconnected before an instance read the request.
    Outcome outcome { Outcome::Unknown };
    Reason reason { Reason::None };
};

/// The dispatches and answers of all requests with one idempotency key.
struct KeyRecord {
    int runs { 0 };
    std::uint64_t ranToken { 0 }; ///< The retry token of the last dispatch.
    std::uint64_t notRunToken { 0 }; ///< The highest retry token answered with "not run".
    std::string ranBody;
};

/// A dispatch in progress at a target.
struct RunningDispatch {
    RequestId request;
    AttemptId attempt;
    TargetId target;
    PoolId pool;
    TierLevel tier;
    int instance { 0 };
};

/// The state of a target as operators saw it.
struct TargetRecord {
    bool isLeaving { false }; ///< The accepted mark; false while a change of the mark is not yet accepted.
    SteadyTime acceptedAt;
    bool isReportedEmpty { false }; ///< An instance reported that the target has no work left.
};

/// Records the events of a run and the violations they show.
///
///     oracle.requestSent(arrival, instance, epoch);
///     oracle.callerAnswered(answer, now);
///     oracle.violations();
class Oracle {
public:
    void requestSent(const RequestArrived&, int instance, std::uint64_t epoch);
    void requestLost(const RequestId&); ///< The caller disconnected before an instance read the request.
    void dispatchStarted(const RunningDispatch&, SettingsVersion used, SteadyTime now);
    void dispatchEnded(const AttemptId&);
    void callerAnswered(const FinalAnswer&, SteadyTime now);
    void versionApplied(int instance, std::uint64_t epoch, SettingsVersion, SteadyTime now);
    void changeAccepted(SettingsVersion, SteadyTime now);
    /// The store may return older settings versions until then. An instance that reaches no peer can't detect this, so
    /// the checks of settings and leaving marks are suspended.
    void storeIsStaleUntil(SteadyTime until) { m_storeStaleUntil = std::max(m_storeStaleUntil, until); }
    void markChanging(const TargetId&);
    void markAccepted(const TargetId&, bool isLeaving, SteadyTime now);
    void targetReportedEmpty(const TargetId&, SteadyTime now);
    /// An engine accepted a command. Its effect ends at `effectEndsAt`.
    void commandAccepted(const TargetId&, bool checksFencing, int instance, FencingNumber, SteadyTime now, SteadyTime effectEndsAt);
    void pieceMismatch(SteadyTime now);
    void invariantViolated(std::string name, SteadyTime now);
    /// Checks that each request of a live process was answered. Call it when all faults have ended and the recovery time
    /// is over.
    void finish(const std::set<std::pair<int, std::uint64_t>>& liveProcesses, SteadyTime now);

    const std::vector<Violation>& violations() const { return m_violations; }
    const std::map<AttemptId, RunningDispatch>& running() const { return m_running; }
    const RequestRecord* find(const RequestId&) const;
    void addViolation(std::string promise, std::string detail, SteadyTime now);

    std::uint64_t runs { 0 };
    std::uint64_t completed { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t unknown { 0 };
    std::uint64_t shed { 0 };

private:
    struct CommandRecord {
        FencingNumber number;
        int instance { -1 };
        SteadyTime effectEndsAt;
    };

    KeyRecord& keyRecordOf(const RequestArrived&);

    std::map<RequestId, RequestRecord> m_requests;
    std::map<std::pair<ClientAccountId, IdempotencyKey>, KeyRecord> m_keys;
    std::map<AttemptId, RunningDispatch> m_running;
    std::map<TargetId, TargetRecord> m_targets;
    std::map<SettingsVersion, SteadyTime> m_acceptedVersions;
    std::map<std::pair<int, std::uint64_t>, SettingsVersion> m_versions;
    std::map<TargetId, CommandRecord> m_commands;
    std::vector<Violation> m_violations;
    SteadyTime m_storeStaleUntil;
};

} // namespace limpetpond::soak
