#include "daemon/Traffic.h"

#include "caller/CallerApi.h"
#include "daemon/Attempt.h"
#include "daemon/CallHandler.h"
#include "daemon/CallParser.h"
#include <cstdio>

namespace limpetpond {

using namespace detail;

Traffic::Traffic(TrafficOptions options, ControlThread& control, const Clock& clock, Metrics& metrics, Timeline& timeline, TargetCalls calls)
    : m_options(std::move(options))
    , m_control(control)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_timeline(timeline)
    , m_calls(std::move(calls))
    , m_workers({ .maxThreads = static_cast<std::size_t>(2 * m_options.maxOpenStreams), .maxQueued = static_cast<std::size_t>(4 * m_options.maxOpenStreams) })
{
    char prefix[32];
    std::snprintf(prefix, sizeof prefix, "-%llx-", static_cast<unsigned long long>(m_options.incarnation));
    m_idPrefix = m_options.instanceId + prefix;
}

Traffic::~Traffic() { m_workers.stop(); }

RequestId Traffic::makeRequestId()
{
    return RequestId { m_idPrefix + std::to_string(++m_lastRequest) };
}

CallerServer::Handler Traffic::handler()
{
    return [this](const httplib::Request& request, httplib::Response& response, CallerConnection& connection) { serve(request, response, connection); };
}

CallerServer::Handler Traffic::refusalHandler()
{
    return [this](const httplib::Request&, httplib::Response& response, CallerConnection&) {
        constexpr int payloadTooLarge = 413;
        constexpr int headersTooLarge = 431;
        constexpr int uriTooLong = 414;
        if (response.status < 400)
            response.status = 400;
        bool isTooLarge = response.status == payloadTooLarge || response.status == headersTooLarge || response.status == uriTooLong;
        fillError(response, { .status = response.status, .reason = isTooLarge ? Reason::TooLarge : Reason::BadRequest }, makeRequestId());
    };
}

CallerServer::Handler Traffic::adminHandler()
{
    return [this](const httplib::Request& request, httplib::Response& response, CallerConnection&) { serveAdmin(request, response); };
}

void Traffic::serveAdmin(const httplib::Request& request, httplib::Response& response)
{
    switch (routeCall(request.method, request.path, request.target).route) {
    case CallRoute::Health:
        response.set_content("ok\n", "text/plain");
        return;
    case CallRoute::Ready: {
        bool ready = m_control.view()->ready && !m_draining;
        response.status = ready ? 200 : 503;
        response.set_header(outcomeHeader, "completed");
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
        return;
    }
    case CallRoute::Metrics:
        m_metrics.gauge("limpetpond_open_requests", "Requests in progress or waiting.").set(m_open.load());
        m_metrics.gauge("limpetpond_waiting_requests", "Requests that wait for a target.").set(m_waiting.load());
        m_metrics.gauge("limpetpond_ready", "1 when the instance takes callers.").set(m_control.view()->ready && !m_draining);
        response.set_content(m_metrics.prometheusText(), "text/plain; version=0.0.4");
        return;
    default:
        fillError(response, { .status = 404, .reason = Reason::NotFound }, makeRequestId());
    }
}

void Traffic::serve(const httplib::Request& request, httplib::Response& response, CallerConnection& connection)
{
    RoutedCall routed = routeCall(request.method, request.path, request.target);
    RequestId id = makeRequestId();
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            bool hasKey = routed.route == CallRoute::Service && connection.headers.count(idempotencyKeyHeader);
            switch (routed.route) {
            case CallRoute::Health:
            case CallRoute::Ready:
            case CallRoute::Metrics:
                if (!m_options.servesAdmin)
                    return refuse(Reason::NotFound, false);
                serveAdmin(request, response);
                return {};
            case CallRoute::NotFound:
                return refuse(Reason::NotFound, false);
            case CallRoute::WrongMethod:
                return boost::leaf::new_error(ApiError { .status = 405, .reason = Reason::BadRequest, .message = "The path does not take this method." });
            default:
                break;
            }
            std::shared_ptr<const PublishedView> view = m_control.view();
            if (connection.isOverLimit || m_open >= m_options.maxOpenStreams || m_waiting >= m_options.maxWaitingRequests)
                return refuse(Reason::Overloaded, hasKey);
            if (routed.route == CallRoute::Models) {
                BOOST_LEAF_CHECK(authenticate(*view, connection, false));
                response.set_header(outcomeHeader, "completed");
                response.set_content(modelsBody(*view->settings), jsonContentType);
                return {};
            }
            BOOST_LEAF_AUTO(call, parseCall(routed, *view, request, connection, id, m_clock.steadyNow()));
            handleCall(*this, std::move(call), connection.socket, response);
            return {};
        },
        [&](const ApiError& error) {
            m_metrics.counter("limpetpond_refused_total", "Requests refused before they reached the control thread.", { { "reason", std::string(toString(error.reason)) } }).add();
            fillError(response, error, id);
        },
        [&] { fillError(response, { .status = 500, .outcome = Outcome::Unknown, .reason = Reason::AnswerLost }, id); });
}

int Traffic::runningDispatches() const
{
    std::lock_guard lock(m_attemptsMutex);
    return static_cast<int>(m_attempts.size());
}

void Traffic::abortAll()
{
    m_aborting = true;
    std::lock_guard lock(m_attemptsMutex);
    for (const auto& attempt : m_attempts)
        attempt->stop.request();
}

void Traffic::startAttempt(const std::shared_ptr<detail::Attempt>& attempt)
{
    {
        std::lock_guard lock(m_attemptsMutex);
        m_attempts.insert(attempt);
    }
    auto removeAttempt = [this, attempt] {
        std::lock_guard lock(m_attemptsMutex);
        m_attempts.erase(attempt);
    };
    bool isQueued = m_workers.submit([this, attempt, removeAttempt] {
        runAttempt(*attempt, m_options, m_calls, m_control, m_clock);
        removeAttempt();
    });
    if (isQueued)
        return;
    removeAttempt();
    const Dispatch& dispatch = attempt->dispatch;
    attempt->inbox->mailbox.post(AttemptEnded { .attempt = dispatch.attempt, .end = DispatchEnd::NotStarted, .detail = "no thread is free" });
    m_control.post(DispatchEnded { .request = dispatch.request, .attempt = dispatch.attempt, .end = DispatchEnd::NotStarted });
}

} // namespace limpetpond
