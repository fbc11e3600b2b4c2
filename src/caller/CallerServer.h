#pragma once

/// The HTTP listener for callers, on cpp-httplib: bounded threads, headers, bodies and waits.

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
    Endpoint listen; ///< Port 0 takes a free one.
    std::string settingName { "--caller_port" }; ///< Named when the address can't be had.
    int maxConnections { 640 }; ///< Connections served at once; those beyond are told to come back.
    ByteCount maxHeaders { 32LL * 1024 }; ///< The request line and all headers together.
    ByteCount maxBody { 4LL * 1024 * 1024 };
    std::chrono::milliseconds readTimeout { 15'000 }; ///< For the headers as a whole, and between two pieces of a body.
    std::chrono::milliseconds writeTimeout { 15'000 };
    std::chrono::milliseconds keepAliveTimeout { 30'000 };
};

/// What the handler may know of the connection besides the request.
struct CallerConnection {
    int socket { -1 }; ///< Watched for the caller's going away.
    bool isOverLimit { false }; ///< More connections than allowed: the request is to be refused.
    httplib::Headers headers; ///< As they were sent; cpp-httplib interprets and drops some.
    bool mustClose { false }; ///< The rest of the request can't be told from the next one.
    int refusedStatus { 0 }; ///< The request broke a bound while it was read: 400, 408, 413 or 431.
};

/// Serves every method and path through one handler, on a thread for each connection.
/// What cpp-httplib refuses by itself goes to `refused`, which fills the answer in.
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

    /// Binds and serves; the port. Errors: InvalidSetting when the address can't be had.
    Result<int> start();

    /// Stops listening, breaks off idle connections and waits for the threads. Running answers are cut off.
    void stop();

    int openConnections() const;

private:
    class Listener;
    CallerServerOptions m_options;
    std::unique_ptr<Listener> m_listener;
    std::thread m_thread;
};

} // namespace limpetpond
