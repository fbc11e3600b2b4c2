#pragma once

/// A server-side HTTP/1.1 connection of the gateway, from a caller, a health check or another instance.
///
/// It parses complete requests one at a time and writes their answers. The daemon's callers are served by caller/CallerServer.

#include "core/PeerProgress.h"
#include "core/ServingSettings.h"
#include "limpetpond/Clock.h"
#include "traffic/HttpParser.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpetpond {

class HttpServerConnection;

/// Which time limit a caller has exceeded.
enum class CallerTimeout {
    Idle, ///< No request has begun.
    Header, ///< The header of a request isn't complete.
    Body, ///< No more bytes of a request's body have arrived.
};

/// A connection that is closed because its caller has exceeded a time limit.
struct TimedOutCaller {
    CallerTimeout timeout { CallerTimeout::Idle };
    Duration elapsed { 0 };
    Duration limit { 0 };
};

/// Why a connection ended before its caller had taken all that was written to it.
enum class AnswerLoss {
    Disconnected, ///< The caller or the kernel has closed the connection.
    Silent, ///< The caller acknowledged nothing.
    Overdue, ///< The caller took nothing, or too little, until after its deadline.
    Memory, ///< The caller took nothing while the answers of all callers took too much memory.
};

/// An answer, or the rest of one, that its caller has not taken.
struct LostAnswer {
    AnswerLoss reason { AnswerLoss::Disconnected };
    std::size_t unwrittenBytes { 0 }; ///< Not yet passed to the kernel.
    std::size_t queuedBytes { 0 }; ///< In the kernel, and not acknowledged.
    Duration sinceTaken { 0 }; ///< Since the caller was last seen to have taken some.
    std::optional<Duration> unansweredFor; ///< For how long it has acknowledged nothing that was sent.
};

/// Serves the requests of server connections.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    virtual CallerLimits callerLimits() const = 0;
    /// The account that the bodies of requests count in; null for none.
    virtual std::shared_ptr<BufferAccount> requestBodies() const { return nullptr; }
    /// The account that bytes of answers count in until they are written; null for none.
    virtual std::shared_ptr<BufferAccount> unwrittenAnswers() const { return nullptr; }
    /// Refuses requests whose bodies have stopped arriving, until the others have room. Called while all bodies exceed their limit.
    virtual void refuseStalledBodies() { }
    /// The answer to a request whose body takes more memory than there is; the connection closes after it.
    virtual std::string refuseBody(const ReceivedRequest&) { return {}; }
    virtual void onRequest(const std::shared_ptr<HttpServerConnection>&, ReceivedRequest&&) = 0;
    /// The connection ended while a request was being served; `onConnectionClosed` follows. The error says how it ended.
    virtual void onCallerDisconnected(HttpServerConnection&, const boost::system::error_code&) = 0;
    /// The connection is about to be closed, since the caller has exceeded a time limit; `onConnectionClosed` follows.
    virtual void onCallerTimedOut(const TimedOutCaller&) { }
    /// The connection is about to be closed with bytes that the caller has not taken; `onConnectionClosed` follows.
    virtual void onAnswerLost(const LostAnswer&) { }
    /// All bytes queued for the caller were written.
    virtual void onWriteBufferEmpty(HttpServerConnection&) = 0;
    virtual void onConnectionClosed(HttpServerConnection&) = 0;
};

/// Reads, parses and writes on one socket. Pipelined requests are served in order.
class HttpServerConnection final : public std::enable_shared_from_this<HttpServerConnection> {
public:
    HttpServerConnection(boost::asio::ip::tcp::socket, const Clock&, RequestHandler&);

    void start();

    /// Queues bytes of the answer in progress for writing.
    void write(std::string_view);

    /// Until when the caller wants the answer in progress. From now on a connection that ends with an answer stays open until
    /// the caller has taken it, and one whose caller takes nothing is closed; both need calls of `closeIfTimedOut()`.
    void setAnswerDeadline(SteadyTime);

    /// Completes the answer in progress: continues with the next request, or closes once all bytes are written or, with an
    /// answer deadline, taken.
    void finishAnswer(bool keepAlive);

    /// Writes the queued bytes and closes, so that the caller sees a truncated answer.
    void truncateAnswer();

    /// Closes the connection if the next request exceeds the header, idle or body timeout, or if the caller has fallen silent or
    /// no longer takes its answer. Bytes that have arrived but were not read yet keep it open for its request: the delay is this
    /// process's own.
    void closeIfTimedOut(SteadyTime now);

