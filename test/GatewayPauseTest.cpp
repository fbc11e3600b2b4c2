/// Tests the whole gateway with fakes of targets that turn requests away and say for how long they want none.

#include "test/GatewayFixture.h"
#include <atomic>
#include <mutex>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;
using fakes::TargetCall;
using fakes::TargetFake;

namespace {

using TestClock = std::chrono::steady_clock;

constexpr const char* notRun = "X-Not-Run: 1\r\n";
constexpr auto turnBackTime = 500ms; ///< The users allow two requests in a pause after this time.

std::string retryAfter(const std::string& value) { return "Retry-After: " + value + "\r\n"; }

} // namespace

TEST_GROUP_BASE(GatewayPause, GatewayFixture)
{
    std::atomic<int> lastRequest { 0 };

    /// A target whose first answer has these fields; it serves all later requests.
    void addTargetWithFirstAnswer(int status, const std::string& fields)
    {
        std::size_t index = targets.size();
        addTarget([this, index, status, fields](TargetCall& request) {
            if (targets[index]->calls() == 1)
                request.answer(status, "", fields);
            else
                request.answer(200, "done");
        });
    }

    std::string requestText(const std::string& path)
    {
        return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r" + std::to_string(++lastRequest) + "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Token k1\r\n\r\n";
    }

    std::string call(const std::string& path)
    {
        return answerTo(requestText(path));
    }

    std::string statusOfCall(const std::string& path) { return statusOf(call(path)); }
};

// Whether or not the answer says that the request has not run, and on all kinds of routes.
TEST(GatewayPause, aTargetGetsNothingUntilTheEndOfTheTimeThatItStates)
{
    const std::vector<std::pair<std::string, std::string>> cases { { "/pay/x", notRun }, { "/pay/x", "" }, { "/draft/x", notRun }, { "/read/x", "" } };
    for (const auto& [path, fields] : cases) {
        setup(); // A store without the entries of the last case.
        addTargetWithFirstAnswer(503, fields + retryAfter("2.5"));
        auto running = start();
        auto pausedAt = TestClock::now();
        STRCMP_EQUAL("503", statusOfCall(path).c_str());
        while (TestClock::now() < pausedAt + 1s) {
            STRCMP_EQUAL("503", statusOfCall("/pay/x").c_str());
            std::this_thread::sleep_for(50ms);
        }
        std::this_thread::sleep_until(pausedAt + 2s);
        LONGS_EQUAL(1, targets[0]->calls());
        CHECK(eventually([&] { return metricsText().find("limpetpond_paused_targets 1\n") != std::string::npos; }));
        STRCMP_CONTAINS("limpetpond_target_pauses_total 1\n", metricsText().c_str());
        CHECK(eventually([&] { return statusOfCall("/read/x") == "200"; }));
        CHECK(TestClock::now() - pausedAt >= 2500ms);
    }
}

TEST(GatewayPause, requestsGoToOtherTargetsMeanwhile)
{
    addTargetWithFirstAnswer(503, notRun + retryAfter("60"));
    auto running = start();
    STRCMP_EQUAL("503", statusOfCall("/pay/x").c_str());
    addLaterTarget([](TargetCall& request) { request.answer(200, "done"); });
    CHECK(eventually([&] { return statusOfCall("/pay/x") == "200"; }));
    for (int i = 0; i < 10; ++i)
        STRCMP_EQUAL("200", statusOfCall("/pay/x").c_str());
    LONGS_EQUAL(1, targets[0]->calls());
}

TEST(GatewayPause, aRequestThatWasTurnedAwayIsRetriedAtAnotherTarget)
{
    for (int i = 0; i < 2; ++i)
        addTargetWithFirstAnswer(503, notRun + retryAfter("60"));
    addTarget([](TargetCall& request) { request.answer(200, "done"); });
    auto running = start();
    int served = 0;
    for (int i = 0; i < 10; ++i)
        served += statusOfCall("/pay/x") == "200";
    CHECK(served >= 9); // The route allows two targets for each request.
    CHECK(targets[0]->calls() <= 1);
    CHECK(targets[1]->calls() <= 1);
}

