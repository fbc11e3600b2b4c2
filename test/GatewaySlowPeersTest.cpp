/// Tests that callers and targets that read slowly keep their connections, and that those that are gone don't.

#include "test/GatewayFixture.h"
#include "test/SlowPeers.h"
#include <algorithm>
#include <csignal>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;
using fakes::TargetCall;

TEST_GROUP_BASE(GatewaySlowPeers, GatewayFixture)
{
    static constexpr int smallBufferBytes = 4096;
    static constexpr std::size_t largeBytes = 400'000;
    static constexpr int smallEvents = 120;
    static constexpr std::size_t smallEventBytes = 300;
    static constexpr std::size_t largeEventBytes = 10'000;
    /// Longer than the timeout for unacknowledged bytes that used to end such connections.
    static constexpr auto pause = 2600ms;
    static constexpr int pauses = 2;

    using Callers = std::vector<std::unique_ptr<SlowCaller>>;
    int lastRequest { 0 };

    /// Answers /pay/ with a large body, /draft/ with small and /sum/ with large events, each at once.
    static void serve(TargetCall & request)
    {
        if (request.head().find("/pay/") != std::string::npos) {
            request.answer(200, std::string(largeBytes, 'x'));
            return;
        }
        bool isLarge = request.head().find("/sum/") != std::string::npos;
        std::size_t eventBytes = isLarge ? largeEventBytes : smallEventBytes;
        int events = isLarge ? static_cast<int>(largeBytes / largeEventBytes) : smallEvents;
        request.beginEvents();
        for (int i = 1; i <= events; ++i)
            request.chunk("id: " + std::to_string(i) + "\ndata: " + std::string(eventBytes, 'x') + "\n\n");
        request.endEvents();
    }

    Running startWithTarget(const RunningGatewayOptions& options = {})
    {
        addTarget(serve, { .slots = 50 });
        return start(options, documentWithLongTimeouts());
    }

    std::string requestText(const std::string& path, int deadlineMilliseconds, const std::string& body = "")
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r" + std::to_string(++lastRequest) + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMilliseconds)
            + "\r\nAuthorization: Token k1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /// Callers of a stream of small events with a small receive buffer, of one of large events, and of a large whole answer.
    Callers callersThatReadSlowly()
    {
        Callers callers;
        callers.push_back(std::make_unique<SlowCaller>(gateway->callerPort(), smallBufferBytes));
        callers.back()->send(requestText("/draft/x", 20000));
        for (const char* path : { "/sum/x", "/pay/x" }) {
            callers.push_back(std::make_unique<SlowCaller>(gateway->callerPort()));
            callers.back()->send(requestText(path, 20000));
        }
        return callers;
    }

    /// Time until the condition holds, at most 20 s.
    template <typename Condition>
    static std::chrono::milliseconds timeUntil(Condition condition)
    {
        auto begin = std::chrono::steady_clock::now();
        auto elapsed = [begin] { return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin); };
        while (elapsed() < 20s && !condition())
            std::this_thread::sleep_for(10ms);
        return elapsed();
    }

    static bool isWhole(const std::string& answer)
    {
        bool isStream = answer.find("text/event-stream") != std::string::npos;
        return isStream ? answer.ends_with("\r\n0\r\n\r\n") : answer.size() > largeBytes;
    }

    static bool isDone(const std::unique_ptr<SlowCaller>& caller) { return isWhole(caller->answer()) || caller->hasEnded(); }

    /// Lets the callers read twice after a pause and then all that comes, and checks that their answers are whole. The kernel
    /// may take seconds to go on with a caller whose small buffer was full.
    static void readSlowly(const Callers& callers)
    {
        for (int spell = 0; spell < pauses; ++spell) {
            std::this_thread::sleep_for(pause);
            for (const std::unique_ptr<SlowCaller>& caller : callers)
                caller->readArrived();
        }
        timeUntil([&] {
            for (const std::unique_ptr<SlowCaller>& caller : callers)
                caller->readArrived();
            return std::all_of(callers.begin(), callers.end(), isDone);
        });
        for (const std::unique_ptr<SlowCaller>& caller : callers) {
            bool isCut = caller->hasEnded() && !isWhole(caller->answer());
            CHECK_FALSE_TEXT(isCut, ("cut after " + std::to_string(caller->answer().size()) + " bytes").c_str());
            CHECK_TRUE_TEXT(isWhole(caller->answer()), ("too slow: " + std::to_string(caller->answer().size()) + " bytes").c_str());
        }
    }

    double metricValue(const std::string& name)
    {
        std::string metrics = metricsText();
        std::size_t at = metrics.find("\n" + name + " ");
        return at == std::string::npos ? -1 : std::atof(metrics.c_str() + metrics.find(' ', at));
    }

    void putSlowTarget(const SlowTarget& target)
    {
        store->put("servers", "slow",
            R"({"service":"lm","addr":"127.0.0.1:)" + std::to_string(target.port())
                + R"(","zone":"a","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"seq":1,"born":1700000000000})");
    }
};

