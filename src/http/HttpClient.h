#pragma once

/// Calls to peers by HTTP, with failures that tell what can have reached the peer.

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

namespace httplib {
class Client;
}

namespace limpetpond {

/// Where a peer listens: an IP number and a TCP port.
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
    std::optional<SteadyTime> sendBefore; ///< The body is not sent later, so that a peer which needs it starts nothing.
};

struct HttpResponse {
    int status { 0 };
    std::vector<HttpHeader> headers;
    std::string body; ///< Empty for streamed bodies.
};

/// Time limits of one call.
struct HttpTimeouts {
    std::chrono::milliseconds connect { 1'000 };
    std::chrono::milliseconds read { 5'000 }; ///< Between two pieces of the answer, and before the first one.
    std::chrono::milliseconds write { 5'000 };
};

/// The first value of a header, its name compared without case; empty for none.
///
///     std::string type = headerValue(response.headers, "content-type");
std::string headerValue(const std::vector<HttpHeader>&, std::string_view name);

/// Breaks off a call from another thread. One object serves one call at a time.
///
///     CallStop stop;
///     stop.request(); // From any thread: the call under way ends within milliseconds.
class CallStop {
public:
    CallStop() = default;
    ~CallStop() { detach(); }
    CallStop(const CallStop&) = delete;
    CallStop& operator=(const CallStop&) = delete;

    void request();
    bool isRequested() const { return m_requested.load(); }

    /// Used by the clients: holds the socket of the call under way, to shut it down on a request.
    void attach(int socket);
    void detach();

private:
    std::atomic<bool> m_requested { false };
    std::mutex m_mutex;
    int m_socket { -1 }; ///< A duplicate, so that its number can't pass to another connection.
};

/// What a streamed call reports while it runs. A callback that returns false ends the call.
struct HttpStreamHandlers {
    std::function<bool(const HttpResponse& head)> head; ///< Status and headers; may be null.
    std::function<bool(std::string_view data)> data;
};

/// Makes one call over a connection of its own, so that `CallFailure::NotSent` proves that
/// no byte of the request, or no byte of its body where `sendBefore` has passed, left this process.
/// `stop` may be null.
///
///     Result<HttpResponse> answer = httpCall({ "127.0.0.1", 8080 }, { .path = "/load" }, {});
Result<HttpResponse> httpCall(const HttpEndpoint&, const HttpRequest&, const HttpTimeouts&, CallStop* stop = nullptr);

/// As `httpCall`, with the answer's body given to `handlers.data` as it arrives.
/// A body that breaks off is `CallFailure::NoAnswer` with the status that was read.
///
///     httpStream(endpoint, request, {}, { .data = [&](std::string_view data) { return take(data); } });
Result<HttpResponse> httpStream(const HttpEndpoint&, const HttpRequest&, const HttpTimeouts&, const HttpStreamHandlers&, CallStop* stop = nullptr);

/// Thread-safe calls to one peer over kept connections.
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

    /// Any status is an answer; only a call without a whole answer fails.
    Result<HttpResponse> call(const HttpRequest&);

private:
    std::unique_ptr<httplib::Client> take();
    void give(std::unique_ptr<httplib::Client>);

    HttpEndpoint m_endpoint;
    HttpTimeouts m_timeouts;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<httplib::Client>> m_idle;
};

} // namespace limpetpond