// Answers of requests that were sent before the pause arrive in it.
TEST(GatewayPause, aLaterAnswerLengthensThePauseButNoneShortensIt)
{
    std::atomic<int> sent { 0 };
    std::atomic<TestClock::time_point> fifthAt { TestClock::time_point {} };
    addTarget([&](TargetCall& request) {
        switch (++sent) {
        case 1:
            std::this_thread::sleep_for(200ms);
            request.answer(503, "", notRun + retryAfter("1.2"));
            return;
        case 2:
            std::this_thread::sleep_for(400ms);
            request.answer(503, "", notRun + retryAfter("2"));
            return;
        case 3:
            std::this_thread::sleep_for(500ms);
            request.answer(503, "", notRun + retryAfter("0.1"));
            return;
        case 4:
            std::this_thread::sleep_for(600ms);
            request.answer(200, "done");
            return;
        case 5:
            fifthAt = TestClock::now();
            [[fallthrough]];
        default:
            request.answer(200, "done");
        }
    });
    auto running = start();
    auto startedAt = TestClock::now();
    std::vector<std::unique_ptr<RawConnection>> connections;
    for (int i = 0; i < 4; ++i) {
        connections.push_back(std::make_unique<RawConnection>(gateway->callerPort()));
        connections.back()->send(requestText("/pay/x"));
    }
    CHECK(eventually([&] { return targets[0]->calls() == 4; }));
    for (const auto& connection : connections)
        connection->readAnswer();
    CHECK(eventually([&] { return statusOfCall("/pay/x") == "200"; }));
    CHECK(fifthAt.load() >= startedAt + 2400ms);
}

TEST(GatewayPause, onlyANewIncarnationEndsThePauseEarly)
{
    addTargetWithFirstAnswer(503, notRun + retryAfter("60"));
    auto running = start();
    STRCMP_EQUAL("503", statusOfCall("/pay/x").c_str());
    store->drop("servers", "t1");
    std::this_thread::sleep_for(200ms);
    putRow(0, { .sequence = 2 });
    std::this_thread::sleep_for(200ms);
    STRCMP_EQUAL("503", statusOfCall("/pay/x").c_str());
    LONGS_EQUAL(1, targets[0]->calls());
    putRow(0, { .startedAt = TargetRowOptions().startedAt + 1 });
    CHECK(eventually([&] { return statusOfCall("/pay/x") == "200"; }));
}

TEST(GatewayPause, otherStatusesAndValuesWithoutANumberPauseNothing)
{
    const std::vector<std::pair<int, std::string>> answers { { 429, notRun + retryAfter("60") }, { 500, retryAfter("60") }, { 200, retryAfter("60") },
        { 503, notRun + retryAfter("-5") }, { 503, notRun + retryAfter("0") }, { 503, notRun + retryAfter("Fri, 31 Dec 2027 23:59:59 GMT") }, { 503, notRun + retryAfter("60s") },
        { 503, notRun + retryAfter("") }, { 503, notRun + retryAfter("1e9") }, { 503, notRun + retryAfter("nan") } };
    addTarget([&](TargetCall& request) {
        // The first request and every second one after it get one of the answers.
        std::size_t number = std::stoul(request.field("X-Request-Id").substr(1)) - 1;
        request.answer(number % 2 ? 200 : answers[number / 2].first, "", number % 2 ? "" : answers[number / 2].second);
    });
    auto running = start();
    for (std::size_t i = 0; i < answers.size(); ++i) {
        call("/pay/x");
        auto sentAt = TestClock::now();
        STRCMP_EQUAL("200", statusOfCall("/pay/x").c_str());
        CHECK(TestClock::now() - sentAt < turnBackTime);
    }
}

TEST(GatewayPause, answersOfOthersPauseNothing)
{
    std::atomic<int> sent { 0 };
    addTarget([&](TargetCall& request) {
        if (++sent == 1) // The answer belongs to another request.
            request.write("HTTP/1.1 503 X\r\nX-Request-Id: other\r\n" + (notRun + retryAfter("60")) + "Content-Length: 0\r\n\r\n");
        request.answer(200, "done");
    });
    auto running = start();
    for (int i = 0; i < 3; ++i)
        STRCMP_EQUAL("200", statusOfCall("/pay/x").c_str());
}