// Answers to callers that read every few seconds were reset after two seconds, as the kernel counts a closed receive window as silence.
TEST(GatewaySlowPeers, callersThatReadSlowlyGetTheirWholeAnswers)
{
    auto running = startWithTarget();
    readSlowly(callersThatReadSlowly());
    DOUBLES_EQUAL(0, metricValue("limpetpond_lost_answers_total"), 0);
}

// The same during a planned stop (review/8): the instance must not end before the answers are taken either.
TEST(GatewaySlowPeers, callersThatReadSlowlyGetTheirWholeAnswersDuringAPlannedStop)
{
    auto running = startWithTarget({ .shutdownGrace = 20'000ms });
    Callers callers = callersThatReadSlowly();
    std::this_thread::sleep_for(300ms);
    std::raise(SIGTERM);
    readSlowly(callers);
}

// A target that paused while it took a large body lost its connection, and the caller got 502.
TEST(GatewaySlowPeers, aTargetThatTakesABodySlowlyKeepsItsConnection)
{
    SlowTarget target({ .bytesBetweenPauses = 100'000, .pause = pause, .pauses = 2 });
    putSlowTarget(target);
    auto running = start({}, documentWithLongTimeouts());
    RawConnection caller(gateway->callerPort());
    caller.send(requestText("/pay/x", 20000, std::string(largeBytes, 'b')));
    CHECK(timeUntil([&] { return target.bodyBytes() == largeBytes; }) < 15s);
    STRCMP_EQUAL("200", statusOf(caller.readAnswer()).c_str());
}

// Without the kernel's timeout such a caller would hold its answer and its connection for as long as it likes.
TEST(GatewaySlowPeers, aCallerThatNeverReadsIsCutAtItsDeadline)
{
    auto running = startWithTarget();
    SlowCaller whole(gateway->callerPort(), smallBufferBytes);
    SlowCaller stream(gateway->callerPort(), smallBufferBytes);
    whole.send(requestText("/pay/x", 5000));
    stream.send(requestText("/sum/x", 5000));
    auto time = timeUntil([&] { return whole.isClosedByPeer() && stream.isClosedByPeer(); });
    CHECK(time >= 4900ms);
    CHECK(time < 7s);
    CHECK(eventually([&] { return metricValue("limpetpond_caller_connections") == 0; }));
    DOUBLES_EQUAL(2, metricValue("limpetpond_lost_answers_total"), 0);
}

// Machines that are cut off acknowledge nothing; their connections must not last until the deadlines of their requests.
TEST(GatewaySlowPeers, aCallerThatAcknowledgesNothingIsNoticed)
{
    auto running = startWithTarget();
    SlowCaller caller(gateway->callerPort());
    caller.send(requestText("/pay/x", 20000));
    caller.cutOff();
    CHECK(eventually([&] { return metricValue("limpetpond_caller_connections") == 1; }));
    auto time = timeUntil([&] { return metricValue("limpetpond_caller_connections") == 0; });
    CHECK(time < 4s);
}

TEST(GatewaySlowPeers, aTargetThatAcknowledgesNothingIsNoticed)
{
    SlowTarget target({ .isCutOff = true });
    putSlowTarget(target);
    auto running = start({}, documentWithLongTimeouts());
    RawConnection caller(gateway->callerPort());
    caller.send(requestText("/pay/x", 20000, std::string(largeBytes, 'b')));
    std::string status;
    auto time = timeUntil([&] { return !(status = statusOf(caller.readAnswer())).empty(); });
    STRCMP_EQUAL("502", status.c_str());
    CHECK(time < 4s);
}
