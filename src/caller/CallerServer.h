#pragma once

/// The HTTP server for callers, on cpp-httplib, with limits on threads, headers, bodies and waits.

#include "base/ProcessSettings.h"
#include <atomic>
#include <chrono>
#include <functional>
#include <httplib.h>
#include <memory>
#include <string>
#include <thread>

namespace limpetpond {

struct CallerServerOptions {
    Endpoint listen; ///< Port 0 binds a free port.
    std::string settingName { "--caller_port" }; ///< The setting named in the error when the address can't be bound.
    int maxConnections { 640 }; ///< Concurrent connections; requests on further ones are refused.
    ByteCount maxHeaders { 32LL * 1024 }; ///< Total size of the request line and all headers.
    ByteCount maxBody { 4LL * 1024 * 1024 };
    std::chrono::milliseconds readTimeout { 15'000 }; ///< For all headers together, and between two reads of a body.
    std::chrono::milliseconds writeTimeout { 15'000 };
    std::chrono::milliseconds keepAliveTimeout { 30'000 };
};

/// Connection data for the handler in addition to the request.
struct CallerConnection {
    int socket { -1 }; ///< The handler watches it to detect that the caller disconnected.
    bool isOverLimit { false }; ///< There are more than `maxConnections`; the handler must refuse the request.
    httplib::Headers headers; ///< The headers as they were sent; some are removed from the request so that cpp-httplib does not act on them.
    bool mustClose { false }; ///< The end of the request is unknown, so no further request can be read.
    int refusedStatus { 0 }; ///< The status if the request has no clear body length (400) or too large a body (413); 0 otherwise.
};

/// Serves every method and path through one handler, on a thread for each connection.
/// `refused` fills in the answer to a request that was refused before the handler.
///
///     CallerServer server({ .listen = { "127.0.0.1", 8080 } }, handler, refused);
///     BOOST_LEAF_AUTO(port, server.start());
class CallerServer {
public:
    using Handler = std::function<void(const httplib::Request&, httplib::Response&, CallerConnection&)>;

    CallerServer(CallerServerOptions, Handler, Handler refused);
    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    /// Binds the address, starts to serve and returns the port. Fails with `InvalidSetting` when the address
    /// can't be bound.
    Result<int> start();

    /// Stops listening, closes idle connections, cuts off running answers and waits for the threads.
    void stop();

    int openConnections() const;

private:
    class Listener;
    CallerServerOptions m_options;
    std::unique_ptr<Listener> m_listener;
    std::thread m_thread;
};

} // namespace limpetpond
