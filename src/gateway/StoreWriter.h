#pragma once

/// Writes one row of the platform's store, again and again until it is acknowledged.

#include "limpetpond/Clock.h"
#include "traffic/HttpChannel.h"
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

class StoreWriter final : private ExchangeHandler {
public:
    StoreWriter(boost::asio::io_context&, const Clock&, StoreWriterOptions);

    void start() { call(); }

    /// To be called several times a second: ends calls that take too long.
    void tick(SteadyTime now);

private:
    void onHead(HttpAnswerHead&&) override;
    void onBody(std::string_view) override { }
    void onWhole() override;
    void onFailure(ChannelFailure, bool wroteBytes) override;
    void call();
    void retryLater();

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    StoreWriterOptions m_options;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<HttpChannel> m_channel;
    SteadyTime m_callDeadline;
    bool m_isCalling { false };
    int m_status { 0 };
    Duration m_backoff;
};

} // namespace limpetpond
