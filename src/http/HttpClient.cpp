#include "http/HttpClient.h"

#include "http/AnswerClient.h"
#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace limpetpond {

namespace {

    constexpr std::size_t maxIdleConnections = 16;

    // shutdown() fails with ENOTCONN between socket() and connect(), so it is retried a limited number of times.
    constexpr int maxShutdownTries = 50;
    constexpr auto shutdownRetryDelay = std::chrono::milliseconds(1);

    bool equalsIgnoringCase(std::string_view a, std::string_view b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(),
            [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
    }

    httplib::Request toHttplib(const HttpRequest& request)
    {
        httplib::Request out;
        out.method = request.method;
        out.path = request.path;
        for (const HttpHeader& header : request.headers)
            out.headers.emplace(header.name, header.value);
        if (!request.contentType.empty())
            out.set_header("Content-Type", request.contentType);
        if (!out.has_header("Accept-Encoding"))
            out.set_header("Accept-Encoding", "identity");
        out.body = request.body;
        return out;
    }

    // Starts to send the body only until `sendBefore`; after that, sets `late` and ends the call.
    void limitBodySendTime(httplib::Request& out, const HttpRequest& request, bool& late)
    {
        out.body.clear();
        out.content_length_ = request.body.size();
        out.content_provider_ = [&request, &late](std::size_t offset, std::size_t length, httplib::DataSink& sink) {
            late = late || (!offset && std::chrono::steady_clock::now() > *request.sendBefore);
            return !late && sink.write(request.body.data() + offset, length);
        };
    }

    // Registers a call's socket with its CallStop while the call runs.
    class StopGuard {
    public:
        StopGuard(CallStop* stop, httplib::ClientImpl& client)
            : m_stop(stop)
        {
            if (m_stop)
                client.set_socket_options([stop](socket_t socket) { stop->attach(socket); });
        }
        ~StopGuard()
        {
            if (m_stop)
                m_stop->detach();
        }
        StopGuard(const StopGuard&) = delete;
        StopGuard& operator=(const StopGuard&) = delete;

    private:
        CallStop* m_stop;
    };

} // namespace

std::string headerValue(const std::vector<HttpHeader>& headers, std::string_view name)
{
    for (const HttpHeader& header : headers) {
        if (equalsIgnoringCase(header.name, name))
            return header.value;
    }
    return {};
}

void CallStop::request()
{
    m_requested = true;
    for (int i = 0; i < maxShutdownTries; ++i) {
        {
            std::lock_guard lock(m_mutex);
            if (m_socket < 0)
                return;
            if (!::shutdown(m_socket, SHUT_RDWR) || errno != ENOTCONN)
                return;
        }
        std::this_thread::sleep_for(shutdownRetryDelay);
    }
}

void CallStop::attach(int socket)
{
    std::lock_guard lock(m_mutex);
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = ::dup(socket);
}

void CallStop::detach()
{
    std::lock_guard lock(m_mutex);
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

Result<HttpResponse> httpStream(const HttpEndpoint& endpoint, const HttpRequest& request, const HttpTimeouts& timeouts,
    const HttpStreamHandlers& handlers, CallStop* stop)
{
    auto stopped = [stop] { return stop && stop->isRequested(); };
    if (stopped())
        return boost::leaf::new_error(CallError { .failure = CallFailure::NotSent, .detail = "the call was stopped before it started" });

    AnswerClient client(endpoint, timeouts);
    StopGuard guard(stop, client);
    httplib::Request out = toHttplib(request);
    bool late = false;
    if (request.sendBefore && !request.body.empty())
        limitBodySendTime(out, request, late);
    out.content_receiver = [&](const char* data, std::size_t length, std::uint64_t, std::uint64_t) {
        return !stopped() && handlers.data(std::string_view(data, length));
    };
    AnswerHandlers answerHandlers;
    answerHandlers.onHead = [&](const HttpResponse& head) { return !stopped() && (!handlers.head || handlers.head(head)); };
    answerHandlers.isStopped = stopped;
    Result<HttpResponse> answer = client.call(out, answerHandlers);
    if (late)
        return boost::leaf::new_error(CallError { .failure = CallFailure::NotSent, .detail = "the request was not sent within its time limit" });
    return answer;
}

Result<HttpResponse> httpCall(const HttpEndpoint& endpoint, const HttpRequest& request, const HttpTimeouts& timeouts, CallStop* stop)
{
    std::string body;
    HttpStreamHandlers handlers;
    handlers.data = [&](std::string_view data) {
        body += data;
        return true;
    };
    Result<HttpResponse> answer = httpStream(endpoint, request, timeouts, handlers, stop);
    if (answer)
        answer->body = std::move(body);
    return answer;
}

HttpConnectionPool::HttpConnectionPool(HttpEndpoint endpoint, HttpTimeouts timeouts)
    : m_endpoint(std::move(endpoint))
    , m_timeouts(timeouts)
{
}

HttpConnectionPool::~HttpConnectionPool() = default;

Result<HttpResponse> HttpConnectionPool::call(const HttpRequest& request)
{
    auto client = acquire();
    httplib::Request out = toHttplib(request);
    Result<HttpResponse> answer = client->call(out);
    if (client->mayReuse())
        release(std::move(client));
    return answer;
}

std::unique_ptr<AnswerClient> HttpConnectionPool::acquire()
{
    {
        std::lock_guard lock(m_mutex);
        while (!m_idle.empty()) {
            auto client = std::move(m_idle.back());
            m_idle.pop_back();
            if (client->isQuiet())
                return client;
        }
    }
    auto client = std::make_unique<AnswerClient>(m_endpoint, m_timeouts);
    client->set_keep_alive(true);
    return client;
}

void HttpConnectionPool::release(std::unique_ptr<AnswerClient> client)
{
    std::lock_guard lock(m_mutex);
    if (m_idle.size() < maxIdleConnections)
        m_idle.push_back(std::move(client));
}

} // namespace limpetpond
