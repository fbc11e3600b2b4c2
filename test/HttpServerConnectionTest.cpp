/// Tests the time limits of callers' connections with a clock that the test moves.

#include "traffic/HttpServerConnection.h"
#include "test/RawConnection.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/// Answers every request at once.
struct AnsweringHandler final : RequestHandler {
    CallerLimits limits { .idleTimeout = 15s };
    std::string answer { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" };
    std::optional<SteadyTime> lookAt; ///< The connection is looked at in the moment of writing, 1 s after the deadline of its answer.
    int requests { 0 };
    int closed { 0 };

    CallerLimits callerLimits() const override { return limits; }
    void onRequest(const std::shared_ptr<HttpServerConnection>& connection, ReceivedRequest&&) override
    {
        ++requests;
        if (lookAt)
            connection->setAnswerDeadline(*lookAt - 1s);
        connection->write(answer);
        if (lookAt)
            connection->closeIfTimedOut(*lookAt);
        connection->finishAnswer(true);
    }
    void onCallerDisconnected(HttpServerConnection&, const boost::system::error_code&) override { }
    void onWriteBufferEmpty(HttpServerConnection&) override { }
    void onConnectionClosed(HttpServerConnection&) override { ++closed; }
};

} // namespace

TEST_GROUP(HttpServerConnection)
{
    ManualClock clock;
    AnsweringHandler handler;
    boost::asio::io_context context;
    tcp::acceptor acceptor { context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0) };
    std::unique_ptr<RawConnection> caller;
    std::shared_ptr<HttpServerConnection> connection;

    void setup() override
    {
        caller = std::make_unique<RawConnection>(acceptor.local_endpoint().port());
        connection = std::make_shared<HttpServerConnection>(acceptor.accept(), clock, handler);
        connection->start();
    }

    void teardown() override
    {
        caller.reset();
        poll();
        connection.reset();
        acceptor.close();
    }

    void poll()
    {
        context.restart();
        context.poll();
    }

    /// Whether the connection is soon unused: a caller's kernel may acknowledge the last bytes some milliseconds late.
    bool becomesUnused() const
    {
        for (int i = 0; i < 1000 && connection->isInUse(); ++i)
            std::this_thread::sleep_for(1ms);
        return !connection->isInUse();
    }

    /// Serves one request and waits until the caller has its answer.
    void serveRequest()
    {
        int before = handler.requests;
        caller->send(request);
        for (int i = 0; i < 1000 && (handler.requests == before || connection->unwrittenBytes() > 0); ++i) {
            poll();
            std::this_thread::sleep_for(1ms);
        }
        STRCMP_CONTAINS("200 OK", caller->readAnswer().c_str());
        CHECK_TRUE(becomesUnused());
    }

    /// The caller sends a request or a part of one, and nothing reads it yet.
    void sendUnread(const std::string& bytes = request)
    {
        caller->send(bytes);
        for (int i = 0; i < 1000 && !connection->unreadBytes(); ++i)
            std::this_thread::sleep_for(1ms);
        CHECK(connection->unreadBytes() > 0);
    }

    void closeIfTimedOut() { connection->closeIfTimedOut(clock.steadyNow()); }
};

TEST(HttpServerConnection, aRequestThatHasArrivedIsServedAfterALongIdleTime)
{
    serveRequest();
    clock.advance(20s);
    sendUnread();
    closeIfTimedOut();
    poll();
    LONGS_EQUAL(0, handler.closed);
    LONGS_EQUAL(2, handler.requests);
}

// An instance that stops must not end before a request that has arrived, whole or in part, is answered.
TEST(HttpServerConnection, aConnectionWithARequestThatHasArrivedIsInUse)
{
    serveRequest();
    CHECK_FALSE(connection->isInUse());
    sendUnread();
    CHECK_TRUE(connection->isInUse());
    poll();
    LONGS_EQUAL(0, handler.closed);
    LONGS_EQUAL(2, handler.requests);
    CHECK_TRUE(becomesUnused());
    sendUnread(request.substr(0, 10));
    CHECK_TRUE(connection->isInUse());
    poll();
    CHECK_TRUE(connection->isInUse());
}

