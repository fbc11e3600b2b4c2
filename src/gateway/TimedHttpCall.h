#pragma once

/// An HTTP client for one call at a time to the store or to another instance, with a timeout. The answer is delivered
/// when it is whole.

#include "core/TableVersion.h"
#include "limpetpond/Clock.h"
#include "traffic/HttpClientConnection.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace limpetpond {

/// The result of a call.
struct TimedHttpCallResult {
    int status { 0 }; ///< 0 if no whole answer was received.
    std::string body;
    std::optional<StoreEpoch> storeEpoch; ///< If the answer states one.
    std::string failure; ///< Why the call didn't end with status 200; empty if it did.

    bool isOk() const { return failure.empty(); }
};

/// The text of a GET request.
///
///     call.start(endpoint, getRequestText("/metrics", "store"), 1500ms);
std::string getRequestText(std::string_view path, std::string_view host);

/// The text of a POST request with a JSON body.
///
///     call.start(endpoint, postRequestText("/rows", "store", body), 1500ms);
std::string postRequestText(std::string_view path, std::string_view host, std::string_view body);

class TimedHttpCall final : private ExchangeHandler {
public:
    using OnDone = std::function<void(TimedHttpCallResult&&)>;
    TimedHttpCall(boost::asio::io_context&, const Clock&, OnDone);

    /// Starts a call; the previous one must have ended. The connection is reused for the next call to the same endpoint.
    void start(const boost::asio::ip::tcp::endpoint&, std::string requestText, Duration timeout);

    /// Ends a call that has timed out. Call it several times a second.
    void tick(SteadyTime now);

    /// Closes the connection. A call in progress ends without a callback.
    void closeConnection();

    bool isInProgress() const { return m_isInProgress; }

private:
    void onHead(HttpAnswerHead&&) override;
    void onBody(std::string_view) override;
    void onReadProcessed() override;
    void onComplete() override;
    void onFailure(ExchangeFailure, bool wroteBytes) override;
    void abort(std::string failure);
    void finish(std::string failure);

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    OnDone m_onDone;
    std::shared_ptr<HttpClientConnection> m_connection;
    boost::asio::ip::tcp::endpoint m_endpoint;
    SteadyTime m_deadline;
    bool m_isInProgress { false };
    int m_status { 0 };
    std::optional<StoreEpoch> m_storeEpoch;
    std::string m_body;
    bool m_isTooLarge { false };
};

} // namespace limpetpond
