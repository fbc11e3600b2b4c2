#include "http/HttpClient.h"

#include "test/CallFailures.h"
#include "test/ScriptedServer.h"
#include "test/fakes/edge/TargetFake.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using fakes::TargetCall;
using fakes::TargetFake;

namespace {

/// Answers each request with the bytes and then ends the connection.
TargetFake::Handler writing(const std::string& bytes)
{
    return [bytes](TargetCall& call) {
        call.write(bytes);
        call.closeConnection();
    };
}

} // namespace

TEST_GROUP(HttpClient) {};

TEST(HttpClient, anyStatusIsAnAnswer)
{
    ScriptedServer server([](const httplib::Request& request, httplib::Response& response) {
        response.status = 418;
        response.set_header("X-Seen", request.get_header_value("X-Given"));
        response.set_content("body of " + request.path, "text/plain");
    });
    HttpRequest request { .path = "/a" };
    request.headers = { { "X-Given", "7" } };
    auto answer = httpCall({ "127.0.0.1", server.port() }, request, {});
    CHECK(answer.has_value());
    LONGS_EQUAL(418, answer->status);
    STRCMP_EQUAL("body of /a", answer->body.c_str());
    STRCMP_EQUAL("7", headerValue(answer->headers, "x-seen").c_str());
}

TEST(HttpClient, refusedConnectionIsNotSent)
{
    HttpEndpoint closedEndpoint { "127.0.0.1", freePort() };
    CHECK(failsAs(CallFailure::NotSent, [&] { return httpCall(closedEndpoint, {}, {}); }));
}

TEST(HttpClient, incompleteAnswerIsNoAnswer)
{
    ScriptedServer server([](const httplib::Request&, httplib::Response& response) { breakAnswer(response); });
    CHECK(failsAs(CallFailure::NoAnswer, [&] { return httpCall({ "127.0.0.1", server.port() }, {}, {}); }));
}

TEST(HttpClient, readTimeoutIsNoAnswer)
{
    ScriptedServer server([](const httplib::Request&, httplib::Response&) { std::this_thread::sleep_for(std::chrono::milliseconds(200)); });
    HttpTimeouts timeouts { .read = std::chrono::milliseconds(20) };
    CHECK(failsAs(CallFailure::NoAnswer, [&] { return httpCall({ "127.0.0.1", server.port() }, {}, timeouts); }));
}

TEST(HttpClient, stopBeforeTheStartIsNotSent)
{
    ScriptedServer server([](const httplib::Request&, httplib::Response&) {});
    CallStop stop;
    stop.request();
    CHECK(failsAs(CallFailure::NotSent, [&] { return httpCall({ "127.0.0.1", server.port() }, {}, {}, &stop); }));
    LONGS_EQUAL(0, server.requests().size());
}

TEST(HttpClient, stopEndsAWaitingCall)
{
    std::atomic<bool> arrived { false };
    std::atomic<bool> released { false };
    ScriptedServer server([&](const httplib::Request&, httplib::Response&) {
        arrived = true;
        while (!released)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    });
    CallStop stop;
    std::thread stopper([&] {
        while (!arrived)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        stop.request();
    });
    HttpTimeouts timeouts { .read = std::chrono::minutes(5) };
    CHECK(failsAs(CallFailure::NoAnswer, [&] { return httpCall({ "127.0.0.1", server.port() }, {}, timeouts, &stop); }));
    stopper.join();
    released = true;
}

