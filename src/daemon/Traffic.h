#pragma once

/// Serves the callers' requests: parses and authenticates a request, posts it to the control thread, executes the
/// dispatches that the control thread decides, forwards the answer and ends with one outcome.

#include "base/Metrics.h"
#include "caller/CallerServer.h"
#include "daemon/ControlThread.h"
#include "daemon/WorkerPool.h"
#include "engine/EngineClient.h"
#include "limpetpond/Clock.h"
#include "service/ServiceClient.h"
#include <atomic>
#include <functional>
#include <httplib.h>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace limpetpond {

/// The functions that call targets; tests replace them.
struct TargetCalls {
    std::function<EngineCallEnd(const EngineAddress&, const EngineCall&, const EngineCallHandlers&, CallStop&)> engine { callEngine };
    std::function<ServiceCallEnd(const ServiceCall&, CallStop&)> service { callService };
};

struct TrafficOptions {
    std::string instanceId;
    std::uint64_t incarnation { 0 }; ///< Part of each request id, so that ids differ between starts.
    int maxOpenStreams { 600 };
    int maxWaitingRequests { 1'024 };
    ByteCount maxAnswer { 16LL * 1024 * 1024 };
    ByteCount maxStreamBuffer { 1024LL * 1024 };
    std::chrono::milliseconds connectTimeout { 500 };
    bool servesAdmin { true }; ///< Health and metrics are also served on the callers' listener.
};

namespace detail {
    class CallHandler;
    struct Attempt;
}

/// Serves requests; all traffic threads, which are the threads of the `CallerServer`, share one object.
///
///     Traffic traffic(options, control, clock, metrics, timeline, {});
///     CallerServer server(serverOptions, traffic.handler(), traffic.refusalHandler());
class Traffic {
public:
    Traffic(TrafficOptions, ControlThread&, const Clock&, Metrics&, Timeline&, TargetCalls);
    ~Traffic();
    Traffic(const Traffic&) = delete;
    Traffic& operator=(const Traffic&) = delete;

    /// Handles the callers' requests.
    CallerServer::Handler handler();

    /// Fills in the answers to requests that the HTTP library rejected.
    CallerServer::Handler refusalHandler();

    /// Handles only `/healthz`, `/readyz` and `/metrics`.
    CallerServer::Handler adminHandler();

    /// Number of unfinished requests, queued ones included.
    int openRequests() const { return m_open.load(); }

    /// Number of running dispatches. That of a claimed call continues after its caller disconnected.
    int runningDispatches() const;

    /// Makes `/readyz` answer 503 from now on.
    void beginDrain() { m_draining = true; }

    /// Ends every unfinished request with an explicit error and stops its dispatch. Called when draining exceeds its time
    /// limit.
    void abortAll();

private:
    friend class detail::CallHandler;

    void serve(const httplib::Request&, httplib::Response&, CallerConnection&);
    void serveAdmin(const httplib::Request&, httplib::Response&);
    void startAttempt(const std::shared_ptr<detail::Attempt>&);
    RequestId makeRequestId();

    TrafficOptions m_options;
    ControlThread& m_control;
    const Clock& m_clock;
    Metrics& m_metrics;
    Timeline& m_timeline;
    TargetCalls m_calls;
    std::string m_idPrefix;
    std::atomic<std::uint64_t> m_lastRequest { 0 };
    std::atomic<int> m_open { 0 };
    std::atomic<int> m_waiting { 0 };
    mutable std::mutex m_attemptsMutex;
    std::set<std::shared_ptr<detail::Attempt>> m_attempts; ///< The running attempts.
    std::atomic<bool> m_draining { false };
    std::atomic<bool> m_aborting { false };
    WorkerPool m_workers;
};

} // namespace limpetpond
