#include "gateway/SmallCall.h"

namespace limpetpond {

namespace {

    constexpr int ok = 200;
    constexpr std::size_t mostBody = 32U << 20; ///< Bytes; a larger answer is none that was asked for.

} // namespace

std::string getText(std::string_view path, std::string_view host)
{
    std::string text("GET ");
    return text.append(path).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n\r\n");
}

SmallCall::SmallCall(boost::asio::io_context& context, const Clock& clock, OnEnd onEnd)
    : m_context(context)
    , m_clock(clock)
    , m_onEnd(std::move(onEnd))
{
}

void SmallCall::start(const boost::asio::ip::tcp::endpoint& endpoint, std::string requestText, Duration timeLimit)
{
    SteadyTime now = m_clock.steadyNow();
    if (!m_connection || endpoint != m_endpoint || !m_connection->isReusable(now)) {
        closeConnection();
        m_connection = std::make_shared<HttpClientConnection>(m_context, m_clock, endpoint);
        m_endpoint = endpoint;
    }
    m_isInProgress = true;
    m_status = 0;
    m_body.clear();
    m_deadline = now + timeLimit;
    m_connection->send(std::move(requestText), {}, false, *this);
}

void SmallCall::closeConnection()
{
    if (m_connection)
        m_connection->close();
    m_connection.reset();
    m_isInProgress = false;
}

void SmallCall::tick(SteadyTime now)
{
    if (!m_isInProgress)
        return;
    bool isConnectLate = m_connection->isConnecting() && now > m_connection->connectDeadline();
    if (!isConnectLate && now < m_deadline)
        return;
    m_connection->close();
    m_status = 0;
    end("timeout");
}

void SmallCall::onHead(HttpAnswerHead&& head) { m_status = head.status; }

void SmallCall::onBody(std::string_view bytes)
{
    if (m_body.size() + bytes.size() <= mostBody)
        m_body.append(bytes);
}

void SmallCall::onComplete() { end(m_status == ok ? "" : "status " + std::to_string(m_status)); }

void SmallCall::onFailure(ExchangeFailure failure, bool)
{
    m_status = 0;
    end(failure == ExchangeFailure::NotConnected ? "not connected" : "connection lost");
}

void SmallCall::end(std::string failure)
{
    m_isInProgress = false;
    m_onEnd({ .status = m_status, .body = std::move(m_body), .failure = std::move(failure) });
}

} // namespace limpetpond
