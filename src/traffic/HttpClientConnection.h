#pragma once

/// One client connection of HTTP/1.1 in the event loop: to a target, the store or another instance.
///
/// It carries one exchange at a time. Anything odd (bytes that nobody asked for, an answer that can't be
/// parsed, an answer to another request) closes it; it is never used again then.

#include "limpetpond/Clock.h"
#include "traffic/HttpParser.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpetpond {

/// Parses IP:PORT; nothing where it isn't one.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& address);

/// Makes the kernel notice a silent peer: keep-alive probes and a limit on unacknowledged bytes.
void setLivenessOptions(boost::asio::ip::tcp::socket&);

/// Why an exchange ended without a whole answer.
enum class ExchangeFailure {
    NotConnected, ///< The connection could not be established; nothing was written.
    Closed, ///< Closed or reset before the whole answer was there.
    Malformed, ///< The bytes were no answer in the protocol.
};

/// What the user of a channel is told. No call comes after `onExchangeEnd` or `close`.
class ExchangeHandler {
public:
    virtual ~ExchangeHandler() = default;
    virtual void onHead(HttpAnswerHead&&) = 0;
    virtual void onBody(std::string_view) = 0;
    /// All pieces of one read were handed over: a good moment to write them on.
    virtual void onReadProcessed() { }
    virtual void onComplete() = 0;
    virtual void onFailure(ExchangeFailure, bool wroteBytes) = 0;
};

class HttpClientConnection final : public std::enable_shared_from_this<HttpClientConnection>, public AnswerSink {
public:
    HttpClientConnection(boost::asio::io_context&, const Clock&, boost::asio::ip::tcp::endpoint);
    ~HttpClientConnection() override;

    /// Sends a request; connects first where needed. The handler must live until the end or `close`.
    /// `requestId` is compared with the answer's where both name one; an answer to another request is skipped.
    void send(std::string bytes, std::string requestId, bool answerHasNoBody, ExchangeHandler&);

    /// Ends the exchange from this side: the connection is closed, the handler hears nothing more.
    void close();

    /// True where the connection can carry another exchange.
    bool isReusable(SteadyTime now) const;

    /// Stops or resumes reading, where the one who takes the answer is slow.
    void setPaused(bool);

    /// True once a connection was established.
    bool isConnected() const { return m_isConnected; }
    SteadyTime connectDeadline() const { return m_connectDeadline; }
    bool isConnecting() const { return m_isConnecting; }
    /// Gives up a connection that takes too long; the handler is told.
    void failConnect();

private:
    void onAnswerHead(HttpAnswerHead&&) override;
    void onAnswerBody(std::string_view) override;
    void connect();
    void startWrite();
    void startRead();
    void onRead(boost::system::error_code, std::size_t);
    void parse();
    void parseEnd();
    void answerFinished();
    void fail(ExchangeFailure);
    void closeSocket();
    void learnIdleTime(const HttpAnswerHead&);

    boost::asio::ip::tcp::socket m_socket;
    const Clock& m_clock;
    boost::asio::ip::tcp::endpoint m_endpoint;
    ExchangeHandler* m_handler { nullptr };
    std::string m_output;
    std::string m_requestId;
    std::vector<char> m_piece; ///< Where the read in progress puts its bytes.
    std::string m_input; ///< Bytes that are not parsed yet.
    std::unique_ptr<AnswerParser> m_parser;
    bool m_answerHasNoBody { false };
    bool m_isConnecting { false };
    bool m_isConnected { false };
    bool m_isBroken { false };
    bool m_isWriting { false };
    bool m_wroteBytes { false };
    bool m_isReading { false };
    bool m_isPaused { false };
    bool m_isSkipping { false }; ///< The answer being parsed is of another request.
    bool m_mayReuse { true };
    bool m_isInformational { false };
    SteadyTime m_connectDeadline;
    SteadyTime m_idleSince;
    Duration m_idleLimit;
};

} // namespace limpetpond
