#pragma once

/// Follows one table of the platform's store: reads all rows once, then its changes by long polls.
///
/// A store that is unavailable for a moment loses the polls that it received meanwhile, and the reader can't tell such a
/// poll from one without changes. So it asks for an answer at once when it learns from elsewhere that the store has reached
/// a newer version.
///
/// An answer of another epoch than the last one shows that the store was restored from a copy. All rows are then read
/// again, since changes may have been missed under versions that were given out a second time.

#include "core/StoreReaders.h"
#include "gateway/TimedHttpCall.h"
#include "limpetpond/Clock.h"
#include "platform/StoreCalls.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <vector>

namespace limpetpond {

/// Rows that a reader has read.
struct TableUpdate {
    bool isWholeTable { false }; ///< `rows` holds all rows of the table; otherwise those that changed.
    bool afterOutage { false }; ///< The store was unavailable or restored shortly before, so that a missing row may soon be written again.
    bool isLate { false }; ///< The poll that should have brought the rows was lost.
    TableVersion version; ///< Up to which the table is known.
    std::vector<platform::Row> rows; ///< Their versions are of the same epoch.
};

struct StoreReaderOptions {
    boost::asio::ip::tcp::endpoint store;
    std::string table;
    bool followsChanges { true }; ///< If false, the table is read only once.
    std::function<void(const TableUpdate&)> onUpdate;
    std::function<void(const StoreCheck&)> onCheck; ///< Called when a poll has ended in this instance's turn; may be empty.
    std::function<void(StoreEpoch)> onEpoch; ///< Called when an answer states another epoch than the last one.
    std::function<void(bool reachable, std::string_view reason)> onReachable; ///< Called when the store becomes available or unavailable.
};

class StoreReader {
public:
    StoreReader(boost::asio::io_context&, const Clock&, StoreReaderOptions);

    void start();

    /// Cancels the call in progress or scheduled and makes it again at once, since the store may have lost it.
    void restartCall();

    /// The same after an outage that another reader has noticed: missing rows may soon be written again.
    void restartAfterOutage();

    /// Reads the whole table again after the delay, if the store's last answer to this reader was of another epoch.
    void readAgain(StoreEpoch, Duration delay);

    /// Calls again if the store's version is newer than the table's and the poll in progress doesn't end soon.
    void recordStoreVersion(const TableVersion&);

    /// Ends a call that has timed out or was lost. Call it several times a second.
    void tick(SteadyTime now);

    /// Sets when polls end; without a turn they are long.
    void setCheckTurn(const std::optional<CheckTurn>&);

    bool hasCheckTurn() const { return m_checkTurn.has_value(); }

    /// Starts or stops following the table. After a start the whole table is read first.
    void setFollowing(bool);

    bool isFollowing() const { return m_isFollowing; }

    /// True while the reader follows the table and the store answers.
    bool isReading() const { return m_isFollowing && m_isReachable && m_hasRead; }

    /// The version up to which the table is known; its number is 0 before the first whole read.
    TableVersion version() const { return m_hasRead ? m_version : TableVersion(); }

private:
    void call();
    void onCallDone(TimedHttpCallResult&&);
    /// Prepares a whole read if the answer is of another epoch than the last one; true if it is.
    bool applyEpoch(const TimedHttpCallResult&);
    void handleAnswer(std::string_view body);
    void handlePage(platform::RowsAnswer);
    void handleFailure(std::string_view reason);
    void retryLater();
    void callAfter(Duration pause);
    void recordReachable();
    Duration pollWait() const;
    void recordAnswerTime(const platform::RowsAnswer&);
    void reportCheck(const platform::RowsAnswer&);
    bool isPollLost(SteadyTime now) const;

    const Clock& m_clock;
    StoreReaderOptions m_options;
    boost::asio::steady_timer m_timer;
    TimedHttpCall m_call;
    bool m_hasRead { false };
    bool m_isFollowing { true };
    bool m_isListing { true };
    std::optional<CheckTurn> m_checkTurn;
    std::optional<Duration> m_storeTimeOffset; ///< The store's clock minus this instance's; none until the first answer in this turn.
    TableVersion m_storeVersion; ///< The newest one that this reader has learned of from elsewhere since its last call.
    SteadyTime m_storeVersionAt; ///< When it learned of a version newer than the table's.
    SteadyTime m_calledAt;
    bool m_wasPollLost { false }; ///< The call in progress repeats a poll that may have been lost.
    bool m_isReachable { true };
    bool m_wasUnreachable { false }; ///< A call has failed, or the store was restored, since the last update.
    SteadyTime m_reachableAgainAt;
    std::string m_nextPage;
    std::vector<platform::Row> m_pages;
    std::uint64_t m_listVersion { 0 };
    StoreEpoch m_epoch; ///< Of the last answer.
    TableVersion m_version;
    Duration m_backoff;
};

} // namespace limpetpond
