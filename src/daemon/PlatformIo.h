#pragma once

/// Carries out the actions of the control thread that wait for the platform or for other
/// instances, on threads of its own, and posts what came of each.

#include "base/Metrics.h"
#include "base/Timeline.h"
#include "core/Messages.h"
#include "daemon/ControlThread.h"
#include "daemon/WorkerPool.h"
#include "limpetpond/Clock.h"
#include "peer/PeerClient.h"
#include "store/ClaimStore.h"
#include "store/SettingsHolder.h"
#include "store/SettingsStore.h"
#include <functional>
#include <mutex>
#include <vector>

namespace limpetpond {

/// The outside calls; the daemon binds the clients, tests put their own in.
/// Each returns the event that tells what came of it.
struct PlatformCalls {
    std::function<std::vector<ClaimAnswered>(const std::vector<WriteClaim>&)> writeClaims;
    std::function<ClaimAnswered(const ReadClaim&)> readClaim;
    std::function<SettingsHeadRead(SteadyTime startedAt)> readSettingsHead;
    std::function<SettingsArrived(const FetchSettings&)> fetchSettings;
    std::function<MarkAnswered(const MarkTarget&)> markTarget;
    std::function<ControlEvent(const SendHeartbeat&, SteadyTime sentAt)> sendHeartbeat;
    std::function<LeaseAnswered(const AccessLease&)> accessLease;
    std::function<EngineCommandProgress(const SendEngineCommand&)> sendEngineCommand;
};

struct PlatformIoOptions {
    int threads { 8 }; ///< Shared out among claims, settings and heartbeats, so that none waits for another.
    std::size_t maxQueued { 4'096 }; ///< Of each kind; one more fails at once.
    std::size_t maxBatch { 50 }; ///< Claim writes that one call may carry.
};

/// Takes actions from the control thread without waiting for them.
///
///     PlatformIo io({ .threads = 8 }, calls, clock, [&](ControlEvent event) { control.post(std::move(event)); });
///     io.carryOut(action);
class PlatformIo {
public:
    PlatformIo(PlatformIoOptions, PlatformCalls, const Clock&, std::function<void(ControlEvent)> post);
    ~PlatformIo();
    PlatformIo(const PlatformIo&) = delete;
    PlatformIo& operator=(const PlatformIo&) = delete;

    void carryOut(const ControlAction&);

    /// Finishes what was taken.
    void stop();

private:
    void enqueue(const WriteClaim&);
    void enqueue(const ReadClaim&);
    void enqueue(const ReadSettingsHead&);
    void enqueue(const FetchSettings&);
    void enqueue(const MarkTarget&);
    void enqueue(const SendHeartbeat&);
    void enqueue(const AccessLease&);
    void enqueue(const SendEngineCommand&);
    // These are for the control thread itself to carry out.
    void enqueue(const Dispatch&) { }
    void enqueue(const CancelDispatch&) { }
    void enqueue(const FinalAnswer&) { }
    void enqueue(const AnswerHeartbeat&) { }
    void enqueue(const RaiseAlarm&) { }
    void writePendingClaims();

    PlatformIoOptions m_options;
    PlatformCalls m_calls;
    const Clock& m_clock;
    std::function<void(ControlEvent)> m_post;
    std::mutex m_pendingMutex;
    std::vector<WriteClaim> m_pendingWrites;
    WorkerPool m_claims;
    WorkerPool m_settings;
    WorkerPool m_heartbeats;
    WorkerPool m_engineCommands;
};

/// What the real calls need. All outlive the calls.
struct PlatformClients {
    TableClient& table;
    SettingsStore& store;
    SettingsHolder& holder;
    PeerClient& peers;
    Timeline& timeline;
    const Clock& clock;
    HttpTimeouts engineCommandTimeouts;
    std::function<std::shared_ptr<const Settings>()> settings; ///< In force; may be null.
    std::function<void(AlarmKind, std::string)> raiseAlarm;
};

/// The calls bound to the platform's and the peers' clients.
PlatformCalls makePlatformCalls(const PlatformClients&);

} // namespace limpetpond
