#pragma once

/// Writes one row of the platform's store, again and again until it is acknowledged.

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

    /// To be called several times a second: ends calls that take too long.
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
