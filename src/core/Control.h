#pragma once

/// The control state of one instance, composed of the modules of the decision core.
///
/// One thread owns a `Control`. `handle` processes one event and appends the actions to
/// execute; nothing here does I/O or reads a clock. Each request gets exactly one
/// FinalAnswer.

#include "core/Claims.h"
#include "core/CleaningSchedule.h"
#include "core/ControlStatus.h"
#include "core/Drain.h"
#include "core/EngineCommands.h"
#include "core/Membership.h"
#include "core/Messages.h"
#include "core/Scheduler.h"
#include "core/SettingsReplica.h"
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace limpetpond {

struct ControlOptions {
    InstanceId instance;
    Incarnation incarnation;
    std::uint64_t seed { 1 }; ///< Seeds every random choice of the core.
    ClaimOptions claims;
    EngineCommandOptions engineCommands;
    Duration staleGrace { std::chrono::seconds(1) }; ///< How long requests wait for a stale settings view to be confirmed again.
    Duration urgentHeartbeatGap { std::chrono::milliseconds(20) }; ///< Minimum time between heartbeats sent for a changed floor.
    Duration floorHeartbeatPeriod { std::chrono::milliseconds(100) }; ///< Period of heartbeats to all peers while a floor is requested.
};

namespace detail {

    enum class RequestPhase {
        Claiming, ///< A claim operation is in progress; not queued.
        Waiting, ///< Queued in its pool.
        Dispatched,
        Recording, ///< The dispatch of a claimed call ended; the final state of its claim is being written.
    };

    /// A request that is not finished yet.
    struct ActiveRequest {
        RequestArrived arrival;
        RequestPhase phase { RequestPhase::Waiting };
        SteadyTime arrivedAt;
        std::optional<ClaimProgress> claim;
        AttemptId attempt; ///< The attempt of the current dispatch or of the claim.
        TargetId target;
        int dispatches { 0 };
        bool mayHaveRun { false }; ///< A dispatch reached a target.
        bool callerDisconnected { false };
        bool isAnswered { false };
        std::optional<Reason> cancelReason; ///< Why the dispatch was cancelled.
        std::optional<std::chrono::seconds> retryAfter;
    };

    /// Identifies the newest heartbeat applied from a peer; older ones are dropped.
    struct LatestHeartbeat {
        Incarnation incarnation;
        std::uint64_t sequence { 0 };
    };

} // namespace detail

class Control {
public:
    explicit Control(ControlOptions, SteadyTime now);

    /// Processes one event and appends the actions to execute.
    ///
    ///     ControlActions actions;
    ///     control.handle(Tick { clock.systemNow() }, clock.steadyNow(), actions);
    void handle(const ControlEvent&, SteadyTime now, ControlActions& out);

    /// The settings in force; null before the first ones arrived.
    std::shared_ptr<const Settings> settings() const { return m_replica.settings; }

    /// Whether a load balancer should send requests to this instance.
    bool isReady(SteadyTime now) const;

    /// Whether every request has its final answer and no claim write is pending.
    bool isDrained() const { return m_requests.empty(); }

    /// The snapshot that operators read.
    ControlStatus status(SteadyTime now) const;

    const SettingsReplica& replica() const { return m_replica; }
    const Membership& membership() const { return m_membership; }
    const std::map<PoolId, PoolScheduler>& schedulers() const { return m_schedulers; }

private:
    using Requests = std::map<RequestId, detail::ActiveRequest>;

    void onEvent(const RequestArrived&, SteadyTime now, ControlActions& out);
    void onEvent(const AnswerStarted&, SteadyTime now, ControlActions& out);
    void onEvent(const DispatchEnded&, SteadyTime now, ControlActions& out);
    void onEvent(const CallerDisconnected&, SteadyTime now, ControlActions& out);
    void onEvent(const ClaimAnswered&, SteadyTime now, ControlActions& out);
    void onEvent(const TargetReported&, SteadyTime now, ControlActions& out);
    void onEvent(const CacheChanged&, SteadyTime now, ControlActions& out);
    void onEvent(const SettingsHeadRead&, SteadyTime now, ControlActions& out);
    void onEvent(const SettingsArrived&, SteadyTime now, ControlActions& out);
    void onEvent(const MarkAnswered&, SteadyTime now, ControlActions& out);
    void onEvent(const HeartbeatReceived&, SteadyTime now, ControlActions& out);
    void onEvent(const HeartbeatAnswered&, SteadyTime now, ControlActions& out);
    void onEvent(const HeartbeatLost&, SteadyTime now, ControlActions& out);
    void onEvent(const InstanceListRead&, SteadyTime now, ControlActions& out);
    void onEvent(const EngineCommandAnswered&, SteadyTime now, ControlActions& out);
    void onEvent(const LeaseAnswered&, SteadyTime now, ControlActions& out);
    void onEvent(const Tick&, SteadyTime now, ControlActions& out);
    void onEvent(const ShutdownRequested&, SteadyTime now, ControlActions& out);

    std::optional<Reason> refusalReason(const RequestArrived&, SteadyTime now) const;
    void refuse(const RequestArrived&, Reason, SteadyTime now, ControlActions& out);
    AttemptId nextAttempt();
    void queue(detail::ActiveRequest&, SteadyTime now);
    void giveUp(detail::ActiveRequest&, Reason, std::optional<std::chrono::seconds> retryAfter, SteadyTime now, ControlActions& out);
    void giveUpWaiting(Reason, std::chrono::seconds retryAfter, SteadyTime now, ControlActions& out);
    void answer(detail::ActiveRequest&, Outcome, Reason, std::optional<std::chrono::seconds> retryAfter, ControlActions& out);
    void endIdempotentDispatch(detail::ActiveRequest&, const DispatchEnded&, SteadyTime now, ControlActions& out);
    void endClaimedDispatch(detail::ActiveRequest&, const DispatchEnded&, SteadyTime now, ControlActions& out);
    void retryOrGiveUp(detail::ActiveRequest&, SteadyTime now, ControlActions& out);
    void applyClaimVerdict(detail::ActiveRequest&, ClaimVerdict, SteadyTime now, ControlActions& out);
    void forgetIfEnded(const RequestId&);

    void schedule(SteadyTime now, ControlActions& out);
    void schedulePool(PoolScheduler&, SteadyTime now, ControlActions& out);
    void carryOut(PoolScheduler&, const DispatchDecision&, SteadyTime now, ControlActions& out);
    void carryOut(PoolScheduler&, const ShedDecision&, SteadyTime now, ControlActions& out);
    void carryOut(PoolScheduler&, const CancelDecision&, SteadyTime now, ControlActions& out);
    bool pauseOnStaleView(SteadyTime now, ControlActions& out);

    void applyNewSettings(SteadyTime now);
    void applyPeerUpdates(const Heartbeat&, std::optional<SteadyTime> answersSentAt, SteadyTime now);
    void applyMembership(SteadyTime now);
    void sendHeartbeats(SteadyTime now, ControlActions& out);
    bool floorsChanged();
    bool wantsFloor() const;
    Heartbeat makeHeartbeat(SteadyTime now);
    std::vector<TargetUpdate> allTargetUpdates() const;
    std::set<TargetId> emptyTargets(SteadyTime now) const;
    std::size_t rankAmongLive() const;
    void advanceTargets(const Tick&, SteadyTime now, ControlActions& out);
    void recordAlarms(std::size_t from, SteadyTime now, const ControlActions& out);

    ControlOptions m_options;
    SettingsReplica m_replica;
    Membership m_membership;
    DrainTracker m_drains;
    CleaningState m_cleaning;
    std::map<PoolId, PoolScheduler> m_schedulers;
    std::map<PoolId, PoolCommands> m_poolCommands;
    Requests m_requests;
    std::set<RequestId> m_openClaims;
    std::map<InstanceId, detail::LatestHeartbeat> m_latestHeartbeats;
    std::map<InstanceId, Incarnation> m_schedulerPeers;
    std::map<PoolId, std::pair<TierLevel, TierLevel>> m_lastFloors;
    std::map<std::pair<AlarmKind, std::string>, SteadyTime> m_alarms;
    SettingsVersion m_appliedVersion;
    std::optional<SteadyTime> m_staleSince;
    SteadyTime m_lastBroadcastAt;
    std::uint64_t m_attemptsMade { 0 };
    bool m_isShuttingDown { false };
};

} // namespace limpetpond
