/// Tests the gateway while its time of day jumps by seconds, ahead and back: no deadline, pause, quota or age may rest on it.

#include "test/GatewayFixture.h"
#include <array>
#include <atomic>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;
using fakes::TargetCall;
using fakes::TargetFake;

namespace {

/// The time of day is right, 5 s ahead and 5 s back in turns; the steady clock runs as ever.
class SteppedClock final : public Clock {
public:
    SteadyTime steadyNow() const override { return m_clock.steadyNow(); }

    SystemTime systemNow() const override
    {
        constexpr std::array<std::chrono::seconds, 3> steps { 0s, 5s, -5s };
        constexpr Duration timeBetweenSteps = 70ms;
        auto step = static_cast<std::size_t>(m_clock.steadyNow().time_since_epoch() / timeBetweenSteps) % steps.size();
        return m_clock.systemNow() + steps[step];
    }

private:
    BootTimeClock m_clock;
};

using TestClock = std::chrono::steady_clock;

} // namespace

TEST_GROUP_BASE(GatewayClock, GatewayFixture)
{
    SteppedClock clock;
    int lastRequest { 0 };

    Running startWith(TargetFake::Handler handler)
    {
        addTarget(std::move(handler));
        return start({ .clock = &clock });
    }

    std::string call(const std::string& path, int deadlineMilliseconds, const std::string& key = "k1")
    {
        return answerTo("GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r" + std::to_string(++lastRequest) + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMilliseconds)
            + "\r\nAuthorization: Token " + key + "\r\n\r\n");
    }
};

TEST(GatewayClock, aDeadlineHoldsWhileTheTimeOfDayJumps)
{
    auto running = startWith([](TargetCall& request) {
        while (!request.waitForClose(20)) { }
    });
    for (int i = 0; i < 3; ++i) {
        auto sentAt = TestClock::now();
        STRCMP_EQUAL("504", statusOf(call("/read/x", 500)).c_str());
        CHECK(TestClock::now() - sentAt >= 400ms);
        CHECK(TestClock::now() - sentAt < 1s);
    }
}

TEST(GatewayClock, aPauseThatATargetWantsHoldsWhileTheTimeOfDayJumps)
{
    auto running = startWith([this](TargetCall& request) {
        if (targets[0]->calls() == 1)
            request.answer(503, "", "X-Not-Run: 1\r\nRetry-After: 1.2\r\n");
        else
            request.answer(200, "done");
    });
    auto begun = TestClock::now();
    std::string status = statusOf(call("/read/x", 300));
    STRCMP_EQUAL("503", status.c_str());
    while (TestClock::now() - begun < 1s) {
        call("/read/x", 100);
        LONGS_EQUAL(1, targets[0]->calls());
    }
    std::this_thread::sleep_for(300ms);
    STRCMP_EQUAL("200", statusOf(call("/read/x", 1000)).c_str());
}

TEST(GatewayClock, aQuotaHoldsWhileTheTimeOfDayJumps)
{
    auto running = startWith([](TargetCall& request) { request.answer(200, "done"); });
    int served = 0;
    auto begun = TestClock::now();
    while (TestClock::now() - begun < 3s) {
        std::string answer = call("/read/x", 1000, "k2");
        if (statusOf(answer) == "200") {
            ++served;
            continue;
        }
        STRCMP_EQUAL("429", statusOf(answer).c_str());
        CHECK(retryAfterOf(answer) > 0);
        CHECK(retryAfterOf(answer) <= 1.5);
        std::this_thread::sleep_for(20ms);
    }
    // One a second and two at once.
    CHECK(served >= 3);
    CHECK(served <= 5);
}

TEST(GatewayClock, aTargetThatLeavesGetsNothingWhileTheTimeOfDayJumps)
{
    auto running = startWith([](TargetCall& request) { request.answer(200, "done"); });
    STRCMP_EQUAL("200", statusOf(call("/read/x", 1000)).c_str());
    putRow(0, { .state = "draining", .sequence = 2 });
    std::this_thread::sleep_for(1s);
    int before = targets[0]->calls();
    for (int i = 0; i < 10; ++i)
        call("/read/x", 100);
    LONGS_EQUAL(before, targets[0]->calls());
}
