#include "gateway/StoreReader.h"

#include "core/Guard.h"
#include <utility>

namespace limpetpond {

namespace {

    constexpr Duration longPoll = std::chrono::seconds(20);
    constexpr Duration answerTimeout = std::chrono::milliseconds(1000); ///< Added to the requested wait.
    /// Between an answer with changes and the next call, so that a series of changes needs few calls.
    constexpr Duration pauseAfterChanges = std::chrono::milliseconds(300);
    /// A poll that has not ended for so long after the store reached a newer version was lost, or nothing changed in its table.
    constexpr Duration changeTimeout = std::chrono::milliseconds(150);
    constexpr Duration readTimeout = std::chrono::milliseconds(1500);
    constexpr Duration firstBackoff = std::chrono::milliseconds(100);
    constexpr Duration maxBackoff = std::chrono::milliseconds(800);
    /// Entries that expired while the store was unavailable are written again during this time.
    constexpr Duration settlingTime = std::chrono::milliseconds(2500);

} // namespace

StoreReader::StoreReader(boost::asio::io_context& context, const Clock& clock, StoreReaderOptions options)
    : m_clock(clock)
    , m_options(std::move(options))
    , m_timer(context)
    , m_call(context, clock, [this](TimedHttpCallResult&& result) { onCallDone(std::move(result)); })
    , m_backoff(firstBackoff)
{
}

void StoreReader::start() { call(); }

void StoreReader::call()
{
    m_calledAt = m_clock.steadyNow();
    if (m_isListing) {
        m_call.start(m_options.store, getRequestText(platform::rowsPath(m_options.table, m_nextPage), "store"), readTimeout);
        return;
    }
    auto wait = std::chrono::ceil<std::chrono::milliseconds>(pollWait());
    std::string path = platform::feedPath(m_options.table, m_version.number, static_cast<int>(wait.count()));
    m_call.start(m_options.store, getRequestText(path, "store"), wait + answerTimeout);
}

Duration StoreReader::pollWait() const
{
    bool isAnswerDue = !m_isReachable || m_storeVersion > m_version;
    if (isAnswerDue || (m_checkTurn && !m_storeTimeOffset))
        return Duration::zero();
    if (!m_checkTurn)
        return longPoll;
    return timeUntilCheck(*m_checkTurn, m_clock.steadyNow().time_since_epoch() + *m_storeTimeOffset);
}

void StoreReader::setCheckTurn(const std::optional<CheckTurn>& turn)
{
    bool isFirstTurn = turn && !m_checkTurn;
    m_checkTurn = turn;
    if (!isFirstTurn)
        return;
    m_storeTimeOffset.reset();
    if (isReading() && !m_isListing)
        restartCall(); // The poll in progress may be a long one.
}

void StoreReader::recordStoreVersion(const TableVersion& version)
{
    if (version.epoch != m_epoch || version <= std::max(m_version, m_storeVersion))
        return;
    if (m_storeVersion <= m_version)
        m_storeVersionAt = m_clock.steadyNow();
    m_storeVersion = version;
}

bool StoreReader::isPollLost(SteadyTime now) const
{
    bool isPolling = isReading() && !m_isListing && m_call.isInProgress();
    return isPolling && m_storeVersion > m_version && m_calledAt <= m_storeVersionAt && now - m_storeVersionAt >= changeTimeout;
}

void StoreReader::tick(SteadyTime now)
{
    m_call.tick(now);
    if (!isPollLost(now))
        return;
    m_wasPollLost = true;
    restartCall();
}

void StoreReader::recordAnswerTime(const platform::RowsAnswer& answer)
{
    if (m_checkTurn)
        m_storeTimeOffset = answer.storeTime.value_or(Duration::zero()) - m_clock.steadyNow().time_since_epoch();
}

void StoreReader::setFollowing(bool follows)
{
    if (follows == m_isFollowing)
        return;
    m_isFollowing = follows;
    m_isListing = true;
    if (follows) {
        restartCall();
        return;
    }
    m_timer.cancel();
    m_call.closeConnection();
}

void StoreReader::restartCall()
{
    m_timer.cancel();
    m_call.closeConnection();
    m_nextPage.clear();
    call();
}

void StoreReader::restartAfterOutage()
{
    m_wasUnreachable = true;
    m_reachableAgainAt = m_clock.steadyNow();
    restartCall();
}

void StoreReader::readAgain(StoreEpoch epoch, Duration delay)
{
    if (epoch == m_epoch || !m_isFollowing)
        return;
    m_isListing = true;
    m_nextPage.clear();
    m_call.closeConnection();
    callAfter(delay);
}

bool StoreReader::applyEpoch(const TimedHttpCallResult& result)
{
    if (!result.storeEpoch || *result.storeEpoch == m_epoch || isGuardDisabled(GuardId::StoreEpochCompared))
        return false;
    m_epoch = *result.storeEpoch;
    m_isListing = true;
    m_nextPage.clear();
    if (m_hasRead) {
        m_wasUnreachable = true;
        m_reachableAgainAt = m_clock.steadyNow();
    }
    m_options.onEpoch(m_epoch);
    return true;
}

void StoreReader::onCallDone(TimedHttpCallResult&& result)
{
    bool wasFirstPage = m_isListing && m_nextPage.empty();
    bool isOtherEpoch = applyEpoch(result);
    if (isOtherEpoch && result.isOk() && !wasFirstPage) {
        recordReachable();
        call();
        return;
    }
    if (result.isOk()) {
        handleAnswer(result.body);
        return;
    }
    if (result.status == platform::historyLostStatus) {
        m_isListing = true;
        call();
        return;
    }
    handleFailure(result.failure);
}

void StoreReader::handleAnswer(std::string_view body)
{
    std::optional<platform::RowsAnswer> answer = platform::decodeRows(body);
    if (!answer) {
        handleFailure("malformed answer");
        return;
    }
    recordReachable();
    recordAnswerTime(*answer);
    if (m_isListing) {
        handlePage(std::move(*answer));
        return;
    }
    m_version.number = std::max(m_version.number, answer->version);
    if (m_calledAt > m_storeVersionAt)
        m_storeVersion = m_version; // This answer is newer than what was learned before its call.
    reportCheck(*answer);
    SteadyTime now = m_clock.steadyNow();
    bool afterOutage = m_wasUnreachable || now - m_reachableAgainAt < settlingTime;
    m_wasUnreachable = false;
    bool isLate = std::exchange(m_wasPollLost, false);
    if (answer->rows.empty()) {
        call();
        return;
    }
    m_options.onUpdate({ .isWholeTable = false, .afterOutage = afterOutage, .isLate = isLate, .version = m_version, .rows = std::move(answer->rows) });
    callAfter(pauseAfterChanges);
}

void StoreReader::reportCheck(const platform::RowsAnswer& answer)
{
    if (!m_checkTurn || !m_options.onCheck)
        return;
    StoreCheck check { .newest = m_version };
    for (const platform::Row& row : answer.rows)
        check.rowVersions.push_back(row.version);
    m_options.onCheck(check);
}

void StoreReader::handlePage(platform::RowsAnswer answer)
{
    if (m_nextPage.empty()) {
        m_pages.clear();
        m_listVersion = answer.version;
    }
    bool hasMore = answer.hasMore && !answer.rows.empty();
    if (hasMore)
        m_nextPage = platform::keyAfter(answer.rows.back().key);
    for (platform::Row& row : answer.rows)
        m_pages.push_back(std::move(row));
    if (hasMore) {
        call();
        return;
    }
    m_nextPage.clear();
    m_isListing = false;
    // Pages are read at different times. Changes since the first page are read again, which does no harm.
    m_version = { .epoch = m_epoch, .number = m_listVersion };
    bool afterOutage = m_wasUnreachable;
    m_wasUnreachable = false;
    m_hasRead = true;
    m_options.onUpdate({ .isWholeTable = true, .afterOutage = afterOutage, .version = m_version, .rows = std::move(m_pages) });
    m_pages.clear();
    if (m_options.followsChanges)
        call();
}

void StoreReader::recordReachable()
{
    m_backoff = firstBackoff;
    if (m_isReachable)
        return;
    m_isReachable = true;
    m_reachableAgainAt = m_clock.steadyNow();
    m_options.onReachable(true, "answered");
}

void StoreReader::handleFailure(std::string_view reason)
{
    m_nextPage.clear();
    m_wasUnreachable = true;
    if (m_isReachable) {
        m_isReachable = false;
        m_options.onReachable(false, reason);
    }
    retryLater();
}

void StoreReader::retryLater()
{
    callAfter(m_backoff);
    m_backoff = std::min(m_backoff * 2, maxBackoff);
}

void StoreReader::callAfter(Duration pause)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            call();
    });
}

} // namespace limpetpond
