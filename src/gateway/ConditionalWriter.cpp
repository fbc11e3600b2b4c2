#include "gateway/ConditionalWriter.h"

#include <utility>

namespace limpetpond {

namespace {

    /// A store that is available answers within a few round trips, and a rollout may have to end within a few seconds.
    constexpr Duration callTimeout = std::chrono::milliseconds(800);

} // namespace

ConditionalWriter::ConditionalWriter(boost::asio::io_context& context, const Clock& clock, boost::asio::ip::tcp::endpoint store)
    : m_store(std::move(store))
    , m_call(context, clock, [this](const TimedHttpCallResult& result) { onCallDone(result); })
{
}

void ConditionalWriter::write(ConditionalWrite write)
{
    m_pending.push_back(std::move(write));
    if (m_pending.size() == 1)
        callNext();
}

void ConditionalWriter::callNext()
{
    const ConditionalWrite& write = m_pending.front();
    m_failure.clear();
    if (write.writes.empty()) {
        readBack();
        return;
    }
    m_isReadingBack = false;
    m_call.start(m_store, postRequestText(platform::writePath, "store", platform::transactionBody({ write.condition }, write.writes)), callTimeout);
}

void ConditionalWriter::readBack()
{
    const platform::RowCondition& condition = m_pending.front().condition;
    m_isReadingBack = true;
    m_call.start(m_store, getRequestText(platform::rowPath(condition.table, condition.key), "store"), callTimeout);
}

void ConditionalWriter::onCallDone(const TimedHttpCallResult& result)
{
    using Outcome = ConditionalWriteResult::Outcome;
    const platform::RowCondition& condition = m_pending.front().condition;
    bool hasRow = m_isReadingBack ? result.isOk() : result.status == platform::conditionFailedStatus;
    if (hasRow) {
        if (!m_isReadingBack)
            m_failure = "condition failed";
        if (std::optional<platform::Row> row = platform::decodeConditionRow(result.body, condition.table, condition.key)) {
            finish({ .outcome = Outcome::ReadBack, .row = std::move(*row), .epoch = result.storeEpoch, .failure = m_failure });
            return;
        }
    }
    std::optional<std::uint64_t> version = !m_isReadingBack && result.isOk() ? platform::decodeWriteVersion(result.body) : std::nullopt;
    if (version) {
        finish({ .outcome = Outcome::Written, .row = { .key = condition.key, .version = *version }, .epoch = result.storeEpoch });
        return;
    }
    if (m_isReadingBack) {
        finish({ .outcome = Outcome::Unknown, .failure = m_failure.empty() ? result.failure : m_failure });
        return;
    }
    if (m_failure.empty())
        m_failure = result.isOk() ? "malformed answer" : result.failure;
    readBack();
}

void ConditionalWriter::finish(const ConditionalWriteResult& result)
{
    ConditionalWrite ended = std::move(m_pending.front());
    m_pending.pop_front();
    if (m_pending.empty())
        m_call.closeConnection(); // Further writes are rare.
    else
        callNext();
    ended.onDone(result);
}

} // namespace limpetpond
