#pragma once

/// Periodic reads of the engines' reports and of the platform's instance list.

#include "base/ProcessSettings.h"
#include "daemon/ControlThread.h"
#include "engine/EngineClient.h"
#include "limpetpond/Clock.h"
#include "peer/PeerClient.h"
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace limpetpond {

/// Calls a function periodically on its own thread, with a pause between the calls.
///
///     PeriodicTask task(std::chrono::seconds(1), [] { refreshInstanceList(); });
class PeriodicTask {
public:
    PeriodicTask(std::chrono::milliseconds pause, std::function<void()>);
    ~PeriodicTask();
    PeriodicTask(const PeriodicTask&) = delete;
    PeriodicTask& operator=(const PeriodicTask&) = delete;

    /// Waits for the current call to return and ends the thread.
    void stop();

private:
    void run();

    std::chrono::milliseconds m_pause;
    std::function<void()> m_call;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping { false };
    std::thread m_thread;
};

struct TargetPollerOptions {
    std::chrono::milliseconds period { 250 };
    HttpTimeouts timeouts;
    int threads { 4 };
};

/// Reads the load and the cache events of every engine in the settings; the threads share the engines.
class TargetPoller {
public:
    TargetPoller(TargetPollerOptions, ControlThread&, const Clock&);
    ~TargetPoller();
    void stop();

private:
    void pollShare(std::size_t share, std::map<TargetId, std::uint64_t>& lastSequences);
    void pollTarget(const TargetSettings&, std::uint64_t& lastSequence);

    TargetPollerOptions m_options;
    ControlThread& m_control;
    const Clock& m_clock;
    std::vector<std::unique_ptr<PeriodicTask>> m_tasks;
};

/// The instance list to use while the platform's list can't be read: this instance and the peers of the process
/// settings.
InstanceListRead instanceListFromSettings(const ProcessSettings&);

/// Replaces the addresses in the directory by those of the other instances in the list.
void updatePeerDirectory(const InstanceListRead&, const InstanceId& self, PeerDirectory&);

} // namespace limpetpond
