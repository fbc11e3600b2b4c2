#include "traffic/HttpClientConnection.h"

#include "core/Guard.h"
#include "traffic/SocketOptions.h"
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

namespace limpetpond {

namespace asio = boost::asio;
using asio::ip::tcp;
using platform::Field;

namespace {

    constexpr std::size_t readBufferBytes = 8192;
    constexpr Duration connectTimeout = std::chrono::milliseconds(200); ///< The latency between failure domains is a few milliseconds.
    constexpr Duration defaultIdleLimit = std::chrono::seconds(4);
    constexpr double idleTimeShare = 0.6; ///< Of the idle time that the server announces in Keep-Alive.
    constexpr Duration askInterval = std::chrono::milliseconds(500); ///< Between two looks at what the kernel states.

} // namespace

std::optional<tcp::endpoint> parseEndpoint(const std::string& address)
{
    std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    boost::system::error_code error;
    asio::ip::address ip = asio::ip::make_address(address.substr(0, colon), error);
    unsigned short port = 0;
    auto parsed = std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    if (error || parsed.ec != std::errc() || parsed.ptr != address.data() + address.size() || !port)
        return std::nullopt;
    return tcp::endpoint(ip, port);
}

HttpClientConnection::HttpClientConnection(asio::io_context& context, const Clock& clock, tcp::endpoint endpoint)
    : m_socket(context)
    , m_clock(clock)
    , m_endpoint(std::move(endpoint))
    , m_idleLimit(defaultIdleLimit)
{
}

HttpClientConnection::~HttpClientConnection() = default;

void HttpClientConnection::send(std::string head, std::shared_ptr<const BlockBuffer> body, std::string requestId, bool answerHasNoBody, ExchangeHandler& handler)
{
    m_handler = &handler;
    m_outputHead = std::move(head);
    m_outputBody = std::move(body);
    m_requestId = std::move(requestId);
    m_answerHasNoBody = answerHasNoBody;
    m_wroteBytes = false;
    m_parser.reset();
    m_isSkipping = false;
    if (!m_isConnected) {
        connect();
        return;
    }
    startWrite();
}

void HttpClientConnection::connect()
{
    m_isConnecting = true;
    m_connectDeadline = m_clock.steadyNow() + connectTimeout;
    boost::system::error_code error;
    m_socket.open(tcp::v4(), error);
    if (error) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail(ExchangeFailure::NotConnected); });
        return;
    }
    setLivenessOptions(m_socket);
    m_socket.async_connect(m_endpoint, [self = shared_from_this()](boost::system::error_code failure) {
        self->m_isConnecting = false;
        if (self->m_isClosed)
            return;
        if (failure) {
            self->fail(ExchangeFailure::NotConnected);
            return;
        }
        self->m_isConnected = true;
        boost::system::error_code ignored; // A socket that can't be set up fails at the first read.
        self->m_socket.non_blocking(true, ignored);
        self->startWrite();
    });
}

void HttpClientConnection::closeIfSilent(SteadyTime now)
{
    if (!m_isConnected || m_isClosed || m_isRequestTaken)
        return;
    if (!m_askedAt) {
        m_askedAt = now;
        recordWriteBegin(m_progress, now);
        if (!m_looksForSilence)
            m_looksForSilence = disableUnacknowledgedTimeout(m_socket);
    }
    if (!mustAskKernel(m_progress, now) || now - *m_askedAt < askInterval)
        return;
    m_askedAt = now;
    std::optional<TransmitFacts> facts = transmitFacts(m_socket);
    if (!facts)
        return;
    m_isRequestTaken = !m_isWriting && !facts->queuedBytes;
    if (!m_looksForSilence)
        m_looksForSilence = disableUnacknowledgedTimeout(m_socket);
    recordFacts(m_progress, *facts, now);
    if (isSilent(m_progress, *facts, now))
        fail(ExchangeFailure::Closed);
}

void HttpClientConnection::failConnect() { fail(ExchangeFailure::NotConnected); }

void HttpClientConnection::startWrite()
{
    m_isWriting = true;
    m_wroteBytes = true;
    m_isRequestTaken = false;
    m_askedAt.reset();
    m_progress = {};
    std::vector<asio::const_buffer> buffers { asio::buffer(m_outputHead) };
    if (m_outputBody) {
        for (const std::vector<char>& block : m_outputBody->blocks())
            buffers.push_back(asio::buffer(block));
    }
    asio::async_write(m_socket, buffers, [self = shared_from_this()](boost::system::error_code error, std::size_t) {
        self->m_isWriting = false;
        // An idle connection holds no memory of its last request. Assigning an empty string would keep it.
        std::string().swap(self->m_outputHead);
        self->m_outputBody.reset();
        // The server may have answered before it read the whole request; the read reports the outcome.
        if (error)
            self->onWriteError(error);
    });
    startRead();
}

void HttpClientConnection::onWriteError(boost::system::error_code error)
{
    m_mayReuse = false;
    // Only after an orderly end of the answer does the kernel report a reset as a broken pipe.
    m_isBroken = error != asio::error::broken_pipe;
}

void HttpClientConnection::startRead()
{
    if (m_isReading || m_isPaused || m_isClosed)
        return;
    m_isReading = true;
    // A connection that waits for bytes holds no buffer for them.
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
        self->m_isReading = false;
        self->onReadable(error);
    });
}