TEST(GatewayPause, aRequestWaitsForTheEndOfAShortPauseOfAllTargets)
{
    addTargetWithFirstAnswer(503, notRun + retryAfter("0.6"));
    auto running = start();
    auto pausedAt = TestClock::now();
    call("/pay/x");
    STRCMP_EQUAL("200", statusOfCall("/pay/x").c_str());
    CHECK(TestClock::now() - pausedAt >= 600ms);
}

// The caller learns at once that its request has not run and when to return, which the target's answer doesn't decide.
TEST(GatewayPause, aRequestIsRefusedAtOnceInALongPauseOfAllTargets)
{
    addTargetWithFirstAnswer(503, notRun + retryAfter("20"));
    auto running = start();
    call("/pay/x");
    auto sentAt = TestClock::now();
    std::string answer = call("/pay/x");
    CHECK(TestClock::now() - sentAt < 300ms);
    STRCMP_EQUAL("503", statusOf(answer).c_str());
    STRCMP_CONTAINS("Limpetpond-Reason: targets_paused\r\n", answer.c_str());
    CHECK(retryAfterOf(answer) > 18);
    CHECK(retryAfterOf(answer) <= 30);
}

TEST(GatewayPause, requestsThatWaitAreRefusedOnceAllTargetsArePausedForLonger)
{
    std::atomic<bool> mayEnd { false };
    std::atomic<int> sent { 0 };
    addTarget([&](TargetCall& request) {
        bool isFirst = ++sent == 1;
        eventually([&] { return mayEnd.load(); });
        if (isFirst) {
            request.answer(503, "", notRun + retryAfter("20"));
            return;
        }
        std::this_thread::sleep_for(200ms); // So that no slot is free before the pause.
        request.answer(200, "done");
    });
    auto running = start();
    std::vector<std::unique_ptr<RawConnection>> connections;
    for (int i = 0; i < 6; ++i) {
        connections.push_back(std::make_unique<RawConnection>(gateway->callerPort()));
        connections.back()->send(requestText("/read/x"));
    }
    CHECK(eventually([&] { return targets[0]->calls() == 4; }));
    mayEnd = true;
    auto endedAt = TestClock::now();
    std::vector<std::string> statuses;
    statuses.reserve(connections.size());
    for (const auto& connection : connections)
        statuses.push_back(statusOf(connection->readAnswer()));
    CHECK(TestClock::now() - endedAt < 800ms);
    LONGS_EQUAL(3, std::count(statuses.begin(), statuses.end(), "200"));
    LONGS_EQUAL(3, std::count(statuses.begin(), statuses.end(), "503"));
}

// A stream of which the caller has a part is neither sent into the pause nor cut, since the pause ends in time.
TEST(GatewayPause, aBrokenStreamIsResumedAfterTheEndOfThePause)
{
    std::atomic<bool> mayBreak { false };
    std::mutex mutex;
    std::vector<TestClock::time_point> arrivals;
    std::atomic<int> payments { 0 };
    addTarget([&](TargetCall& request) {
        {
            std::lock_guard lock(mutex);
            arrivals.push_back(TestClock::now());
        }
        if (request.head().find("/pay/") != std::string::npos) {
            bool isFirst = ++payments == 1;
            request.answer(isFirst ? 503 : 200, "", isFirst ? notRun + retryAfter("1.2") : "");
            return;
        }
        request.beginEvents();
        if (!request.field("Last-Event-Id").empty()) {
            request.chunk("id: 2\ndata: b\n\n");
            request.endEvents();
            return;
        }
        request.chunk("id: 1\ndata: a\n\n");
        eventually([&] { return mayBreak.load(); });
        request.closeConnection();
    });
    auto running = start();
    RawConnection stream(gateway->callerPort());
    stream.send(requestText("/draft/x"));
    CHECK(stream.readUntil("data: a\n\n").ends_with("data: a\n\n"));
    RawConnection payment(gateway->callerPort());
    payment.send(requestText("/pay/x"));
    CHECK(eventually([&] { return payments == 1; }));
    std::this_thread::sleep_for(100ms);
    mayBreak = true;
    CHECK(stream.readUntil("0\r\n\r\n").ends_with("0\r\n\r\n"));
    STRCMP_EQUAL("200", statusOf(payment.readAnswer()).c_str());
    LONGS_EQUAL(4, arrivals.size());
    CHECK(arrivals[2] - arrivals[1] >= 1200ms);
}
