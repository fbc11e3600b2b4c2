#pragma once

/// One HTTP call at a time to the store or to another instance, with a time limit and the whole answer at its end.

#include "limpetpond/Clock.h"
#include "traffic/HttpClientConnection.h"
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace limpetpond {

/// How a call ended.
struct SmallCallEnd {
    int status { 0 }; ///< 0 where no whole answer came.
    std::string body;
    std::string failure; ///< Why the call did not end with status 200; empty where it did.

    bool isOk() const { return failure.empty(); }
};

/// The text of a request without a body.
///
///     call.start(endpoint, getText("/metrics", "store"), 1500ms);
std::string getText(std::string_view path, std::string_view host);

class SmallCall final : private ExchangeHandler {
public:
    using OnEnd = std::function<void(SmallCallEnd&&)>;
    SmallCall(boost::asio::io_context&, const Clock&, OnEnd);

    /// Begins a call; the one before must have ended. The connection is kept for the next call to the same endpoint.
    void start(const boost::asio::ip::tcp::endpoint&, std::string requestText, Duration timeLimit);

    /// To be called several times a second: ends a call that takes too long.
    void tick(SteadyTime now);

    /// Closes the connection; a call in progress ends without a word.
    void closeConnection();

    bool isInProgress() const { return m_isInProgress; }

private:
    void onHead(HttpAnswerHead&&) override;
    void onBody(std::string_view) override;
    void onComplete() override;
    void onFailure(ExchangeFailure, bool wroteBytes) override;
    void end(std::string failure);

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    OnEnd m_onEnd;
    std::shared_ptr<HttpClientConnection> m_connection;
    boost::asio::ip::tcp::endpoint m_endpoint;
    SteadyTime m_deadline;
    bool m_isInProgress { false };
    int m_status { 0 };
    std::string m_body;
};

} // namespace limpetpond