// The stop ends the connection from this side, which is no end of an answer without a length.
TEST(HttpClient, aStoppedCallHasNoAnswer)
{
    std::atomic<bool> hasWritten { false };
    TargetFake server([&](TargetCall& call) {
        call.write("HTTP/1.1 200 OK\r\n\r\npart");
        hasWritten = true;
        call.waitForClose(5'000);
        call.closeConnection();
    });
    CallStop stop;
    std::string body;
    HttpStreamHandlers handlers;
    handlers.data = [&](std::string_view data) {
        body += data;
        return true;
    };
    std::thread stopper([&] {
        while (!hasWritten)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        std::this_thread::sleep_for(std::chrono::milliseconds(50)); // The part arrives, and the call waits for more.
        stop.request();
    });
    bool hasNoAnswer = failsAs(CallFailure::NoAnswer, [&] { return httpStream({ "127.0.0.1", server.port() }, {}, {}, handlers, &stop); });
    stopper.join();
    CHECK_TRUE(hasNoAnswer);
    STRCMP_EQUAL("part", body.c_str());
}

TEST(HttpClient, poolReusesItsConnection)
{
    std::mutex mutex;
    std::vector<int> ports;
    ScriptedServer server([&](const httplib::Request& request, httplib::Response&) {
        std::lock_guard lock(mutex);
        ports.push_back(request.remote_port);
    });
    HttpConnectionPool pool({ "127.0.0.1", server.port() }, {});
    CHECK(pool.call({}).has_value());
    CHECK(pool.call({}).has_value());
    LONGS_EQUAL(2, ports.size());
    LONGS_EQUAL(ports[0], ports[1]);
}

TEST(HttpClient, poolRecoversFromAFailure)
{
    std::atomic<int> calls { 0 };
    ScriptedServer server([&](const httplib::Request&, httplib::Response& response) {
        if (!calls++)
            breakAnswer(response);
    });
    HttpConnectionPool pool({ "127.0.0.1", server.port() }, {});
    CHECK(failsAs(CallFailure::NoAnswer, [&] { return pool.call({}); }));
    CHECK(pool.call({}).has_value());
}

TEST(HttpClient, anAnswerThatBreaksTheRulesIsMalformed)
{
    TargetFake server(writing("HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\ndone"));
    std::optional<CallError> error = callErrorOf([&] { return httpCall({ "127.0.0.1", server.port() }, {}, {}); });
    CHECK(error && error->failure == CallFailure::Malformed);
    LONGS_EQUAL(0, error->status);
    STRCMP_CONTAINS("the answer breaks the rules of HTTP", error->detail.c_str());
}

TEST(HttpClient, aStatusBelow100IsMalformed)
{
    for (const char* status : { "000", "001", "099" }) {
        TargetFake server(writing("HTTP/1.1 " + std::string(status) + " OK\r\nContent-Length: 4\r\n\r\ndone"));
        CHECK(failsAs(CallFailure::Malformed, [&] { return httpCall({ "127.0.0.1", server.port() }, {}, {}); }));
    }
}

// A status above 599 counts as a server error, which a caller can judge by itself.
TEST(HttpClient, aStatusOutsideTheKnownClassesIsPassedOn)
{
    for (int status : { 299, 304, 599, 600, 999 }) {
        TargetFake server(writing("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 0\r\n\r\n"));
        auto answer = httpCall({ "127.0.0.1", server.port() }, {}, {});
        CHECK(answer.has_value());
        LONGS_EQUAL(status, answer->status);
    }
}

TEST(HttpClient, answersWithoutABodyHaveTheirOwnStatus)
{
    int heads = 0;
    HttpStreamHandlers handlers;
    handlers.head = [&](const HttpResponse&) { return ++heads > 0; };
    handlers.data = [](std::string_view) { return true; };
    TargetFake noContent(writing("HTTP/1.1 204 No Content\r\nX-Odd: 1\r\n\r\n"));
    auto answer = httpStream({ "127.0.0.1", noContent.port() }, {}, {}, handlers);
    CHECK(answer.has_value());
    LONGS_EQUAL(204, answer->status);
    STRCMP_EQUAL("1", headerValue(answer->headers, "X-Odd").c_str());

    TargetFake headOnly(writing("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"));
    answer = httpStream({ "127.0.0.1", headOnly.port() }, { .method = "HEAD" }, {}, handlers);
    CHECK(answer.has_value());
    LONGS_EQUAL(200, answer->status);
    STRCMP_EQUAL("4", headerValue(answer->headers, "Content-Length").c_str());
    LONGS_EQUAL(2, heads);
}

TEST(HttpClient, valuesArePassedOnAsTheyCame)
{
    TargetFake server(writing("HTTP/1.1 200 OK\r\nX-Odd: a%20b%0d%0aX-Other: 2\r\nX-Odd: c\r\nContent-Length: 0\r\n\r\n"));
    auto answer = httpCall({ "127.0.0.1", server.port() }, {}, {});
    CHECK(answer.has_value());
    LONGS_EQUAL(3, answer->headers.size());
    STRCMP_EQUAL("a%20b%0d%0aX-Other: 2", answer->headers[0].value.c_str());
    STRCMP_EQUAL("c", answer->headers[1].value.c_str());
}

TEST(HttpClient, interimAnswersWithoutEndAreMalformed)
{
    TargetFake server([](TargetCall& call) { call.writeUntilClosed("HTTP/1.1 102 Processing\r\n\r\n", 1U << 20); });
    CHECK(failsAs(CallFailure::Malformed, [&] { return httpCall({ "127.0.0.1", server.port() }, {}, {}); }));
}

TEST(HttpClient, aHeadWithoutEndIsMalformed)
{
    for (const char* block : { "X-Odd: 1\r\n", "endless" }) {
        TargetFake server([block](TargetCall& call) {
            call.write("HTTP/1.1 200 OK\r\n");
            call.writeUntilClosed(block, 64U << 20);
        });
        CHECK(failsAs(CallFailure::Malformed, [&] { return httpCall({ "127.0.0.1", server.port() }, {}, {}); }));
    }
}

TEST(HttpClient, poolKeepsNoConnectionWithBytesBehindTheAnswer)
{
    std::atomic<int> calls { 0 };
    TargetFake server([&](TargetCall& call) {
        std::string body = std::to_string(++calls);
        call.write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
    });
    HttpConnectionPool pool({ "127.0.0.1", server.port() }, {});
    for (const char* body : { "1", "2" }) {
        auto answer = pool.call({});
        CHECK(answer.has_value());
        STRCMP_EQUAL(body, answer->body.c_str());
    }
}

// A second answer would be taken for the one to the next request.
TEST(HttpClient, poolKeepsNoConnectionOnWhichBytesArriveLater)
{
    std::atomic<int> calls { 0 };
    TargetFake server([&](TargetCall& call) {
        call.write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(++calls));
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        call.write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
    });
    HttpConnectionPool pool({ "127.0.0.1", server.port() }, {});
    for (const char* body : { "1", "2" }) {
        auto answer = pool.call({});
        CHECK(answer.has_value());
        STRCMP_EQUAL(body, answer->body.c_str());
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
}
