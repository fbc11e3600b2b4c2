#pragma once

/// HTTP client whose failures state whether the request can have reached the server.

#include "limpetpond/Clock.h"
#include "limpetpond/Errors.h"
#include "limpetpond/Units.h"
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetpond {

class AnswerClient;

/// The IP address and TCP port of an HTTP server.
struct HttpEndpoint {
    std::string host;
    int port { 0 };
    bool operator==(const HttpEndpoint&) const = default;
};

struct HttpHeader {
    std::string name;
    std::string value;
};

struct HttpRequest {
    std::string method { "GET" };
    std::string path { "/" }; ///< With the query, percent-encoded.
    std::vector<HttpHeader> headers;
    std::string contentType; ///< Empty for none.
    std::string body;
    std::optional<SteadyTime> sendBefore; ///< The body is not sent after this time, so that a server which needs the body starts nothing.
};

struct HttpResponse {
    int status { 0 };
    std::vector<HttpHeader> headers;
    std::string body; ///< Empty for streamed bodies.
};

/// Timeouts of one call.
struct HttpTimeouts {
    std::chrono::milliseconds connect { 1'000 };
    std::chrono::milliseconds read { 5'000 }; ///< Before the first byte of the answer, and between two reads of it.
    std::chrono::milliseconds write { 5'000 };
};

/// Returns the first value of a header, whose name is compared case-insensitively; empty if it is absent.
///
///     std::string type = headerValue(response.headers, "content-type");
std::string headerValue(const std::vector<HttpHeader>&, std::string_view name);

/// Stops a call from another thread. One object serves one call at a time.
///
///     CallStop stop;
///     stop.request(); // From any thread; the running call ends within milliseconds.
class CallStop {
public:
    CallStop() = default;
    ~CallStop() { detach(); }
    CallStop(const CallStop&) = delete;
    CallStop& operator=(const CallStop&) = delete;

    void request();
    bool isRequested() const { return m_requested.load(); }

    /// Used by the clients to register the socket of the running call, which `request` shuts down.
    void attach(int socket);
    void detach();

private:
    std::atomic<bool> m_requested { false };
    std::mutex m_mutex;
    int m_socket { -1 }; ///< A duplicate, so that its descriptor can't be reused for another connection.
};

/// Callbacks of a streamed call. A callback that returns false ends the call.
struct HttpStreamHandlers {
    std::function<bool(const HttpResponse& head)> head; ///< Called once with status and headers, not for interim answers (1xx); may be null.
    std::function<bool(std::string_view data)> data;
};

/// Makes one call over a new connection, so that `CallFailure::NotSent` proves that no byte of the
/// request was sent, or no byte of its body if `sendBefore` has passed. `stop` may be null.
///
///     Result<HttpResponse> answer = httpCall({ "127.0.0.1", 8080 }, { .path = "/load" }, {});
Result<HttpResponse> httpCall(const HttpEndpoint&, const HttpRequest&, const HttpTimeouts&, CallStop* stop = nullptr);

/// As `httpCall`, but passes the answer's body to `handlers.data` as it arrives.
/// Fails with the received status and `CallFailure::NoAnswer` when the body is incomplete, `CallFailure::Malformed` when the
/// answer breaks the rules of HTTP.
///
///     httpStream(endpoint, request, {}, { .data = [&](std::string_view data) { return append(data); } });
Result<HttpResponse> httpStream(const HttpEndpoint&, const HttpRequest&, const HttpTimeouts&, const HttpStreamHandlers&, CallStop* stop = nullptr);

/// Thread-safe calls to one server over reused connections.
///
///     HttpConnectionPool pool({ "127.0.0.1", 8000 }, {});
///     Result<HttpResponse> answer = pool.call({ .path = "/load" });
class HttpConnectionPool {
public:
    HttpConnectionPool(HttpEndpoint, HttpTimeouts);
    ~HttpConnectionPool();
    HttpConnectionPool(const HttpConnectionPool&) = delete;
    HttpConnectionPool& operator=(const HttpConnectionPool&) = delete;

    const HttpEndpoint& endpoint() const { return m_endpoint; }

    /// Succeeds for any status; fails only when no complete answer was received.
    Result<HttpResponse> call(const HttpRequest&);

private:
    std::unique_ptr<AnswerClient> acquire();
    void release(std::unique_ptr<AnswerClient>);

    HttpEndpoint m_endpoint;
    HttpTimeouts m_timeouts;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<AnswerClient>> m_idle;
};

} // namespace limpetpond
