#include "gateway/SmallServer.h"

#include "traffic/HttpChannel.h"
#include <boost/beast/http/status.hpp>

namespace limpetpond {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr int listenBacklog = 1024;

    std::string answerText(const SmallAnswer& answer, bool keepAlive)
    {
        boost::beast::string_view reason = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(static_cast<unsigned>(answer.status)));
        std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " " + std::string(reason.data(), reason.size()) + "\r\n";
        text.append("Content-Type: ").append(answer.contentType).append("\r\n");
        text.append("Content-Length: ").append(std::to_string(answer.body.size())).append("\r\n");
        if (!keepAlive)
            text.append("Connection: close\r\n");
        return text.append("\r\n").append(answer.body);
    }

} // namespace

std::optional<std::string> listenOn(tcp::acceptor& acceptor, const std::string& address)
{
    std::optional<tcp::endpoint> endpoint = parseEndpoint(address);
    if (!endpoint)
        return "not an address: " + address;
    boost::system::error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(listenBacklog, error);
    if (error)
        return address + ": " + error.message();
    return std::nullopt;
}

SmallServer::SmallServer(asio::io_context& context, const Clock& clock, Answer answer)
    : m_clock(clock)
    , m_answer(std::move(answer))
    , m_acceptor(context)
{
}

std::optional<std::string> SmallServer::start(const std::string& address)
{
    std::optional<std::string> error = listenOn(m_acceptor, address);
    if (!error)
        accept();
    return error;
}

void SmallServer::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            std::make_shared<CallerConnection>(std::move(socket), m_clock, *this)->start();
        accept();
    });
}

void SmallServer::onRequest(const std::shared_ptr<CallerConnection>& connection, HttpRequest&& request)
{
    connection->write(answerText(m_answer(request), request.keepAlive));
    connection->finishAnswer(request.keepAlive);
}

} // namespace limpetpond
