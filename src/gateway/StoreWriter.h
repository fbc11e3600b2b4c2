#pragma once

/// Writes rows of one table of the platform's store, one at a time, and retries with backoff until each is acknowledged.

#include "gateway/TimedHttpCall.h"
#include "limpetpond/Clock.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace limpetpond {

struct StoreWriterOptions {
    boost::asio::ip::tcp::endpoint store;
    std::string table;
    std::function<void()> onWritten; ///< All changes so far are acknowledged.
};

class StoreWriter {
public:
    StoreWriter(boost::asio::io_context&, const Clock&, StoreWriterOptions);

    /// Writes or deletes a row. Replaces a change of the same row that is not acknowledged yet.
    void write(const std::string& key, std::string value) { change(key, std::move(value)); }
    void remove(const std::string& key) { change(key, std::nullopt); }

    /// Ends a call that has timed out. Call it several times a second.
    void tick(SteadyTime now) { m_call.tick(now); }

private:
    struct Change {
        std::optional<std::string> value; ///< None to delete the row.
        std::uint64_t number { 0 }; ///< Unique; tells whether the row was changed again during a call.
    };
    void change(const std::string& key, std::optional<std::string> value);
    void callNext();
    void onCallDone(const TimedHttpCallResult&);
    void retryLater();

    StoreWriterOptions m_options;
    boost::asio::steady_timer m_timer;
    TimedHttpCall m_call;
    Duration m_backoff;
    std::map<std::string, Change> m_changes; ///< Not acknowledged yet, by key.
    std::uint64_t m_lastNumber { 0 };
    std::string m_calledKey; ///< The row that the call in progress changes.
    std::uint64_t m_calledNumber { 0 };
    bool m_isWaiting { false }; ///< For a call or for the time of the next one.
};

} // namespace limpetpond