void HttpClientConnection::onReadable(boost::system::error_code error)
{
    if (m_isClosed)
        return;
    static thread_local std::array<char, readBufferBytes> buffer; // Of all connections of a thread.
    std::size_t count = error ? 0 : m_socket.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) {
        startRead();
        return;
    }
    if (error == asio::error::eof && m_isWriting) {
        // The error of a write that ended before this read may not have been handled yet.
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->onEndOfStream(); });
        return;
    }
    if (error == asio::error::eof) {
        onEndOfStream();
        return;
    }
    if (error) {
        fail(ExchangeFailure::Closed);
        return;
    }
    onRead({ buffer.data(), count });
}

void HttpClientConnection::onRead(std::string_view bytes)
{
    auto self = shared_from_this();
    if (!m_handler) {
        // Unsolicited bytes: no request is in progress.
        fail(ExchangeFailure::Malformed);
        return;
    }
    m_input.append(bytes);
    parse();
    releaseSpareMemory(m_input);
    if (m_handler && !m_isClosed)
        m_handler->onReadProcessed();
    startRead();
}

void HttpClientConnection::parse()
{
    while (m_handler && !m_input.empty() && !m_isClosed) {
        if (!m_parser) {
            m_parser = std::make_unique<AnswerParser>(*this);
            if (m_answerHasNoBody)
                m_parser->skip(true);
        }
        boost::system::error_code error;
        std::size_t used = putBytes(*m_parser, m_input, error);
        if (m_isClosed || !m_handler)
            return;
        m_input.erase(0, used);
        if (error == boost::beast::http::error::need_more)
            return;
        if (error) {
            fail(ExchangeFailure::Malformed);
            return;
        }
        if (m_parser->is_done())
            onAnswerParsed();
        else if (!used)
            return;
    }
}

void HttpClientConnection::onEndOfStream()
{
    if (m_isClosed)
        return;
    if (m_handler && m_parser && !m_isBroken)
        parseEnd();
    else
        fail(ExchangeFailure::Closed);
}

void HttpClientConnection::parseEnd()
{
    boost::system::error_code error;
    m_parser->put_eof(error);
    m_mayReuse = false;
    if (error || !m_parser->is_done()) {
        fail(ExchangeFailure::Closed);
        return;
    }
    onAnswerParsed();
    if (m_handler)
        fail(ExchangeFailure::Closed);
}

void HttpClientConnection::onAnswerParsed()
{
    m_parser.reset();
    if (m_isInformational) {
        m_isInformational = false;
        return;
    }
    if (m_isSkipping) {
        m_isSkipping = false;
        m_mayReuse = false;
        return;
    }
    // The server would read the rest of a request that is still being sent as the next request.
    if (m_isWriting || !m_input.empty())
        m_mayReuse = false;
    ExchangeHandler* handler = std::exchange(m_handler, nullptr);
    m_idleSince = m_clock.steadyNow();
    if (!m_mayReuse)
        closeSocket();
    handler->onComplete();
}

void HttpClientConnection::onAnswerHead(HttpAnswerHead&& head)
{
    m_isInformational = head.status < 200;
    if (m_isInformational || !m_handler)
        return;
    std::string_view answeredId = fieldValue(head.fields, Field::RequestId);
    m_isSkipping = !m_requestId.empty() && !answeredId.empty() && answeredId != m_requestId && !isGuardDisabled(GuardId::AnswerOfOtherRequestDropped);
    // The answer to this request may follow one without an id.
    bool mayBeOfOther = !m_requestId.empty() && answeredId.empty();
    if (!head.keepAlive || head.isCloseDelimited || mayBeOfOther)
        m_mayReuse = false;
    readIdleLimit(head);
    if (!m_isSkipping)
        m_handler->onHead(std::move(head));
}

void HttpClientConnection::onAnswerBody(std::string_view body)
{
    if (m_handler && !m_isSkipping && !m_isInformational)
        m_handler->onBody(body);
}

void HttpClientConnection::readIdleLimit(const HttpAnswerHead& head)
{
    std::string_view value = fieldValue(head.fields, Field::IdleTime);
    constexpr std::string_view parameter = "timeout=";
    std::size_t position = value.find(parameter);
    if (position == std::string_view::npos)
        return;
    int seconds = 0;
    std::from_chars(value.data() + position + parameter.size(), value.data() + value.size(), seconds);
    m_idleLimit = fromSeconds(seconds * idleTimeShare);
}

bool HttpClientConnection::isReusable(SteadyTime now) const
{
    return m_isConnected && !m_isClosed && !m_handler && m_mayReuse && now - m_idleSince < m_idleLimit;
}

void HttpClientConnection::setPaused(bool paused)
{
    m_isPaused = paused;
    if (!paused && m_isConnected && !m_isClosed)
        startRead();
}

void HttpClientConnection::close()
{
    m_handler = nullptr;
    closeSocket();
}

void HttpClientConnection::fail(ExchangeFailure failure)
{
    if (m_isClosed)
        return;
    closeSocket();
    ExchangeHandler* handler = std::exchange(m_handler, nullptr);
    if (handler)
        handler->onFailure(failure, m_wroteBytes);
}

void HttpClientConnection::closeSocket()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_mayReuse = false;
    // Behind bytes that the server doesn't take, it would not see the end of the connection.
    if (m_looksForSilence && !m_isRequestTaken && queuedBytes(m_socket) > 0) {
        closeWithReset(m_socket);
        return;
    }
    boost::system::error_code ignored; // The socket may be closed already.
    m_socket.close(ignored);
}

} // namespace limpetpond
