/// Tests that an instance that is stopped in order ends after its callers have their answers, and not before.

#include "test/SlowPeers.h"
#include "test/process/GatewayProcess.h"
#include <algorithm>
#include <csignal>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;
using fakes::TargetCall;

TEST_GROUP(PlannedStop)
{
    static constexpr std::size_t callers = 8;
    static constexpr int events = 120;
    static constexpr std::size_t eventBytes = 300;
    static constexpr int receiveBufferBytes = 16384;
    /// Longer than an instance accepts requests after SIGTERM, and than the kernel was allowed to wait for a closed window.
    static constexpr auto pause = 3600ms;

    static void serve(TargetCall & call)
    {
        call.beginEvents();
        for (int i = 1; i <= events; ++i)
            call.chunk("id: " + std::to_string(i) + "\ndata: " + std::string(eventBytes, 'x') + "\n\n");
        call.endEvents();
    }

    static bool isWhole(const SlowCaller& caller) { return caller.answer().ends_with("\r\n0\r\n\r\n"); }
};

// Answers to callers that read slowly were reset during a planned stop (review/8).
TEST(PlannedStop, theProcessEndsOnceCallersThatReadSlowlyHaveTheirAnswers)
{
    GatewayProcess gateway({}, serve);
    CHECK_TRUE(gateway.isReady());
    std::vector<std::unique_ptr<SlowCaller>> slow;
    for (std::size_t i = 0; i < callers; ++i) {
        slow.push_back(std::make_unique<SlowCaller>(gateway.callerPort(), receiveBufferBytes));
        slow.back()->send("POST /draft/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r" + std::to_string(i) + "\r\nX-Deadline-Ms: 12000\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n");
    }
    std::this_thread::sleep_for(300ms);
    gateway.sendSignal(SIGTERM);
    std::this_thread::sleep_for(pause);
    CHECK_TRUE(gateway.isRunning());
    bool areWhole = eventually(4s, [&] {
        for (const std::unique_ptr<SlowCaller>& caller : slow)
            caller->readArrived();
        return std::all_of(slow.begin(), slow.end(), [](const auto& caller) { return isWhole(*caller); });
    });
    CHECK_TRUE(areWhole);
    CHECK_TRUE(eventually(2s, [&] { return !gateway.isRunning(); }));
}
