#pragma once

/// A listener for small requests of the surroundings: health checks, metrics, settings for other instances.

#include "limpetpond/Clock.h"
#include "traffic/HttpServerConnection.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

namespace limpetpond {

/// What is answered.
struct SmallAnswer {
    int status { 200 };
    std::string_view contentType { "text/plain" };
    std::string body;
};

class SmallServer final : public RequestHandler {
public:
    using Answer = std::function<SmallAnswer(const ReceivedRequest&)>;
    SmallServer(boost::asio::io_context&, const Clock&, Answer);

    /// Listens on IP:PORT; an error text where that fails.
    std::optional<std::string> start(const std::string& address);

private:
    void accept();
    CallerLimits callerLimits() const override { return {}; }
    void onRequest(const std::shared_ptr<HttpServerConnection>&, ReceivedRequest&&) override;
    void onCallerDisconnected(HttpServerConnection&) override { }
    void onWriteBufferEmpty(HttpServerConnection&) override { }
    void onConnectionClosed(HttpServerConnection&) override { }

    const Clock& m_clock;
    Answer m_answer;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

/// Opens a listening socket on IP:PORT; an error text where that fails.
std::optional<std::string> listenOn(boost::asio::ip::tcp::acceptor&, const std::string& address);

} // namespace limpetpond
