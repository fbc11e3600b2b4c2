#pragma once

/// The way of one request through a traffic thread: parse and authenticate, post it to the control
/// thread, make the dispatches that come back, pass the answer on and end with one outcome.

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

/// The calls to targets; tests put their own in.
struct TargetCalls {
    std::function<EngineCallEnd(const EngineAddress&, const EngineCall&, const EngineCallHandlers&, CallStop&)> engine { callEngine };
    std::function<ServiceCallEnd(const ServiceCall&, CallStop&)> service { callService };
};

struct TrafficOptions {
    std::string instanceId;
    std::uint64_t incarnation { 0 }; ///< Makes request ids differ between starts.
    int maxOpenStreams { 600 };
    int maxWaitingRequests { 1'024 };
    ByteCount maxAnswer { 16LL * 1024 * 1024 };
    ByteCount maxStreamBuffer { 1024LL * 1024 };
    std::chrono::milliseconds connectTimeout { 500 };
    bool servesAdmin { true }; ///< Health and metrics are served on the callers' listener too.
};

namespace detail {
    class CallHandler;
    struct Attempt;
}

/// Serves requests; one object for all traffic threads.
///
///     Traffic traffic(options, control, clock, metrics, timeline, {});
///     CallerServer server(serverOptions, traffic.handler(), traffic.refusalHandler());
class Traffic {
public:
    Traffic(TrafficOptions, ControlThread&, const Clock&, Metrics&, Timeline&, TargetCalls);
    ~Traffic();
    Traffic(const Traffic&) = delete;
    Traffic& operator=(const Traffic&) = delete;

    /// Serves callers.
    CallerServer::Handler handler();

    /// Fills in the answers to what the HTTP library refused.
    CallerServer::Handler refusalHandler();

    /// Serves `/healthz`, `/readyz` and `/metrics` alone.
    CallerServer::Handler adminHandler();

    /// Requests in progress, waiting ones included.
    int openRequests() const { return m_open.load(); }

    /// Dispatches that still run; a claimed one may outlive its caller.
    int runningDispatches() const;

    /// From now on `/readyz` says no.
    void beginDrain() { m_draining = true; }

    /// Ends every running request with an explicit error and breaks off its dispatch, since the time for draining is over.
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
    std::set<std::shared_ptr<detail::Attempt>> m_attempts; ///< Those that run.
    std::atomic<bool> m_draining { false };
    std::atomic<bool> m_aborting { false };
    WorkerPool m_workers;
};

} // namespace limpetpond
