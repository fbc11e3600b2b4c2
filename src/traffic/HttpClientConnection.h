#pragma once

/// An asynchronous HTTP/1.1 client connection of the gateway: to a target, the store or another instance.
///
/// It carries one exchange at a time. Unsolicited bytes and answers that can't be parsed close it; after an answer
/// to another request, or without a request id, it isn't reused. The daemon's blocking client is http/HttpClient.

#include "core/PeerProgress.h"
#include "limpetpond/Clock.h"
#include "traffic/HttpParser.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpetpond {

/// Parses IP:PORT; nothing if the text is malformed or the port is 0.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& address);

/// Why an exchange ended without a complete answer.
enum class ExchangeFailure {
    NotConnected, ///< The connection could not be established; nothing was written.
    Closed, ///< Closed or reset before the answer was complete.
    Malformed, ///< The bytes received are not a valid HTTP answer, or no answer was expected.
};

/// Receives the answer of an exchange. No call follows `onComplete`, `onFailure` or `HttpClientConnection::close`.
class ExchangeHandler {
public:
    virtual ~ExchangeHandler() = default;
    virtual void onHead(HttpAnswerHead&&) = 0;
    virtual void onBody(std::string_view) = 0;
    /// All bytes of one read were passed to `onBody`; they can now be forwarded in one write.
    virtual void onReadProcessed() { }
    virtual void onComplete() = 0;
    virtual void onFailure(ExchangeFailure, bool wroteBytes) = 0;
};

class HttpClientConnection final : public std::enable_shared_from_this<HttpClientConnection>, public AnswerSink {
public:
    HttpClientConnection(boost::asio::io_context&, const Clock&, boost::asio::ip::tcp::endpoint);
    ~HttpClientConnection() override;

    /// Sends a request, whose body may be null; connects first if needed. The handler must live until the exchange ends or `close` is called.
    /// If `requestId` and the answer's request id are both present and differ, the answer is skipped.
    void send(std::string head, std::shared_ptr<const BlockBuffer> body, std::string requestId, bool answerHasNoBody, ExchangeHandler&);

    /// Closes the connection. An exchange in progress ends without a call to its handler.
    void close();

    /// True if the connection is idle and can carry another exchange.
    bool isReusable(SteadyTime now) const;

    /// Pauses or resumes reading; used for backpressure when the receiver of the answer is slow.
    void setPaused(bool);

    /// True once a connection was established.
    bool isConnected() const { return m_isConnected; }
    SteadyTime connectDeadline() const { return m_connectDeadline; }
    bool isConnecting() const { return m_isConnecting; }
    /// Ends the exchange with NotConnected; called when `connectDeadline` has passed.
    void failConnect();

    /// Ends the exchange with Closed if the server acknowledges nothing of the request. Call it while an exchange is in
    /// progress; it looks at the connection now and then only. A server that takes the request slowly keeps it.
    void closeIfSilent(SteadyTime now);

private:
    void onAnswerHead(HttpAnswerHead&&) override;
    void onAnswerBody(std::string_view) override;
    void connect();
    void startWrite();
    void startRead();
    void onReadable(boost::system::error_code);
    void onRead(std::string_view);
    void parse();
    void onWriteError(boost::system::error_code);
    void onEndOfStream();
    void parseEnd();
    void onAnswerParsed();
    void fail(ExchangeFailure);
    void closeSocket();
    void readIdleLimit(const HttpAnswerHead&);

    boost::asio::ip::tcp::socket m_socket;
    const Clock& m_clock;
    boost::asio::ip::tcp::endpoint m_endpoint;
    ExchangeHandler* m_handler { nullptr };
    std::string m_outputHead;
    std::shared_ptr<const BlockBuffer> m_outputBody;
    std::string m_requestId;
    std::string m_input; ///< Bytes not parsed yet.
    std::unique_ptr<AnswerParser> m_parser;
    bool m_answerHasNoBody { false };
    bool m_isConnecting { false };
    bool m_isConnected { false };
    bool m_isClosed { false };
    bool m_isWriting { false };
    bool m_wroteBytes { false };
    bool m_isBroken { false }; ///< A write failed before the server ended its answer. The kernel reports the error once, so a read sees an orderly end.
    bool m_isReading { false };
    bool m_isPaused { false };
    bool m_isSkipping { false }; ///< The answer being parsed belongs to another request.
    bool m_mayReuse { true };
    bool m_isInformational { false }; ///< The answer being parsed has a 1xx status.
    bool m_isRequestTaken { false }; ///< The server has acknowledged the whole request.
    bool m_looksForSilence { false }; ///< In place of the kernel's timeout for unacknowledged bytes.
    PeerProgress m_progress; ///< Of the exchange in progress; its bytes aren't counted.
    std::optional<SteadyTime> m_askedAt; ///< When the kernel was last asked how far the request has come.
    SteadyTime m_connectDeadline;
    SteadyTime m_idleSince;
    Duration m_idleLimit;
};

} // namespace limpetpond
