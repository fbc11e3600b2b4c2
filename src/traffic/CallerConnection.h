#pragma once

/// One connection of a caller: reads whole requests one after another, writes answers.

#include "core/ServingSettings.h"
#include "limpetpond/Clock.h"
#include "traffic/HttpParser.h"
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

namespace limpetpond {

class CallerConnection;

/// What takes a caller's requests.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    virtual CallerLimits callerLimits() const = 0;
    virtual void onRequest(const std::shared_ptr<CallerConnection>&, HttpRequest&&) = 0;
    /// The caller closed the connection while its request was being served.
    virtual void onCallerDisconnected(CallerConnection&) = 0;
    /// What waited to be written to the caller is written.
    virtual void onWriteBufferEmpty(CallerConnection&) = 0;
    virtual void onConnectionClosed(CallerConnection&) = 0;
};

class CallerConnection final : public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(boost::asio::ip::tcp::socket, const Clock&, RequestHandler&);

    void start();

    /// Queues bytes of the answer in progress.
    void write(std::string_view);

    /// The answer in progress is whole; the next request may be read.
    void finishAnswer(bool keepAlive);

    /// Writes what is queued and closes: an answer that was begun is seen as broken by the caller.
    void truncateAnswer();

    /// Closes a connection that waits for a request longer than allowed.
    void closeIfTimedOut(SteadyTime now);

    /// Closes a connection whose answers are written and on which no byte of a further request has arrived.
    void closeIfIdle();

    std::size_t unwrittenBytes() const { return m_pending.size() + m_writing.size(); }

private:
    void startRead();
    void onRead(boost::system::error_code, std::size_t);
    void parse();
    void refuse(boost::system::error_code);
    void startWrite();
    void close();

    boost::asio::ip::tcp::socket m_socket;
    const Clock& m_clock;
    RequestHandler& m_handler;
    std::vector<char> m_piece; ///< Where the read in progress puts its bytes.
    std::string m_input; ///< Bytes that are not parsed yet.
    std::unique_ptr<RequestParser> m_parser;
    std::string m_pending;
    std::string m_writing;
    bool m_isReading { false };
    bool m_isServing { false };
    bool m_isClosed { false };
    bool m_closesWhenWritten { false };
    bool m_sentContinue { false };
    SteadyTime m_requestBegan; ///< First byte of the request that is being read.
    SteadyTime m_lastReadAt;
    SteadyTime m_idleSince;
};

} // namespace limpetpond
