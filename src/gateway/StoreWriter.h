#pragma once

/// Writes one row to the platform's store and retries with backoff until the write is acknowledged.

#include "gateway/TimedHttpCall.h"
#include "limpetpond/Clock.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace limpetpond {

struct StoreWriterOptions {
    boost::asio::ip::tcp::endpoint store;
    std::string table;
    std::string key;
    std::string value;
    std::function<void()> onWritten;
};

class StoreWriter {
public:
    StoreWriter(boost::asio::io_context&, const Clock&, StoreWriterOptions);

    void start() { call(); }

    /// Ends a call that has timed out. Call it several times a second.
    void tick(SteadyTime now) { m_call.tick(now); }

private:
    void call();
    void onCallDone(const TimedHttpCallResult&);
    void retryLater();

    StoreWriterOptions m_options;
    boost::asio::steady_timer m_timer;
    TimedHttpCall m_call;
    Duration m_backoff;
};

} // namespace limpetpond
