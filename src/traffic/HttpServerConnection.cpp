#include "traffic/HttpServerConnection.h"

#include "traffic/SocketOptions.h"
#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace limpetpond {

namespace asio = boost::asio;
using asio::ip::tcp;
using platform::Field;

namespace {

    constexpr std::size_t readBufferBytes = 16384;
    constexpr std::size_t maxPipelinedBytes = 16384; ///< Read ahead while a request is being served; then reading pauses.
    constexpr Duration stalledBodyTime = std::chrono::seconds(2); ///< A body that doesn't fill another block for so long is stalled.

    int statusForError(boost::system::error_code error)
    {
        namespace http = boost::beast::http;
        if (error == http::error::header_limit || error == http::error::buffer_overflow)
            return 431;
        if (error == http::error::body_limit)
            return 413;
        return 400;
    }

} // namespace

HttpServerConnection::HttpServerConnection(asio::ip::tcp::socket socket, const Clock& clock, RequestHandler& handler)
    : m_socket(std::move(socket))
    , m_clock(clock)
    , m_handler(handler)
    , m_outputMemory(handler.unwrittenAnswers())
    , m_idleSince(clock.steadyNow())
    , m_idleLimit(handler.callerLimits().idleTimeout)
{
}

void HttpServerConnection::start()
{
    setLivenessOptions(m_socket);
    boost::system::error_code ignored; // A socket that can't be set up fails at the first read.
    m_socket.non_blocking(true, ignored);
    startRead();
}

void HttpServerConnection::startRead()
{
    if (m_isReading || m_isClosed || (m_isServing && m_input.size() >= maxPipelinedBytes))
        return;
    m_isReading = true;
    // A connection that waits for bytes holds no buffer for them.
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
        self->m_isReading = false;
        self->onReadable(error);
    });
}

void HttpServerConnection::onReadable(boost::system::error_code error)
{
    if (m_isClosed)
        return;
    static thread_local std::array<char, readBufferBytes> buffer; // Of all connections of a thread.
    std::size_t count = error ? 0 : m_socket.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) {
        startRead();
        return;
    }
    if (error) {
        reportLoss(AnswerLoss::Disconnected);
        if (m_isServing)
            m_handler.onCallerDisconnected(*this, error);
        close();
        return;
    }
    onRead({ buffer.data(), count });
}

void HttpServerConnection::onRead(std::string_view bytes)
{
    m_lastReadAt = m_clock.steadyNow();
    if (!m_closesWhenTaken)
        m_input.append(bytes);
    if (!m_isServing)
        parse();
    releaseSpareMemory(m_input);
    startRead();
}

