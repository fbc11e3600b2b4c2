#include "gateway/StoreWriter.h"

#include "platform/StoreCalls.h"

namespace limpetpond {

namespace {

    constexpr Duration writeTimeout = std::chrono::milliseconds(1500);
    constexpr Duration firstBackoff = std::chrono::milliseconds(200);
    constexpr Duration maxBackoff = std::chrono::seconds(3);

} // namespace

StoreWriter::StoreWriter(boost::asio::io_context& context, const Clock& clock, StoreWriterOptions options)
    : m_options(std::move(options))
    , m_timer(context)
    , m_call(context, clock, [this](const TimedHttpCallResult& result) { onCallDone(result); })
    , m_backoff(firstBackoff)
{
}

void StoreWriter::change(const std::string& key, std::optional<std::string> value)
{
    m_changes[key] = { .value = std::move(value), .number = ++m_lastNumber };
    if (!m_isWaiting)
        callNext();
}

void StoreWriter::callNext()
{
    const auto& [key, change] = *m_changes.begin();
    m_isWaiting = true;
    m_calledKey = key;
    m_calledNumber = change.number;
    std::string body = change.value ? platform::writeBody(m_options.table, key, *change.value) : platform::deleteBody(m_options.table, key);
    m_call.start(m_options.store, postRequestText(platform::writePath, "store", body), writeTimeout);
}

void StoreWriter::onCallDone(const TimedHttpCallResult& result)
{
    if (!result.isOk()) {
        retryLater();
        return;
    }
    m_isWaiting = false;
    m_backoff = firstBackoff;
    if (auto written = m_changes.find(m_calledKey); written != m_changes.end() && written->second.number == m_calledNumber)
        m_changes.erase(written);
    if (!m_changes.empty()) {
        callNext();
        return;
    }
    m_call.closeConnection(); // Further writes are rare.
    m_options.onWritten();
}

void StoreWriter::retryLater()
{
    m_timer.expires_after(m_backoff);
    m_backoff = std::min(m_backoff * 2, maxBackoff);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            callNext();
    });
}

} // namespace limpetpond
