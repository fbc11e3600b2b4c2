/// Tests how the gateway treats sound targets that fall silent for a second or so and go on.

#include "test/GatewayFixture.h"
#include <atomic>
#include <regex>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;
using fakes::TargetCall;
using fakes::TargetFake;

namespace {

constexpr auto silence = 1500ms; ///< Longer than an attempt may go without progress: 1000 ms between events, 400 ms without an answer.

void refuse(TargetCall& request) { request.answer(503, "", "X-Not-Run: 1\r\n"); }

void beginSilentStream(TargetCall& request)
{
    request.beginEvents();
    request.chunk("id: 1\ndata: a\n\n");
    std::this_thread::sleep_for(silence);
}

void endStream(TargetCall& request)
{
    request.chunk("id: 2\ndata: b\n\n");
    request.endEvents();
}

} // namespace

TEST_GROUP_BASE(GatewaySilence, GatewayFixture)
{
    std::atomic<int> calls { 0 }; ///< Of all targets.

    /// The handler gets the number of the call, counted over all targets from 1.
    Running startWith(int targetCount, const std::function<void(TargetCall&, int)>& handler, int slots = 4)
    {
        for (int i = 0; i < targetCount; ++i)
            addTarget([this, handler](TargetCall& request) { handler(request, ++calls); }, { .slots = slots });
        // No timeout or deadline may end a request here, also on a busy machine.
        return start({}, std::regex_replace(documentOfVersion(1), std::regex(R"("timeoutMs":\d+)"), R"("timeoutMs":20000)"));
    }

    std::string call(const std::string& path)
    {
        return answerTo("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 20000\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n");
    }

    void checkIsWholeStream(const std::string& answer)
    {
        STRCMP_EQUAL("200", statusOf(answer).c_str());
        STRCMP_CONTAINS("id: 1\ndata: a\n\n", answer.c_str());
        STRCMP_CONTAINS("id: 2\ndata: b\n\n", answer.c_str());
        CHECK(answer.ends_with("0\r\n\r\n"));
    }
};

TEST(GatewaySilence, aStreamIsNotCutWhereItsOnlyTargetIsSilent)
{
    auto running = startWith(1, [](TargetCall& request, int number) {
        if (number > 1) {
            refuse(request);
            return;
        }
        beginSilentStream(request);
        endStream(request);
    });
    checkIsWholeStream(call("/draft/x"));
    LONGS_EQUAL(1, calls);
}

TEST(GatewaySilence, aStreamIsNotCutWhereTheNextTargetRefusesToContinueIt)
{
    auto running = startWith(2, [](TargetCall& request, int number) {
        if (number == 1) {
            beginSilentStream(request);
            endStream(request);
        } else if (number == 2) {
            refuse(request);
        } else {
            request.beginEvents();
            endStream(request);
        }
    });
    checkIsWholeStream(call("/draft/x"));
}

TEST(GatewaySilence, anIdempotentRequestWaitsForItsOnlyTarget)
{
    auto running = startWith(1, [](TargetCall& request, int number) {
        if (number > 1) {
            refuse(request);
            return;
        }
        std::this_thread::sleep_for(silence);
        request.answer(200, "done");
    });
    STRCMP_EQUAL("200", statusOf(call("/read/x")).c_str());
    LONGS_EQUAL(1, calls);
}

TEST(GatewaySilence, anIdempotentRequestReturnsToItsTargetWhereTheNextOneRefusesIt)
{
    auto running = startWith(2, [](TargetCall& request, int number) {
        if (number == 1)
            std::this_thread::sleep_for(silence);
        if (number == 2)
            refuse(request);
        else
            request.answer(200, "done");
    });
    STRCMP_EQUAL("200", statusOf(call("/read/x")).c_str());
}

TEST(GatewaySilence, requestsAreSentWhileManyStalledOnesWaitForAnotherTarget)
{
    constexpr int stalledStreams = 10;
    std::atomic<bool> isSilent { true };
    auto running = startWith(
        1,
        [&](TargetCall& request, int number) {
            if (number > stalledStreams) {
                request.answer(200, "done");
                return;
            }
            request.beginEvents();
            request.chunk("id: 1\ndata: a\n\n");
            while (isSilent)
                std::this_thread::sleep_for(5ms);
            endStream(request);
        },
        2 * stalledStreams);
    std::vector<std::thread> callers;
    callers.reserve(stalledStreams);
    for (int i = 0; i < stalledStreams; ++i)
        callers.emplace_back([this] { checkIsWholeStream(call("/draft/x")); });
    CHECK(eventually([&] { return calls == stalledStreams; }));
    std::this_thread::sleep_for(silence);
    std::string answer = call("/read/x");
    isSilent = false;
    for (std::thread& caller : callers)
        caller.join();
    STRCMP_EQUAL("200", statusOf(answer).c_str());
}

TEST(GatewaySilence, aSilentStreamIsNotCutWhereAllTargetsPause)
{
    std::atomic<bool> isSilent { true };
    auto running = startWith(1, [&](TargetCall& request, int number) {
        if (number > 1) {
            request.answer(503, "", "X-Not-Run: 1\r\nRetry-After: 20\r\n");
            return;
        }
        request.beginEvents();
        request.chunk("id: 1\ndata: a\n\n");
        while (isSilent)
            std::this_thread::sleep_for(5ms);
        endStream(request);
    });
    std::thread caller([this] { checkIsWholeStream(call("/draft/x")); });
    CHECK(eventually([&] { return calls == 1; }));
    STRCMP_EQUAL("503", statusOf(call("/pay/x")).c_str());
    std::this_thread::sleep_for(silence);
    isSilent = false;
    caller.join();
}

TEST(GatewaySilence, aTargetIsNotStalledWhileItsCallerReadsSlowly)
{
    constexpr int events = 1000;
    auto running = startWith(2, [&](TargetCall& request, int) {
        request.beginEvents();
        for (int i = 1; i <= events; ++i)
            request.chunk("id: " + std::to_string(i) + "\ndata: " + std::string(16384, 'x') + "\n\n");
        request.endEvents();
    });
    RawConnection connection(gateway->callerPort());
    connection.send("POST /draft/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 20000\r\nAuthorization: Token k1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    std::this_thread::sleep_for(silence);
    CHECK(connection.isClosed());
    LONGS_EQUAL(1, calls);
}