void HttpServerConnection::parse()
{
    while (!m_isServing && !m_isClosed && !m_input.empty()) {
        if (!m_parser) {
            CallerLimits limits = m_handler.callerLimits();
            m_parser = std::make_unique<RequestParser>(limits.headerBytes, limits.bodyBytes, m_handler.requestBodies());
            m_bodyMemory = 0;
            m_requestStartedAt = m_clock.steadyNow();
            m_sentContinue = false;
        }
        std::size_t headerEnd = m_parser->is_header_done() ? std::string::npos : m_input.find("\r\n\r\n");
        if (headerEnd != std::string::npos && hasFoldedField(std::string_view(m_input).substr(0, headerEnd))) {
            rejectRequest(boost::beast::http::error::bad_field);
            return;
        }
        boost::system::error_code error;
        std::size_t used = putBytes(*m_parser, m_input, error);
        m_input.erase(0, used);
        if (error && error != boost::beast::http::error::need_more) {
            rejectRequest(error);
            return;
        }
        countBody();
        if (m_parser->is_header_done() && !m_parser->is_done() && !m_sentContinue && hasField(m_parser->request().fields, Field::Expect)) {
            m_sentContinue = true;
            write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        if (!m_parser->is_done()) {
            if (error || !used)
                return;
            continue;
        }
        ReceivedRequest request = m_parser->takeRequest();
        m_parser.reset();
        m_isServing = true;
        m_answerDeadline.reset();
        if (m_isRefused) {
            finishAnswer(false);
            return;
        }
        m_handler.onRequest(shared_from_this(), std::move(request));
    }
}

void HttpServerConnection::rejectRequest(boost::system::error_code error)
{
    m_isServing = true;
    int status = statusForError(error);
    if (!m_isRefused)
        write("HTTP/1.1 " + std::to_string(status) + " Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    finishAnswer(false);
}

void HttpServerConnection::countBody()
{
    if (m_isRefused)
        return;
    std::size_t memory = bodyMemory(m_parser->request());
    if (memory == m_bodyMemory)
        return;
    m_bodyMemory = memory;
    m_bodyGrownAt = m_lastReadAt;
    std::shared_ptr<BufferAccount> account = m_handler.requestBodies();
    if (!account || !mustRefuseBody(*account, memory))
        return;
    m_handler.refuseStalledBodies();
    if (mustRefuseBody(*account, memory))
        refuseBody();
}

std::size_t HttpServerConnection::stalledBodyMemory(SteadyTime now) const
{
    // Bytes that were not read yet are the process's own delay.
    bool isStalled = m_parser && !m_isServing && !m_isRefused && now - m_bodyGrownAt > stalledBodyTime && !unreadBytes();
    return isStalled ? m_bodyMemory : 0;
}

void HttpServerConnection::refuseBody()
{
    m_isRefused = true;
    write(m_handler.refuseBody(m_parser->request()));
    m_parser->discardBody();
    m_bodyMemory = 0;
}

void HttpServerConnection::setAnswerDeadline(SteadyTime deadline)
{
    m_answerDeadline = deadline;
    if (!m_looksForSilence)
        m_looksForSilence = disableUnacknowledgedTimeout(m_socket);
}

void HttpServerConnection::write(std::string_view bytes)
{
    if (m_isClosed)
        return;
    m_pending.append(bytes);
    if (m_writing.empty())
        startWrite();
    countOutput();
}

void HttpServerConnection::countOutput() { m_outputMemory.set(heapMemory(m_pending) + heapMemory(m_writing) + m_queuedBytes); }

void HttpServerConnection::startWrite()
{
    m_writing.swap(m_pending);
    m_written = 0;
    SteadyTime now = m_clock.steadyNow();
    // After a pause of this process, what the caller took meanwhile isn't known yet.
    if (hasUntakenBytes(m_progress) && mustAskKernel(m_progress, now))
        updateProgress(now);
    recordWriteBegin(m_progress, now);
    writeSome();
}

void HttpServerConnection::writeSome()
{
    m_socket.async_write_some(asio::buffer(m_writing) + m_written, [self = shared_from_this()](boost::system::error_code error, std::size_t count) { self->onWritten(error, count); });
}

void HttpServerConnection::onWritten(boost::system::error_code error, std::size_t count)
{
    if (m_isClosed)
        return;
    if (error) {
        reportLoss(AnswerLoss::Disconnected);
        if (m_isServing)
            m_handler.onCallerDisconnected(*this, error);
        close();
        return;
    }
    m_written += count;
    recordWritten(m_progress, count);
    if (m_written < m_writing.size()) {
        writeSome();
        return;
    }
    m_writing.clear();
    m_written = 0;
    releaseSpareMemory(m_writing);
    if (!m_pending.empty())
        startWrite();
    countOutput();
    if (!m_writing.empty())
        return;
    if (m_closesWhenWritten) {
        endOutput();
        return;
    }
    if (!m_isServing)
        becomeIdle();
    m_handler.onWriteBufferEmpty(*this);
}

void HttpServerConnection::endOutput()
{
    bool isTaken = !untakenInKernel();
    boost::system::error_code ignored; // The caller may have closed already.
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (!m_answerDeadline || isTaken) {
        close();
        return;
    }
    // What the caller still sends is read, so that no reset destroys the answer on its way.
    m_closesWhenTaken = true;
    std::string().swap(m_input);
    startRead();
}

std::size_t HttpServerConnection::untakenInKernel() const
{
    std::size_t queued = queuedBytes(m_socket);
    std::size_t endOfConnection = m_closesWhenTaken ? 1 : 0;
    return queued - std::min(queued, endOfConnection);
}

std::optional<TransmitFacts> HttpServerConnection::updateProgress(SteadyTime now)
{
    std::optional<TransmitFacts> facts = transmitFacts(m_socket);
    if (!facts)
        return std::nullopt;
    facts->queuedBytes = untakenInKernel();
    if (!m_looksForSilence)
        m_looksForSilence = disableUnacknowledgedTimeout(m_socket);
    recordFacts(m_progress, *facts, now);
    m_queuedBytes = facts->queuedBytes;
    countOutput();
    return facts;
}

void HttpServerConnection::checkOutput(SteadyTime now)
{
    if (!hasOutput() || (!m_closesWhenTaken && !mustAskKernel(m_progress, now)))
        return;
    std::optional<TransmitFacts> facts = updateProgress(now);
    if (!facts)
        return;
    if (!hasOutput()) {
        if (m_closesWhenTaken)
            close();
        return;
    }
    if (!m_isServing)
        becomeIdle(); // Not before the caller has its answer.
    if (isSilent(m_progress, *facts, now))
        giveUp(AnswerLoss::Silent);
    else if (m_answerDeadline && isOverdue(m_progress, { .deadline = *m_answerDeadline, .idleLimit = m_handler.callerLimits().idleTimeout }, now))
        giveUp(AnswerLoss::Overdue);
}

void HttpServerConnection::reportLoss(AnswerLoss reason)
{
    if (!hasOutput() || (reason == AnswerLoss::Disconnected && !unwrittenBytes() && !untakenInKernel()))
        return;
    SteadyTime now = m_clock.steadyNow();
    LostAnswer lost { .reason = reason, .unwrittenBytes = unwrittenBytes(), .queuedBytes = untakenInKernel(), .sinceTaken = now - m_progress.takenAt };
    if (m_progress.unansweredSince)
        lost.unansweredFor = now - *m_progress.unansweredSince;
    m_handler.onAnswerLost(lost);
}

void HttpServerConnection::giveUp(AnswerLoss reason)
{
    auto self = shared_from_this();
    reportLoss(reason);
    if (m_isServing)
        m_handler.onCallerDisconnected(*this, asio::error::timed_out);
    closeWithReset(m_socket);
    close();
}

std::size_t HttpServerConnection::stalledAnswerMemory(Duration allowedStall, SteadyTime now)
{
    if (m_isClosed || !hasOutput() || now - m_progress.takenAt <= allowedStall)
        return 0;
    updateProgress(now);
    bool isStalled = hasOutput() && now - m_progress.takenAt > allowedStall;
    return isStalled ? heapMemory(m_writing) + heapMemory(m_pending) + m_queuedBytes : 0;
}

void HttpServerConnection::closeStalled()
{
    if (!m_isClosed)
        giveUp(AnswerLoss::Memory);
}

void HttpServerConnection::finishAnswer(bool keepAlive)
{
    if (m_isClosed)
        return;
    if (!keepAlive) {
        m_closesWhenWritten = true;
        if (m_writing.empty() && m_pending.empty())
            endOutput();
        return;
    }
    m_isServing = false;
    becomeIdle();
    if (m_input.empty()) {
        startRead();
        return;
    }
    // Pipelined requests are parsed in a separate handler, so that a long series of them can't overflow the stack.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_isServing)
            self->parse();
        self->startRead();
    });
}

