#pragma once

/// Follows one table of the platform's store: reads all rows once, then its changes by long polls.

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
    bool afterOutage { false }; ///< The store was unavailable shortly before, so that a deleted row may soon be written again.
    std::uint64_t version { 0 }; ///< The store's version up to which the table is known.
    std::vector<platform::Row> rows;
};

struct StoreReaderOptions {
    boost::asio::ip::tcp::endpoint store;
    std::string table;
    bool followsChanges { true }; ///< If false, the table is read only once.
    std::function<void(const TableUpdate&)> onUpdate;
    std::function<void(bool reachable, std::string_view reason)> onReachable; ///< Called when the store becomes available or unavailable.
};

class StoreReader {
public:
    StoreReader(boost::asio::io_context&, const Clock&, StoreReaderOptions);

    void start();

    /// Cancels the call in progress or scheduled and makes it again at once, since the store may have lost it.
    void restartCall();

    /// Ends a call that has timed out. Call it several times a second.
    void tick(SteadyTime now) { m_call.tick(now); }

    /// How long the store may hold a poll for changes.
    enum class Polling {
        Long, ///< Few calls, but a store that stops answering is detected late.
        Short, ///< A store that stops answering is detected within seconds.
    };
    void setPolling(Polling polling) { m_polling = polling; }

    /// Starts or stops following the table. After a start the whole table is read first.
    void setFollowing(bool);

    bool isFollowing() const { return m_isFollowing; }

    /// True while the reader follows the table and the store answers.
    bool isReading() const { return m_isFollowing && m_isReachable && m_hasRead; }

    /// The store's version up to which the table is known; 0 before the first whole read.
    std::uint64_t version() const { return m_hasRead ? m_version : 0; }

private:
    void call();
    void onCallDone(TimedHttpCallResult&&);
    void handleAnswer(std::string_view body);
    void handlePage(platform::RowsAnswer);
    void handleFailure(std::string_view reason);
    void retryLater();
    void callAfter(Duration pause);
    void recordReachable();
    int pollMilliseconds() const;

    const Clock& m_clock;
    StoreReaderOptions m_options;
    boost::asio::steady_timer m_timer;
    TimedHttpCall m_call;
    bool m_hasRead { false };
    bool m_isFollowing { true };
    bool m_isListing { true };
    Polling m_polling { Polling::Short };
    bool m_isReachable { true };
    bool m_wasUnreachable { false }; ///< A call has failed since the last update.
    SteadyTime m_reachableAgainAt;
    std::string m_nextPage;
    std::vector<platform::Row> m_pages;
    std::uint64_t m_listVersion { 0 };
    std::uint64_t m_version { 0 };
    Duration m_backoff;
};

} // namespace limpetpond
