#include "gateway/ShortAnswerServer.h"

#include "gateway/HttpText.h"
#include "traffic/HttpClientConnection.h"

namespace limpetpond {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr int listenBacklog = 1024;

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

ShortAnswerServer::ShortAnswerServer(asio::io_context& context, const Clock& clock, Answer answer)
    : m_clock(clock)
    , m_answer(std::move(answer))
    , m_acceptor(context)
{
}

std::optional<std::string> ShortAnswerServer::start(const std::string& address)
{
    std::optional<std::string> error = listenOn(m_acceptor, address);
    if (!error)
        accept();
    return error;
}

void ShortAnswerServer::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            std::make_shared<HttpServerConnection>(std::move(socket), m_clock, *this)->start();
        accept();
    });
}

void ShortAnswerServer::onRequest(const std::shared_ptr<HttpServerConnection>& connection, ReceivedRequest&& request)
{
    ShortAnswer answer = m_answer(request);
    connection->write(gatewayAnswerText({ .status = answer.status, .keepAlive = request.keepAlive, .contentType = answer.contentType, .body = answer.body }));
    connection->finishAnswer(request.keepAlive);
}

} // namespace limpetpond
