#pragma once

/// Judges a randomised run from outside: by what targets ran and what callers were told.

#include "core/Messages.h"
#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace limpetpond::soak {

/// A violation of a promise.
struct Violation {
    SteadyTime at;
    std::string promise;
    std::string detail;
};

/// A request as its caller sent it, and what became of it.
struct RequestRecord {
    RequestArrived arrival;
    int instance { 0 };
    std::uint64_t epoch { 0 }; ///< Of the instance's process.
    int runs { 0 };
    int answers { 0 };
    bool isLost { false };
    Outcome outcome { Outcome::Unknown };
    Reason reason { Reason::None };
};

/// What became of an idempotency key over all its requests.
struct KeyRecord {
    int runs { 0 };
    std::uint64_t ranToken { 0 };
    std::uint64_t toldToken { 0 }; ///< The highest token that came with "not run".
    std::string ranBody;
};

/// A dispatch that a target is working on.
struct RunningDispatch {
    RequestId request;
    AttemptId attempt;
    TargetId target;
    PoolId pool;
    TierLevel tier;
    int instance { 0 };
};

/// What operators were told of a target.
struct TargetRecord {
    bool isLeaving { false }; ///< The accepted mark; false while the change is under way.
    SteadyTime acceptedAt;
    bool isSaidEmpty { false };
};

class Oracle {
public:
    void requestSent(const RequestArrived&, int instance, std::uint64_t epoch);
    void requestLost(const RequestId&); ///< Its connection was closed before an instance read it.
    void dispatchStarted(const RunningDispatch&, SettingsVersion used, SteadyTime now);
    void dispatchEnded(const AttemptId&);
    void callerAnswered(const FinalAnswer&, SteadyTime now);
    void versionInForce(int instance, std::uint64_t epoch, SettingsVersion, SteadyTime now);
    void changeAccepted(SettingsVersion, SteadyTime now);
    /// The store shows older versions until then: an instance that reaches no peer can't know of newer ones.
    void storeIsStaleUntil(SteadyTime until) { m_storeStaleUntil = std::max(m_storeStaleUntil, until); }
    void markChanging(const TargetId&);
    void markAccepted(const TargetId&, bool isLeaving, SteadyTime now);
    void saidEmpty(const TargetId&, SteadyTime now);
    void orderTaken(const TargetId&, bool checksFencing, int instance, FencingNumber, SteadyTime now, SteadyTime lastEffect);
    void pieceMismatch(SteadyTime now);
    void invariantViolated(std::string name, SteadyTime now);
    /// To be called when all faults were healed long ago: each request of a living process has its answer.
    void finish(const std::set<std::pair<int, std::uint64_t>>& livingProcesses, SteadyTime now);

    const std::vector<Violation>& violations() const { return m_violations; }
    const std::map<AttemptId, RunningDispatch>& running() const { return m_running; }
    const RequestRecord* find(const RequestId&) const;
    void violate(std::string promise, std::string detail, SteadyTime now);

    std::uint64_t runs { 0 };
    std::uint64_t completed { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t unknown { 0 };
    std::uint64_t shed { 0 };

private:
    struct OrderRecord {
        FencingNumber number;
        int instance { -1 };
        SteadyTime lastEffect;
    };

    KeyRecord& keyOf(const RequestArrived&);

    std::map<RequestId, RequestRecord> m_requests;
    std::map<std::pair<ClientAccountId, IdempotencyKey>, KeyRecord> m_keys;
    std::map<AttemptId, RunningDispatch> m_running;
    std::map<TargetId, TargetRecord> m_targets;
    std::map<SettingsVersion, SteadyTime> m_accepted;
    std::map<std::pair<int, std::uint64_t>, SettingsVersion> m_versions;
    std::map<TargetId, OrderRecord> m_orders;
    std::vector<Violation> m_violations;
    SteadyTime m_storeStaleUntil;
};

} // namespace limpetpond::soak
