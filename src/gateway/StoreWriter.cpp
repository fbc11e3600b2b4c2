#include "gateway/StoreWriter.h"

#include "platform/StoreCalls.h"

namespace limpetpond {

namespace {

    constexpr Duration writeTime = std::chrono::milliseconds(1500);
    constexpr Duration firstBackoff = std::chrono::milliseconds(200);
    constexpr Duration longestBackoff = std::chrono::seconds(3);

} // namespace

StoreWriter::StoreWriter(boost::asio::io_context& context, const Clock& clock, StoreWriterOptions options)
    : m_context(context)
    , m_clock(clock)
    , m_options(std::move(options))
    , m_timer(context)
    , m_backoff(firstBackoff)
{
}

void StoreWriter::call()
{
    SteadyTime now = m_clock.steadyNow();
    m_channel = std::make_shared<HttpChannel>(m_context, m_clock, m_options.store);
    m_isCalling = true;
    m_status = 0;
    m_callDeadline = now + writeTime;
    std::string body = platform::writeBody(m_options.table, m_options.key, m_options.value);
    std::string text = "POST " + std::string(platform::writePath) + " HTTP/1.1\r\nHost: store\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    m_channel->send(std::move(text), {}, false, *this);
}

void StoreWriter::tick(SteadyTime now)
{
    if (!m_isCalling)
        return;
    bool isConnectLate = m_channel->isConnecting() && now > m_channel->connectDeadline();
    if (!isConnectLate && now < m_callDeadline)
        return;
    m_channel->abandon();
    retryLater();
}

void StoreWriter::onHead(HttpAnswerHead&& head) { m_status = head.status; }

void StoreWriter::onWhole()
{
    constexpr int ok = 200;
    m_isCalling = false;
    if (m_status != ok) {
        retryLater();
        return;
    }
    m_channel->abandon();
    m_options.onWritten();
}

void StoreWriter::onFailure(ChannelFailure, bool) { retryLater(); }

void StoreWriter::retryLater()
{
    m_isCalling = false;
    m_timer.expires_after(m_backoff);
    m_backoff = std::min(m_backoff * 2, longestBackoff);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            call();
    });
}

} // namespace limpetpond
