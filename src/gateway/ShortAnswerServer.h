#pragma once

/// An HTTP server for requests that are answered at once with a short whole answer: readiness probes, metrics and rows
/// for other instances.

#include "limpetpond/Clock.h"
#include "traffic/HttpServerConnection.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

namespace limpetpond {

struct ShortAnswer {
    int status { 200 };
    std::string_view contentType { "text/plain" };
    std::string body;
};

class ShortAnswerServer final : public RequestHandler {
public:
    using Answer = std::function<ShortAnswer(const ReceivedRequest&)>;
    ShortAnswerServer(boost::asio::io_context&, const Clock&, Answer);

    /// Listens on IP:PORT; returns an error text on failure.
    std::optional<std::string> start(const std::string& address);

private:
    void accept();
    CallerLimits callerLimits() const override { return {}; }
    void onRequest(const std::shared_ptr<HttpServerConnection>&, ReceivedRequest&&) override;
    void onCallerDisconnected(HttpServerConnection&, const boost::system::error_code&) override { }
    void onWriteBufferEmpty(HttpServerConnection&) override { }
    void onConnectionClosed(HttpServerConnection&) override { }

    const Clock& m_clock;
    Answer m_answer;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

/// Opens a listening socket on IP:PORT; returns an error text on failure.
std::optional<std::string> listenOn(boost::asio::ip::tcp::acceptor&, const std::string& address);

} // namespace limpetpond
