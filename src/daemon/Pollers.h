#pragma once

/// Threads that read the engines' reports and the platform's instance list again and again.

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

/// Calls a function again and again on a thread of its own, with a pause in between.
///
///     PeriodicTask task(std::chrono::seconds(1), [] { refreshInstanceList(); });
class PeriodicTask {
public:
    PeriodicTask(std::chrono::milliseconds pause, std::function<void()>);
    ~PeriodicTask();
    PeriodicTask(const PeriodicTask&) = delete;
    PeriodicTask& operator=(const PeriodicTask&) = delete;

    /// Ends after the call under way.
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

/// Reads load and cache events of every engine in the view.
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

/// The list to use while the platform's can't be read: this instance and the peers given by hand.
InstanceListRead instanceListFromSettings(const ProcessSettings&);

/// Puts a list's addresses into the directory.
void updatePeerDirectory(const InstanceListRead&, const InstanceId& self, PeerDirectory&);

} // namespace limpetpond
