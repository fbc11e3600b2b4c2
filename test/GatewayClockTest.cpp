/// Tests the gateway while its time of day jumps by seconds, ahead and back: no deadline, pause, quota or age may rest on it.

#include "test/Running.h"
#include "test/RunningGateway.h"
#include "test/fakes/edge/StoreFake.h"
#include "test/fakes/edge/TargetFake.h"
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

TEST_GROUP(GatewayClock)
{
    SteppedClock clock;
    std::unique_ptr<fakes::StoreFake> store;
    std::unique_ptr<RunningGateway> gateway;
    std::vector<std::unique_ptr<TargetFake>> targets;
    int lastRequest { 0 };

    void setup() override { store = std::make_unique<fakes::StoreFake>(); }

    void teardown() override
    {
        bool haveTargetsEnded = targets.empty();
        gateway.reset();
        targets.clear();
        store.reset();
        CHECK_TEXT(haveTargetsEnded, "the test's body returned before its targets' threads ended; hold what start() returns");
    }

    void putEntry(const std::string& state, int sequence)
    {
        store->put("servers", "t" + std::to_string(targets.size()),
            R"({"service":"lm","addr":"127.0.0.1:)" + std::to_string(targets.back()->port()) + R"(","zone":"a","version":"v1","slots":8,"state":")" + state
                + R"(","coldLeftMs":0,"seq":)" + std::to_string(sequence) + R"(,"born":1700000000000})");
    }

    Running start(TargetFake::Handler handler)
    {
        targets.push_back(std::make_unique<TargetFake>(std::move(handler)));
        putEntry("ready", 1);
        store->put("op", "config", documentOfVersion(1));
        gateway = std::make_unique<RunningGateway>(store->port(), RunningGatewayOptions { .clock = &clock });
        CHECK(eventually([&] { return gateway->readiness() == 200; }));
        return Running([this] {
            gateway.reset();
            targets.clear();
        });
    }

    std::string call(const std::string& path, int deadlineMilliseconds, const std::string& key = "k1")
    {
        RawConnection connection(gateway->callerPort());
        connection.send("GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r" + std::to_string(++lastRequest) + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMilliseconds)
            + "\r\nAuthorization: Token " + key + "\r\n\r\n");
        return connection.readAnswer();
    }

    static double retryAfterOf(const std::string& answer)
    {
        std::size_t at = answer.find("Retry-After: ");
        return at == std::string::npos ? -1 : std::atof(answer.c_str() + at + 13);
    }
};

TEST(GatewayClock, aDeadlineHoldsWhileTheTimeOfDayJumps)
{
    auto running = start([](TargetCall& request) {
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
    auto running = start([this](TargetCall& request) {
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
    auto running = start([](TargetCall& request) { request.answer(200, "done"); });
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
    auto running = start([](TargetCall& request) { request.answer(200, "done"); });
    STRCMP_EQUAL("200", statusOf(call("/read/x", 1000)).c_str());
    putEntry("draining", 2);
    std::this_thread::sleep_for(1s);
    int before = targets[0]->calls();
    for (int i = 0; i < 10; ++i)
        call("/read/x", 100);
    LONGS_EQUAL(before, targets[0]->calls());
}
