#include "gateway/TimedHttpCall.h"

#include "platform/StoreCalls.h"

namespace limpetpond {

namespace {

    constexpr int ok = 200;
    constexpr const char* tooLarge = "answer too large";
    constexpr std::size_t maxBodyBytes = 8U << 20; ///< No valid answer is larger: the store answers with 1 MB at most, and a peer with a table of thousands of rows.

} // namespace

std::string getRequestText(std::string_view path, std::string_view host)
{
    std::string text("GET ");
    return text.append(path).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n\r\n");
}

std::string postRequestText(std::string_view path, std::string_view host, std::string_view body)
{
    std::string text("POST ");
    text.append(path).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\nContent-Type: application/json\r\nContent-Length: ");
    return text.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
}

TimedHttpCall::TimedHttpCall(boost::asio::io_context& context, const Clock& clock, OnDone onDone)
    : m_context(context)
    , m_clock(clock)
    , m_onDone(std::move(onDone))
{
}

void TimedHttpCall::start(const boost::asio::ip::tcp::endpoint& endpoint, std::string requestText, Duration timeout)
{
    SteadyTime now = m_clock.steadyNow();
    if (!m_connection || endpoint != m_endpoint || !m_connection->isReusable(now)) {
        closeConnection();
        m_connection = std::make_shared<HttpClientConnection>(m_context, m_clock, endpoint);
        m_endpoint = endpoint;
    }
    m_isInProgress = true;
    m_status = 0;
    m_storeEpoch.reset();
    m_body = std::string();
    m_isTooLarge = false;
    m_deadline = now + timeout;
    m_connection->send(std::move(requestText), nullptr, {}, false, *this);
}

void TimedHttpCall::closeConnection()
{
    if (m_connection)
        m_connection->close();
    m_connection.reset();
    m_isInProgress = false;
}

void TimedHttpCall::tick(SteadyTime now)
{
    if (!m_isInProgress)
        return;
    bool isConnectLate = m_connection->isConnecting() && now > m_connection->connectDeadline();
    if (!isConnectLate && now < m_deadline)
        return;
    abort("timeout");
}

void TimedHttpCall::abort(std::string failure)
{
    m_connection->close();
    m_status = 0;
    m_storeEpoch.reset();
    finish(std::move(failure));
}

void TimedHttpCall::onHead(HttpAnswerHead&& head)
{
    m_status = head.status;
    m_storeEpoch = platform::decodeStoreEpoch(fieldValue(head.fields, platform::Field::StoreEpoch));
}

void TimedHttpCall::onBody(std::string_view bytes)
{
    if (m_body.size() + bytes.size() <= maxBodyBytes)
        m_body.append(bytes);
    else
        m_isTooLarge = true;
}

void TimedHttpCall::onReadProcessed()
{
    if (m_isTooLarge)
        abort(tooLarge);
}

void TimedHttpCall::onComplete()
{
    if (m_isTooLarge)
        abort(tooLarge);
    else
        finish(m_status == ok ? "" : "status " + std::to_string(m_status));
}

void TimedHttpCall::onFailure(ExchangeFailure failure, bool)
{
    m_status = 0;
    m_storeEpoch.reset();
    finish(failure == ExchangeFailure::NotConnected ? "not connected" : "connection lost");
}

void TimedHttpCall::finish(std::string failure)
{
    m_isInProgress = false;
    m_onDone({ .status = m_status, .body = std::move(m_body), .storeEpoch = m_storeEpoch, .failure = std::move(failure) });
}

} // namespace limpetpond