    /// True while a request is being served or has arrived in part, or the caller hasn't taken all of an answer.
    bool isInUse() const;

    /// Since when the connection has no request; none while it is in use.
    std::optional<SteadyTime> idleSince() const { return isInUse() ? std::nullopt : std::optional(m_idleSince); }

    /// Closes the connection unless it is in use; true where it was closed.
    bool closeIfIdle();

    /// The memory of the request's body if it has stopped arriving or arrives very slowly, in bytes; 0 otherwise.
    std::size_t stalledBodyMemory(SteadyTime now) const;

    /// Refuses the request that is being read, and frees its body.
    void refuseBody();

    /// The memory of the answer, with that in the kernel, if the caller has taken nothing of it for so long, in bytes; 0
    /// otherwise. Asks the kernel.
    std::size_t stalledAnswerMemory(Duration allowedStall, SteadyTime now);

    /// Closes the connection of a caller that takes nothing of its answer.
    void closeStalled();

    /// Bytes of answers that the kernel hasn't accepted yet.
    std::size_t unwrittenBytes() const { return m_pending.size() + m_writing.size() - m_written; }

    /// Bytes that have arrived and were not read yet.
    std::size_t unreadBytes() const;

private:
    void startRead();
    void onReadable(boost::system::error_code);
    void onRead(std::string_view);
    void parse();
    void rejectRequest(boost::system::error_code);
    /// Refuses the request that is being read if all bodies take too much memory.
    void countBody();
    void startWrite();
    void writeSome();
    void onWritten(boost::system::error_code, std::size_t count);
    void countOutput();
    bool hasOutput() const { return unwrittenBytes() > 0 || hasUntakenBytes(m_progress); }
    /// Asks the kernel how much of what was written the caller has taken.
    std::optional<TransmitFacts> updateProgress(SteadyTime now);
    /// Closes the connection if the caller has fallen silent or is overdue, or has taken all of the last answer.
    void checkOutput(SteadyTime now);
    /// What the kernel holds and the caller hasn't acknowledged, without the end of the connection.
    std::size_t untakenInKernel() const;
    /// Ends the sending side after the last answer, and closes once the caller has taken it.
    void endOutput();
    /// Closes the connection and drops what the caller hasn't taken.
    void giveUp(AnswerLoss);
    /// Tells the handler if the caller hasn't taken all.
    void reportLoss(AnswerLoss);
    void close();
    void becomeIdle();
    std::optional<TimedOutCaller> exceededLimit(SteadyTime now) const;

    mutable boost::asio::ip::tcp::socket m_socket; ///< Its `native_handle()` isn't const.
    const Clock& m_clock;
    RequestHandler& m_handler;
    std::string m_input; ///< Bytes not parsed yet.
    std::unique_ptr<RequestParser> m_parser;
    std::size_t m_bodyMemory { 0 }; ///< Of the request that is being read.
    SteadyTime m_bodyGrownAt; ///< When `m_bodyMemory` last grew.
    bool m_isRefused { false }; ///< The request that is being read is answered already; the rest of it is ignored.
    std::string m_pending; ///< Queued for the next write.
    std::string m_writing; ///< Bytes of the write in progress; empty for none.
    std::size_t m_written { 0 }; ///< Bytes of `m_writing` that the kernel has taken.
    PeerProgress m_progress; ///< Of the caller, with what was written.
    std::size_t m_queuedBytes { 0 }; ///< In the kernel, when it was last looked at.
    bool m_looksForSilence { false }; ///< In place of the kernel's timeout for unacknowledged bytes.
    std::optional<SteadyTime> m_answerDeadline; ///< Of the answer in progress or the last one; none if the handler sets none.
    CountedMemory m_outputMemory; ///< Of `m_pending`, `m_writing` and what the kernel holds.
    bool m_isReading { false };
    bool m_isServing { false };
    bool m_isClosed { false };
    bool m_closesWhenWritten { false };
    bool m_closesWhenTaken { false }; ///< All is written, and what still arrives is ignored.
    bool m_sentContinue { false };
    SteadyTime m_requestStartedAt; ///< When the first byte of the request being read was parsed.
    SteadyTime m_lastReadAt;
    SteadyTime m_idleSince;
    Duration m_idleLimit; ///< The idle timeout when the connection became idle; the caller may count on it.
};

} // namespace limpetpond