TEST(HttpServerConnection, aLoweredIdleLimitHoldsFromTheNextRequestOn)
{
    serveRequest();
    handler.limits.idleTimeout = 2s;
    clock.advance(5s);
    closeIfTimedOut();
    LONGS_EQUAL(0, handler.closed);
    serveRequest();
    clock.advance(3s);
    closeIfTimedOut();
    LONGS_EQUAL(1, handler.closed);
}

TEST(HttpServerConnection, aRaisedIdleLimitHoldsAtOnce)
{
    handler.limits.idleTimeout = 2s;
    serveRequest();
    handler.limits.idleTimeout = 15s;
    clock.advance(5s);
    closeIfTimedOut();
    LONGS_EQUAL(0, handler.closed);
    clock.advance(11s);
    closeIfTimedOut();
    LONGS_EQUAL(1, handler.closed);
}

TEST(HttpServerConnection, aConnectionIsNotIdleBeforeItsAnswerIsWritten)
{
    constexpr std::size_t bodyBytes = 16 << 20; // More than the sockets' buffers hold.
    handler.answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
    caller->send(request);
    for (int i = 0; i < 1000 && !handler.requests; ++i) {
        poll();
        std::this_thread::sleep_for(1ms);
    }
    clock.advance(20s);
    closeIfTimedOut();
    LONGS_EQUAL(0, handler.closed);
    CHECK(connection->unwrittenBytes() > 0);
    std::thread reader([this] {
        while (caller->readPiece()) { }
    });
    for (int i = 0; i < 5000 && connection->unwrittenBytes() > 0; ++i) {
        poll();
        std::this_thread::sleep_for(1ms);
    }
    LONGS_EQUAL(0, connection->unwrittenBytes());
    closeIfTimedOut();
    LONGS_EQUAL(0, handler.closed);
    clock.advance(20s);
    closeIfTimedOut();
    reader.join();
    LONGS_EQUAL(1, handler.closed);
}

// A body that has stopped arriving holds its memory until the idle timeout, though others may need it before.
TEST(HttpServerConnection, aBodyThatFillsNoBlockForSomeTimeIsStalled)
{
    const std::string block(16384, 'x');
    sendUnread("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + block);
    poll();
    LONGS_EQUAL(0, connection->stalledBodyMemory(clock.steadyNow()));
    clock.advance(3s);
    CHECK(connection->stalledBodyMemory(clock.steadyNow()) >= block.size());
    sendUnread(block + block);
    LONGS_EQUAL(0, connection->stalledBodyMemory(clock.steadyNow())); // Bytes that nothing has read yet.
    poll();
    LONGS_EQUAL(0, connection->stalledBodyMemory(clock.steadyNow()));
    LONGS_EQUAL(0, handler.requests);
    clock.advance(3s);
    connection->refuseBody();
    LONGS_EQUAL(0, connection->stalledBodyMemory(clock.steadyNow()));
    LONGS_EQUAL(0, handler.requests);
}

// Callers that take nothing of large answers took all memory.
TEST(HttpServerConnection, anAnswerOfWhichNothingIsTakenIsStalled)
{
    handler.answer = "HTTP/1.1 200 OK\r\nContent-Length: 64000000\r\n\r\n";
    handler.answer.resize(64'000'000, 'x');
    sendUnread();
    for (int i = 0; i < 100; ++i)
        poll();
    CHECK(connection->unwrittenBytes() > 0);
    clock.advance(1s);
    closeIfTimedOut(); // Looks at what the caller's kernel has taken.
    LONGS_EQUAL(0, connection->stalledAnswerMemory(1s, clock.steadyNow()));
    clock.advance(2s);
    CHECK(connection->stalledAnswerMemory(1s, clock.steadyNow()) > 0);
    connection->closeStalled();
    LONGS_EQUAL(0, connection->stalledAnswerMemory(1s, clock.steadyNow()));
    LONGS_EQUAL(1, handler.closed);
}

// After a pause of the process, an answer was cut as overdue in the moment in which it was written, as the connection had not
// been looked at since the last one.
TEST(HttpServerConnection, anAnswerAfterAPauseOfTheProcessIsNotOverdue)
{
    serveRequest();
    clock.advance(5s);
    handler.lookAt = clock.steadyNow();
    sendUnread();
    poll();
    LONGS_EQUAL(2, handler.requests);
    LONGS_EQUAL(0, handler.closed);
    STRCMP_CONTAINS("200 OK", caller->readAnswer().c_str());
}
