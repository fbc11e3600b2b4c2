#pragma once

/// Executes the control thread's actions that wait for the platform, for other instances or for engines on worker
/// threads, and posts the result of each as an event.

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

/// The calls that leave the process; the daemon binds the clients, tests replace them. Each returns its result as an
/// event, `sendEngineCommand` as the progress of the command.
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
    int threads { 8 }; ///< Divided among claims, settings and heartbeats, so that none waits for another.
    std::size_t maxQueued { 4'096 }; ///< Actions in the queue of each worker pool; one more fails at once.
    std::size_t maxBatch { 50 }; ///< Claim writes in one call.
};

/// Executes actions of the control thread without blocking it.
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

    /// Executes the queued actions and stops the threads.
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
    // The control thread carries these out itself.
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
    WorkerPool m_engineCommands; ///< Its threads are not counted in `PlatformIoOptions::threads`.
};

/// What the calls of the daemon need. All references must outlive the calls.
struct PlatformClients {
    TableClient& table;
    SettingsStore& store;
    SettingsHolder& holder;
    PeerClient& peers;
    Timeline& timeline;
    const Clock& clock;
    HttpTimeouts engineCommandTimeouts;
    std::function<std::shared_ptr<const Settings>()> settings; ///< The settings in force; may be null.
    std::function<void(AlarmKind, std::string)> raiseAlarm;
};

/// Binds the calls to the clients.
PlatformCalls makePlatformCalls(const PlatformClients&);

} // namespace limpetpond
