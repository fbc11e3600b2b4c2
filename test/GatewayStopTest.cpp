/// Tests the planned stop of an instance: every request that it reads is answered, at any moment of the grace.

#include "test/RunningGateway.h"
#include "test/fakes/edge/StoreFake.h"
#include "test/fakes/edge/TargetFake.h"
#include <atomic>
#include <csignal>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;
using fakes::TargetCall;
using fakes::TargetFake;

TEST_GROUP(GatewayStop)
{
    std::unique_ptr<fakes::StoreFake> store;
    std::unique_ptr<RunningGateway> gateway;
    std::unique_ptr<TargetFake> target;
    std::atomic<int> running { 0 };
    std::atomic<bool> mayEnd { false };
    int lastRequest { 0 };

    void setup() override { store = std::make_unique<fakes::StoreFake>(); }

    void teardown() override
    {
        mayEnd = true;
        gateway.reset();
        target.reset();
        store.reset();
    }

    /// Answers /read/ at once, and other requests when the test allows it.
    void serve(TargetCall & request)
    {
        if (request.head().find("/read/") != std::string::npos) {
            request.answer(200, "done");
            return;
        }
        bool isStream = request.head().find("/sum/") != std::string::npos;
        if (isStream) {
            request.beginEvents();
            request.chunk("id: 1\ndata: a\n\n");
        }
        ++running;
        while (!mayEnd && !request.waitForClose(20)) { }
        if (isStream) {
            request.chunk("id: 2\ndata: b\n\n");
            request.endEvents();
        } else {
            request.answer(200, "done");
        }
    }

    void start(int slots, std::chrono::milliseconds grace)
    {
        target = std::make_unique<TargetFake>([this](TargetCall& request) { serve(request); });
        store->put("servers", "t1",
            R"({"service":"lm","addr":"127.0.0.1:)" + std::to_string(target->port()) + R"(","zone":"a","version":"v1","slots":)" + std::to_string(slots)
                + R"(,"state":"ready","coldLeftMs":0,"seq":1,"born":1700000000000})");
        store->put("op", "config", documentWithLongTimeouts());
        gateway = std::make_unique<RunningGateway>(store->port(), RunningGatewayOptions { .shutdownGrace = grace });
        CHECK(eventually([&] { return gateway->readiness() == 200; }));
    }

    std::string requestText(const std::string& path)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r" + std::to_string(++lastRequest)
            + "\r\nX-Deadline-Ms: 20000\r\nAuthorization: Token k1\r\nContent-Length: 5\r\n\r\nhello";
    }

    std::unique_ptr<RawConnection> connect() { return std::make_unique<RawConnection>(gateway->callerPort()); }

    /// The status of the answer to a request that is sent in two packets.
    std::string statusInTwoPackets(RawConnection & connection, std::chrono::milliseconds between)
    {
        std::string text = requestText("/read/x");
        connection.send(text.substr(0, text.size() / 2));
        std::this_thread::sleep_for(between);
        connection.send(text.substr(text.size() / 2));
        return statusOf(connection.readAnswer());
    }
};

// Requests that were still waiting or running at the end of the grace lost their connections without a byte of an answer.
TEST(GatewayStop, requestsOfTheEndOfTheGraceAreAnswered)
{
    start(2, 3000ms);
    auto stream = connect();
    stream->send(requestText("/sum/x"));
    auto running = connect();
    running->send(requestText("/pay/x"));
    CHECK(eventually([&] { return this->running == 2; }));
    auto waiting = connect();
    waiting->send(requestText("/pay/x"));
    std::raise(SIGTERM);
    auto begun = std::chrono::steady_clock::now();
    std::string answer = waiting->readAnswer();
    STRCMP_EQUAL("503", statusOf(answer).c_str());
    STRCMP_CONTAINS("Retry-After: ", answer.c_str());
    STRCMP_CONTAINS("Connection: close\r\n", answer.c_str());
    STRCMP_EQUAL("502", statusOf(running->readAnswer()).c_str());
    std::string cut = stream->readAnswer();
    STRCMP_EQUAL("200", statusOf(cut).c_str());
    CHECK(cut.find("\r\n0\r\n\r\n") == std::string::npos);
    auto elapsed = std::chrono::steady_clock::now() - begun;
    CHECK(elapsed > 2s);
    CHECK(elapsed < 3s);
}

// After the first seconds of a stop, connections that had just been accepted were closed as unused before their request was read.
TEST(GatewayStop, everyRequestOnAnOpenConnectionIsAnswered)
{
    start(8, 8000ms);
    auto stream = connect();
    stream->send(requestText("/sum/x"));
    CHECK(eventually([&] { return running == 1; }));
    std::vector<std::unique_ptr<RawConnection>> kept;
    for (int i = 0; i < 12; ++i) {
        kept.push_back(connect());
        kept.back()->send(requestText("/read/x"));
        STRCMP_EQUAL("200", statusOf(kept.back()->readAnswer()).c_str());
    }
    std::raise(SIGTERM);
    auto begun = std::chrono::steady_clock::now();
    int served = 0;
    int refused = 0;
    auto count = [&](const std::string& status) {
        served += status == "200";
        refused += status == "503";
        CHECK(status == "200" || status == "503");
    };
    std::size_t used = 0;
    while (std::chrono::steady_clock::now() - begun < 4s) {
        count(statusInTwoPackets(*connect(), 0ms));
        count(statusInTwoPackets(*connect(), 30ms));
        auto idle = connect();
        std::this_thread::sleep_for(40ms);
        count(statusInTwoPackets(*idle, 1ms));
        bool isTurnOfKept = std::chrono::steady_clock::now() - begun > (2500ms + 100ms * used);
        if (isTurnOfKept && used < kept.size())
            count(statusInTwoPackets(*kept[used++], 1ms));
    }
    LONGS_EQUAL(kept.size(), used);
    CHECK(served > 10);
    CHECK(refused > 10);
    mayEnd = true;
    std::string answer = stream->readAnswer();
    STRCMP_CONTAINS("id: 2\n", answer.c_str());
    STRCMP_CONTAINS("\r\n0\r\n\r\n", answer.c_str());
}