void HttpServerConnection::becomeIdle()
{
    m_idleSince = m_clock.steadyNow();
    m_idleLimit = m_handler.callerLimits().idleTimeout;
}

void HttpServerConnection::truncateAnswer()
{
    if (m_isClosed)
        return;
    // The caller detects the truncation by the missing end of the answer.
    finishAnswer(false);
}

void HttpServerConnection::closeIfTimedOut(SteadyTime now)
{
    if (!m_isClosed)
        checkOutput(now);
    if (m_isServing || m_isClosed)
        return;
    std::optional<TimedOutCaller> exceeded = exceededLimit(now);
    if (!exceeded || unreadBytes() > 0)
        return;
    m_handler.onCallerTimedOut(*exceeded);
    close();
}

std::size_t HttpServerConnection::unreadBytes() const
{
    boost::system::error_code ignored; // A socket that can't tell has nothing to read.
    return m_socket.available(ignored);
}

std::optional<TimedOutCaller> HttpServerConnection::exceededLimit(SteadyTime now) const
{
    CallerLimits limits = m_handler.callerLimits();
    if (hasOutput())
        return std::nullopt; // `checkOutput()` decides.
    TimedOutCaller caller;
    if (!m_parser)
        caller = { .timeout = CallerTimeout::Idle, .elapsed = now - m_idleSince, .limit = std::max<Duration>(m_idleLimit, limits.idleTimeout) };
    else if (!m_parser->is_header_done())
        caller = { .timeout = CallerTimeout::Header, .elapsed = now - m_requestStartedAt, .limit = limits.headerTimeout };
    else
        caller = { .timeout = CallerTimeout::Body, .elapsed = now - m_lastReadAt, .limit = limits.idleTimeout };
    if (caller.elapsed > caller.limit)
        return caller;
    return std::nullopt;
}

bool HttpServerConnection::isInUse() const
{
    bool hasRequest = m_isServing || m_parser || !m_input.empty() || unreadBytes() > 0;
    if ((hasRequest && !m_closesWhenTaken) || unwrittenBytes() > 0)
        return true;
    return hasUntakenBytes(m_progress) && untakenInKernel() > 0;
}

bool HttpServerConnection::closeIfIdle()
{
    if (m_isClosed || isInUse())
        return false;
    close();
    return true;
}

void HttpServerConnection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    auto self = shared_from_this();
    m_queuedBytes = 0;
    m_outputMemory.set(0); // The rest is freed once the write in progress has ended.
    std::string().swap(m_pending);
    boost::system::error_code ignored; // A failed close needs no handling.
    m_socket.close(ignored);
    m_handler.onConnectionClosed(*this);
}

} // namespace limpetpond
