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

/// What a reader hands on.
struct TableUpdate {
    bool isWholeTable { false }; ///< `rows` is all that the table holds; what isn't there is gone.
    bool afterOutage { false }; ///< The store could not be read just before.
    std::uint64_t version { 0 }; ///< The store's version up to which the rows are known.
    std::vector<platform::Row> rows;
};

struct StoreReaderOptions {
    boost::asio::ip::tcp::endpoint store;
    std::string table;
    bool followsChanges { true }; ///< Otherwise the table is read once.
    std::function<void(const TableUpdate&)> onUpdate;
    std::function<void(bool reachable, std::string_view reason)> onReachable; ///< At each change.
};

class StoreReader {
public:
    StoreReader(boost::asio::io_context&, const Clock&, StoreReaderOptions);

    void start();

    /// Makes the call in progress, or the one that is due later, again at once: the store may have lost it.
    void restartCall();

    /// To be called several times a second: ends calls that take too long.
    void tick(SteadyTime now) { m_call.tick(now); }

    /// How the store is asked for changes.
    enum class Polling {
        Long, ///< Few calls; a store that fell silent shows only after a long time.
        Short, ///< A silent store shows within seconds.
    };
    void setPolling(Polling polling) { m_polling = polling; }

    /// Begins or ceases to follow the table; who begins again reads the whole table first.
    void setFollowing(bool);

    bool isFollowing() const { return m_isFollowing; }

    /// True while it follows the table and the store answers.
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
    bool m_wasUnreachable { false }; ///< Since the last update.
    SteadyTime m_reachableAgainAt;
    std::string m_nextPage;
    std::vector<platform::Row> m_pages;
    std::uint64_t m_listVersion { 0 };
    std::uint64_t m_version { 0 };
    Duration m_backoff;
};

} // namespace limpetpond
