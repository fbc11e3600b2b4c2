#pragma once

/// A server-side HTTP/1.1 connection of the gateway, from a caller, a health check or another instance.
///
/// It parses complete requests one at a time and writes their answers. The daemon's callers are served by caller/CallerServer.

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

    /// Completes the answer in progress: continues with the next request, or closes once all bytes are written.
    void finishAnswer(bool keepAlive);

    /// Writes the queued bytes and closes, so that the caller sees a truncated answer.
    void truncateAnswer();

    /// Closes the connection if the next request exceeds the header, idle or body timeout. Bytes that have arrived but
    /// were not read yet keep it open: the delay is this process's own.
    void closeIfTimedOut(SteadyTime now);

    /// True while a request is being served or has arrived in part, or bytes of an answer are not written.
    bool isInUse() const;

    /// Since when the connection has no request; none while it is in use.
    std::optional<SteadyTime> idleSince() const { return isInUse() ? std::nullopt : std::optional(m_idleSince); }

    /// Closes the connection unless it is in use; true where it was closed.
    bool closeIfIdle();

    /// The memory of the request's body if it has stopped arriving or arrives very slowly, in bytes; 0 otherwise.
    std::size_t stalledBodyMemory(SteadyTime now) const;

    /// Refuses the request that is being read, and frees its body.
    void refuseBody();

    /// The memory of the answer if the caller takes nothing of it, in bytes; 0 otherwise.
    std::size_t stalledAnswerMemory(SteadyTime now) const;

    /// Closes the connection of a caller that takes nothing of its answer.
    void closeStalled();

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
    void close();
    void becomeIdle();
    std::optional<TimedOutCaller> exceededLimit(SteadyTime now) const;

    boost::asio::ip::tcp::socket m_socket;
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
    SteadyTime m_writtenAt; ///< When the kernel last took some, or the write began.
    CountedMemory m_outputMemory; ///< Of `m_pending` and `m_writing`.
    bool m_isReading { false };
    bool m_isServing { false };
    bool m_isClosed { false };
    bool m_closesWhenWritten { false };
    bool m_sentContinue { false };
    SteadyTime m_requestStartedAt; ///< When the first byte of the request being read was parsed.
    SteadyTime m_lastReadAt;
    SteadyTime m_idleSince;
    Duration m_idleLimit; ///< The idle timeout when the connection became idle; the caller may count on it.
};

} // namespace limpetpond
