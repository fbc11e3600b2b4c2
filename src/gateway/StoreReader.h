#pragma once

/// Follows one table of the platform's store: reads all rows once, then its changes by long polls.

#include "gateway/SmallCall.h"
#include "limpetpond/Clock.h"
#include "platform/StoreCalls.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <vector>

namespace limpetpond {

/// What a reader hands on.
struct TableNews {
    bool isWholeTable { false }; ///< `rows` is all that the table holds; what isn't there is gone.
    bool afterOutage { false }; ///< The store could not be read just before.
    std::vector<platform::Row> rows;
};

struct StoreReaderOptions {
    boost::asio::ip::tcp::endpoint store;
    std::string table;
    bool followsChanges { true }; ///< Otherwise the table is read once.
    std::function<void(const TableNews&)> onNews;
    std::function<void(bool reachable, std::string_view reason)> onReachable; ///< At each change.
};

class StoreReader {
public:
    StoreReader(boost::asio::io_context&, const Clock&, StoreReaderOptions);

    void start();

    /// To be called several times a second: ends calls that take too long.
    void tick(SteadyTime now) { m_call.tick(now); }

    bool hasRead() const { return m_hasRead; }

private:
    void call();
    void onCallEnd(SmallCallEnd&&);
    void takeAnswer(std::string_view body);
    void takePage(platform::RowsAnswer);
    void failed(std::string_view reason);
    void retryLater();
    void callAfter(Duration pause);
    void noteReached();

    const Clock& m_clock;
    StoreReaderOptions m_options;
    boost::asio::steady_timer m_timer;
    SmallCall m_call;
    bool m_hasRead { false };
    bool m_isListing { true };
    bool m_isReachable { true };
    bool m_wasUnreachable { false }; ///< Since the last news.
    SteadyTime m_reachableAgainAt;
    std::string m_nextPage;
    std::vector<platform::Row> m_pages;
    std::uint64_t m_listVersion { 0 };
    std::uint64_t m_version { 0 };
    Duration m_backoff;
};

} // namespace limpetpond
