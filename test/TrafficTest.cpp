#include "daemon/Traffic.h"
#include "base/Hash.h"
#include "caller/CallerApi.h"
#include "test/RawConnection.h"
#include "test/Running.h"
#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TargetId engineTarget { "engine-1" };
const TargetId serviceTarget { "fees-1" };

std::shared_ptr<const Settings> makeSettings()
{
    auto settings = std::make_shared<Settings>();
    settings->version = SettingsVersion { 1 };
    settings->accounts[ClientAccountId { "acme" }] = { .id = ClientAccountId { "acme" }, .tier = TierLevel { 2 }, .keyHashes = { sha256Hex("key-1") } };
    settings->pools[PoolId { "drafts" }] = { .id = PoolId { "drafts" }, .models = { ModelId { "small" } }, .targets = { engineTarget } };
    settings->pools[PoolId { "fees" }] = { .id = PoolId { "fees" }, .kind = TargetKind::PlainService, .service = "fees", .nonIdempotentMethods = { "POST" }, .targets = { serviceTarget } };
    settings->targets[engineTarget] = { .id = engineTarget, .pool = PoolId { "drafts" }, .host = "127.0.0.1", .port = 1 };
    settings->targets[serviceTarget] = { .id = serviceTarget, .pool = PoolId { "fees" }, .kind = TargetKind::PlainService, .host = "127.0.0.1", .port = 1 };
    return settings;
}

/// A decision core with scripted reactions. `events` is read under the lock or after the control thread has stopped.
struct ScriptedCore {
    std::mutex mutex;
    std::vector<std::string> events;
    std::vector<RequestArrived> arrivals;
    std::shared_ptr<const Settings> settings { makeSettings() };
    std::function<void(const RequestArrived&, SteadyTime, ControlActions&)> onArrival;
    std::function<void(const DispatchEnded&, ControlActions&)> onEnded;
    std::function<void(const CallerDisconnected&, ControlActions&)> onDisconnected;

    void handle(const ControlEvent& event, SteadyTime now, ControlActions& out)
    {
        std::lock_guard lock(mutex);
        if (const auto* arrival = std::get_if<RequestArrived>(&event)) {
            arrivals.push_back(*arrival);
            if (onArrival)
                onArrival(*arrival, now, out);
        } else if (const auto* ended = std::get_if<DispatchEnded>(&event)) {
            events.push_back("ended " + std::to_string(static_cast<int>(ended->end)));
            if (onEnded)
                onEnded(*ended, out);
        } else if (const auto* disconnected = std::get_if<CallerDisconnected>(&event)) {
            events.push_back("disconnected");
            if (onDisconnected)
                onDisconnected(*disconnected, out);
        } else if (std::holds_alternative<AnswerStarted>(event)) {
            events.push_back("started");
        }
    }

    bool hasEvent(const std::string& event)
    {
        std::lock_guard lock(mutex);
        return std::find(events.begin(), events.end(), event) != events.end();
    }

    bool waitForEvent(const std::string& event)
    {
        for (int i = 0; i < 500 && !hasEvent(event); ++i)
            std::this_thread::sleep_for(milliseconds(10));
        return hasEvent(event);
    }
};

EngineChunk chunkOf(const std::string& text)
{
    return { .data = R"({"id":"c","choices":[{"index":0,"delta":{"content":")" + text + R"("}}]})", .text = text };
}

} // namespace

TEST_GROUP(Traffic)
{
    SystemClock clock;
    Metrics metrics;
    Timeline timeline { {}, clock };
    ScriptedCore core;
    TargetCalls calls;
    std::atomic<int> dispatches { 0 };
    std::unique_ptr<ControlThread> control;
    std::unique_ptr<Traffic> traffic;
    std::unique_ptr<CallerServer> server;
    int port { 0 };
    bool hasEnded { false };
    TrafficOptions options { .instanceId = "i1", .maxOpenStreams = 8 };

    void setup() override
    {
        core.onArrival = [](const RequestArrived& arrival, SteadyTime now, ControlActions& out) {
            out.push_back(Dispatch { arrival.request, AttemptId { arrival.request.value() + "-a" }, arrival.pool == PoolId { "fees" } ? serviceTarget : engineTarget, now + seconds(5) });
        };
        core.onEnded = [](const DispatchEnded& ended, ControlActions& out) {
            bool isCompleted = ended.end == DispatchEnd::Completed || ended.end == DispatchEnd::TargetError;
            out.push_back(FinalAnswer { .request = ended.request, .outcome = isCompleted ? Outcome::Completed : Outcome::Unknown, .reason = isCompleted ? Reason::None : Reason::AnswerLost });
        };
        calls.engine = [this](const EngineAddress&, const EngineCall&, const EngineCallHandlers& handlers, CallStop&) {
            ++dispatches;
            handlers.started(std::nullopt);
            handlers.chunk(chunkOf("He"));
            handlers.chunk(chunkOf("llo"));
            return EngineCallEnd { .end = DispatchEnd::Completed, .answerForwarded = true };
        };
        calls.service = [this](const ServiceCall& call, CallStop&) {
            ++dispatches;
            return ServiceCallEnd { .end = DispatchEnd::Completed, .answer = HttpResponse { .status = 201, .headers = { { "Content-Type", "text/x" }, { "X-Path", call.request.path } }, .body = call.request.method + " " + call.request.body } };
        };
    }

    /// Handlers refer to variables that the test's body has declared so far.
    Running start()
    {
        ControlCore functions { .handle = [this](const ControlEvent& event, SteadyTime now, ControlActions& out) { core.handle(event, now, out); },
            .settings = [this] { return core.settings; },
            .isReady = [](SteadyTime) { return true; },
            .isDrained = [] { return true; },
            .status = [](SteadyTime) { return ControlStatus {}; } };
        control = std::make_unique<ControlThread>(
            ControlThreadOptions { .tickPeriod = milliseconds(5) }, functions, clock, [](const ControlAction&) {}, timeline, metrics);
        control->start();
        while (!control->view()->ready)
            std::this_thread::sleep_for(milliseconds(1));
        traffic = std::make_unique<Traffic>(options, *control, clock, metrics, timeline, calls);
        server = std::make_unique<CallerServer>(CallerServerOptions { .listen = { "127.0.0.1", 0 }, .maxConnections = 16 }, traffic->handler(), traffic->refusalHandler());
        port = *server->start();
        return Running([this] {
            server->stop();
            traffic.reset();
            control->stop();
            hasEnded = true;
        });
    }

    void teardown() override { CHECK_TEXT(hasEnded, "the test's body returned before its threads ended; hold what start() returns"); }

    static std::string request(const std::string& method, const std::string& path, const std::string& headers, const std::string& body)
    {
        return method + " " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static std::string chat(bool stream, const std::string& headers = "")
    {
        return request("POST", "/v1/chat/completions", headers, std::string(R"({"model":"small","messages":[{"role":"user","content":"hi"}],"stream":)") + (stream ? "true}" : "false}"));
    }

    std::string exchange(const std::string& text)
    {
        RawConnection connection(port);
        connection.send(text);
        return connection.readAnswer();
    }
};

TEST(Traffic, wholeChatIsAssembled)
{
    auto running = start();
    std::string answer = exchange(chat(false));
    STRCMP_CONTAINS("HTTP/1.1 200 ", answer.c_str());
    STRCMP_CONTAINS("Limpetpond-Outcome: completed", answer.c_str());
    STRCMP_CONTAINS("Limpetpond-Request-Id: i1-", answer.c_str());
    STRCMP_CONTAINS(R"("content":"Hello")", answer.c_str());
    CHECK(core.hasEvent("started"));
}

TEST(Traffic, streamForwardsChunksAndEndsWithDone)
{
    auto running = start();
    std::string answer = exchange(chat(true));
    STRCMP_CONTAINS("text/event-stream", answer.c_str());
    STRCMP_CONTAINS("data: {\"id\":\"c\"", answer.c_str());
    STRCMP_CONTAINS("outcome=completed", answer.c_str());
    STRCMP_CONTAINS("data: [DONE]\n\n", answer.c_str());
}

TEST(Traffic, usageChunkOfAStreamIsForwardedOnlyOnRequest)
{
    calls.engine = [](const EngineAddress&, const EngineCall&, const EngineCallHandlers& handlers, CallStop&) {
        handlers.chunk(chunkOf("x"));
        handlers.chunk({ .data = R"({"choices":[],"usage":{"prompt_tokens":1}})", .promptTokens = TokenCount { 1 } });
        return EngineCallEnd { .end = DispatchEnd::Completed };
    };
    auto running = start();
    CHECK(exchange(chat(true)).find("usage") == std::string::npos);
    STRCMP_CONTAINS("usage", exchange(chat(false)).c_str());
}

TEST(Traffic, brokenStreamEndsInAnErrorEventWithoutDone)
{
    calls.engine = [](const EngineAddress&, const EngineCall&, const EngineCallHandlers& handlers, CallStop&) {
        handlers.chunk(chunkOf("He"));
        return EngineCallEnd { .end = DispatchEnd::Lost, .answerForwarded = true };
    };
    auto running = start();
    std::string answer = exchange(chat(true));
    STRCMP_CONTAINS("event: error\ndata: {\"error\":", answer.c_str());
    STRCMP_CONTAINS("\"outcome\":\"unknown\"", answer.c_str());
    CHECK(answer.find("[DONE]") == std::string::npos);
}

TEST(Traffic, shedRequestGetsItsStatusAndRetryAfter)
{
    core.onArrival = [](const RequestArrived& arrival, SteadyTime, ControlActions& out) {
        out.push_back(FinalAnswer { .request = arrival.request, .outcome = Outcome::NotRun, .reason = Reason::Overloaded, .retryAfter = seconds(7) });
    };
    auto running = start();
    std::string answer = exchange(chat(true));
    STRCMP_CONTAINS("HTTP/1.1 503 ", answer.c_str());
    STRCMP_CONTAINS("Retry-After: 7", answer.c_str());
    STRCMP_CONTAINS("Limpetpond-Outcome: not_run", answer.c_str());
    STRCMP_CONTAINS("Limpetpond-Reason: overloaded", answer.c_str());
}

TEST(Traffic, missingOrWrongKeyGetsA401AndReachesNoTarget)
{
    auto running = start();
    STRCMP_CONTAINS("HTTP/1.1 401 ", exchange("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}").c_str());
    STRCMP_CONTAINS("HTTP/1.1 401 ", exchange("GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-2\r\n\r\n").c_str());
    STRCMP_CONTAINS("HTTP/1.1 401 ", exchange("GET /services/fees/x HTTP/1.1\r\nHost: h\r\nAuthorization: Basic key-1\r\n\r\n").c_str());
    LONGS_EQUAL(0, dispatches);
}

TEST(Traffic, malformedModelCallsGetATyped400)
{
    auto running = start();
    for (const char* body : { "", "{", "[]", "{}", R"({"model":"small"})", R"({"model":7,"messages":[]})", R"({"model":"small","messages":[]})", R"({"model":"small","prompt":"x"})",
             R"({"model":"small","messages":[{"role":"user","content":"x"}],"max_tokens":-1})", R"({"model":"small","messages":[{"role":"user","content":"x"}],"stream":"yes"})" }) {
        std::string answer = exchange(request("POST", "/v1/chat/completions", "", body));
        STRCMP_CONTAINS_TEXT("HTTP/1.1 400 ", answer.c_str(), body);
        STRCMP_CONTAINS_TEXT("\"code\":\"bad_request\"", answer.c_str(), body);
    }
    STRCMP_CONTAINS("HTTP/1.1 400 ", exchange(chat(false, "Limpetpond-Timeout: 5\r\n")).c_str());
    LONGS_EQUAL(0, dispatches);
}

TEST(Traffic, unknownPathsModelsAndServicesGetA404)
{
    auto running = start();
    STRCMP_CONTAINS("HTTP/1.1 404 ", exchange(request("GET", "/v2/x", "", "")).c_str());
    STRCMP_CONTAINS("HTTP/1.1 404 ", exchange(request("GET", "/services/none/x", "", "")).c_str());
    STRCMP_CONTAINS("HTTP/1.1 404 ", exchange(request("POST", "/v1/completions", "", R"({"model":"other","prompt":"x"})")).c_str());
    STRCMP_CONTAINS("HTTP/1.1 405 ", exchange(request("GET", "/v1/completions", "", "")).c_str());
}

TEST(Traffic, callThatRunsAtMostOnceNeedsAKey)
{
    auto running = start();
    std::string answer = exchange(request("POST", "/services/fees/pay", "", "x"));
    STRCMP_CONTAINS("HTTP/1.1 400 ", answer.c_str());
    STRCMP_CONTAINS("\"code\":\"key_required\"", answer.c_str());
    LONGS_EQUAL(0, dispatches);
}

TEST(Traffic, serviceCallForwardsMethodBodyAndAnswer)
{
    auto running = start();
    std::string answer = exchange(request("POST", "/services/fees/pay?n=1", "Idempotency-Key: k1\r\nLimpetpond-Retry-Token: 3\r\n", "seven"));
    STRCMP_CONTAINS("HTTP/1.1 201 ", answer.c_str());
    STRCMP_CONTAINS("X-Path: /pay?n=1", answer.c_str());
    STRCMP_CONTAINS("POST seven", answer.c_str());
    CHECK_FALSE(core.arrivals[0].idempotent);
    CHECK(core.arrivals[0].key == IdempotencyKey { "k1" } && core.arrivals[0].retryToken == 3 && core.arrivals[0].bodyHash != 0);
}

TEST(Traffic, pathWithDotSegmentsIsRejected)
{
    auto running = start();
    STRCMP_CONTAINS("HTTP/1.1 400 ", exchange(request("GET", "/services/fees/a/../pay", "", "")).c_str());
    LONGS_EQUAL(0, dispatches);
}

TEST(Traffic, repeatedKeyGetsTheStoredAnswer)
{
    std::string stored = encodeStoredAnswer({ .status = 202, .headers = { { "X-First", "1" } }, .body = "first" });
    core.onArrival = [stored](const RequestArrived& arrival, SteadyTime, ControlActions& out) {
        out.push_back(FinalAnswer { .request = arrival.request, .outcome = Outcome::Completed, .storedAnswer = stored });
    };
    auto running = start();
    std::string answer = exchange(request("POST", "/services/fees/pay", "Idempotency-Key: k1\r\n", "x"));
    STRCMP_CONTAINS("HTTP/1.1 202 ", answer.c_str());
    STRCMP_CONTAINS("X-First: 1", answer.c_str());
    STRCMP_CONTAINS("Limpetpond-Stored-Answer: true", answer.c_str());
    STRCMP_CONTAINS("\r\n\r\nfirst", answer.c_str());
}

TEST(Traffic, notRunKeyedCallGetsItsRetryToken)
{
    core.onArrival = [](const RequestArrived& arrival, SteadyTime, ControlActions& out) {
        out.push_back(FinalAnswer { .request = arrival.request, .outcome = Outcome::NotRun, .reason = Reason::Overloaded, .retryAfter = seconds(1), .retryToken = 2 });
    };
    auto running = start();
    STRCMP_CONTAINS("Limpetpond-Retry-Token: 2", exchange(request("POST", "/services/fees/pay", "Idempotency-Key: k1\r\n", "x")).c_str());
}

TEST(Traffic, lateDispatchIsNotStarted)
{
    core.onArrival = [](const RequestArrived& arrival, SteadyTime now, ControlActions& out) {
        out.push_back(Dispatch { arrival.request, AttemptId { "late" }, engineTarget, now - milliseconds(1) });
    };
    core.onEnded = [](const DispatchEnded& ended, ControlActions& out) {
        out.push_back(FinalAnswer { .request = ended.request, .outcome = Outcome::NotRun, .reason = Reason::TargetFailed });
    };
    auto running = start();
    STRCMP_CONTAINS("HTTP/1.1 503 ", exchange(chat(false)).c_str());
    LONGS_EQUAL(0, dispatches);
    CHECK(core.hasEvent("ended 1"));
}

TEST(Traffic, requestIsDispatchedAgainAfterADispatchThatDidNotStart)
{
    std::atomic<int> calledTimes { 0 };
    calls.engine = [&](const EngineAddress&, const EngineCall& call, const EngineCallHandlers& handlers, CallStop&) {
        if (++calledTimes == 1)
            return EngineCallEnd { .end = DispatchEnd::NotStarted };
        handlers.chunk(chunkOf(call.attempt.value()));
        return EngineCallEnd { .end = DispatchEnd::Completed };
    };
    core.onEnded = [](const DispatchEnded& ended, ControlActions& out) {
        if (ended.end == DispatchEnd::NotStarted)
            out.push_back(Dispatch { ended.request, AttemptId { "second" }, engineTarget, SteadyTime::max() });
        else
            out.push_back(FinalAnswer { .request = ended.request, .outcome = Outcome::Completed });
    };
    auto running = start();
    STRCMP_CONTAINS(R"("content":"second")", exchange(chat(false)).c_str());
}

TEST(Traffic, callerDisconnectIsReportedAndItsDispatchCancelled)
{
    calls.engine = [](const EngineAddress&, const EngineCall&, const EngineCallHandlers& handlers, CallStop& stop) {
        handlers.chunk(chunkOf("He"));
        for (int i = 0; i < 500 && !stop.isRequested(); ++i)
            std::this_thread::sleep_for(milliseconds(10));
        return EngineCallEnd { .end = stop.isRequested() ? DispatchEnd::Cancelled : DispatchEnd::Completed };
    };
    core.onDisconnected = [](const CallerDisconnected& disconnected, ControlActions& out) { out.push_back(CancelDispatch { disconnected.request, AttemptId { disconnected.request.value() + "-a" }, engineTarget }); };
    auto running = start();
    RawConnection connection(port);
    connection.send(chat(true));
    connection.readUntil("He");
    auto closedAt = std::chrono::steady_clock::now();
    connection.close();
    CHECK(core.waitForEvent("ended 2"));
    CHECK(std::chrono::steady_clock::now() - closedAt < seconds(1));
}

TEST(Traffic, disconnectOfAWaitingCallerIsReported)
{
    core.onArrival = nullptr;
    core.onDisconnected = [](const CallerDisconnected& disconnected, ControlActions& out) { out.push_back(FinalAnswer { .request = disconnected.request, .outcome = Outcome::NotRun, .reason = Reason::CallerDisconnected }); };
    auto running = start();
    RawConnection connection(port);
    connection.send(chat(false));
    std::this_thread::sleep_for(milliseconds(50));
    connection.close();
    CHECK(core.waitForEvent("disconnected"));
}

TEST(Traffic, claimedCallRunsToItsEndAfterItsCallerDisconnected)
{
    std::atomic<bool> mayEnd { false };
    calls.service = [&](const ServiceCall&, CallStop& stop) {
        for (int i = 0; i < 500 && !mayEnd; ++i)
            std::this_thread::sleep_for(milliseconds(10));
        return ServiceCallEnd { .end = stop.isRequested() ? DispatchEnd::Lost : DispatchEnd::Completed, .answer = HttpResponse { .status = 200, .body = "done" } };
    };
    std::string stored;
    core.onEnded = [&](const DispatchEnded& ended, ControlActions& out) {
        stored = ended.storedAnswer;
        out.push_back(FinalAnswer { .request = ended.request, .outcome = Outcome::Completed });
    };
    auto running = start();
    RawConnection connection(port);
    connection.send(request("POST", "/services/fees/pay", "Idempotency-Key: k1\r\n", "x"));
    std::this_thread::sleep_for(milliseconds(50));
    connection.close();
    CHECK(core.waitForEvent("disconnected"));
    mayEnd = true;
    CHECK(core.waitForEvent("ended 0"));
    CHECK(decodeStoredAnswer(stored)->body == "done");
}

TEST(Traffic, requestsBeyondTheLimitAreRejectedAtOnce)
{
    core.onArrival = nullptr;
    auto running = start();
    std::vector<std::unique_ptr<RawConnection>> waiting;
    for (int i = 0; i < options.maxOpenStreams; ++i) {
        waiting.push_back(std::make_unique<RawConnection>(port));
        waiting.back()->send(chat(false));
    }
    while (traffic->openRequests() < options.maxOpenStreams)
        std::this_thread::sleep_for(milliseconds(1));
    std::string answer = exchange(chat(false));
    STRCMP_CONTAINS("HTTP/1.1 503 ", answer.c_str());
    STRCMP_CONTAINS("Limpetpond-Outcome: not_run", answer.c_str());
    STRCMP_CONTAINS("Retry-After: ", answer.c_str());
    STRCMP_CONTAINS("Limpetpond-Outcome: unknown", exchange(request("POST", "/services/fees/pay", "Idempotency-Key: k1\r\n", "x")).c_str());
    traffic->abortAll();
    for (auto& connection : waiting)
        STRCMP_CONTAINS("shutting_down", connection->readAnswer().c_str());
}

TEST(Traffic, healthReadinessAndMetricsNeedNoKey)
{
    auto running = start();
    STRCMP_CONTAINS("HTTP/1.1 200 ", exchange("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n").c_str());
    STRCMP_CONTAINS("HTTP/1.1 200 ", exchange("GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n").c_str());
    exchange(chat(false));
    STRCMP_CONTAINS("limpetpond_goodput_total{tier=\"2\"} 1\n", exchange("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n").c_str());
    traffic->beginDrain();
    STRCMP_CONTAINS("HTTP/1.1 503 ", exchange("GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n").c_str());
}

TEST(Traffic, modelsAreListed)
{
    auto running = start();
    STRCMP_CONTAINS("\"id\":\"small\"", exchange(request("GET", "/v1/models", "", "")).c_str());
}

TEST(Traffic, engineErrorIsForwarded)
{
    calls.engine = [](const EngineAddress&, const EngineCall&, const EngineCallHandlers&, CallStop&) {
        return EngineCallEnd { .end = DispatchEnd::TargetError, .error = HttpResponse { .status = 422, .headers = { { "Content-Type", "application/json" } }, .body = "{\"error\":1}" } };
    };
    auto running = start();
    std::string answer = exchange(chat(true));
    STRCMP_CONTAINS("HTTP/1.1 422 ", answer.c_str());
    STRCMP_CONTAINS("{\"error\":1}", answer.c_str());
}

TEST(Traffic, slowCallerPausesItsEngine)
{
    options.maxStreamBuffer = ByteCount { 64L * 1024 };
    std::atomic<int> sentChunks { 0 };
    constexpr int chunks = 2000;
    calls.engine = [&](const EngineAddress&, const EngineCall&, const EngineCallHandlers& handlers, CallStop&) {
        const EngineChunk large = chunkOf(std::string(4096, 'x'));
        for (int i = 0; i < chunks; ++i, ++sentChunks)
            handlers.chunk(large);
        return EngineCallEnd { .end = DispatchEnd::Completed };
    };
    auto running = start();
    RawConnection connection(port);
    connection.send(chat(true));
    for (int i = 0; i < 1000 && !sentChunks; ++i)
        std::this_thread::sleep_for(milliseconds(10));
    std::this_thread::sleep_for(milliseconds(300));
    int sentBeforeReading = sentChunks;
    connection.readUntil("[DONE]");
    CHECK(sentBeforeReading > 0 && sentBeforeReading < chunks);
    LONGS_EQUAL(chunks, sentChunks);
}

TEST(Traffic, cancelEndsTheDispatchOfACallerThatReadsNothing)
{
    options.maxStreamBuffer = ByteCount { 256L * 1024 };
    calls.engine = [](const EngineAddress&, const EngineCall&, const EngineCallHandlers& handlers, CallStop&) {
        const EngineChunk large = chunkOf(std::string(4096, 'x'));
        for (int i = 0; i < 4000; ++i) {
            if (!handlers.chunk(large))
                return EngineCallEnd { .end = DispatchEnd::Cancelled };
        }
        return EngineCallEnd { .end = DispatchEnd::Completed };
    };
    RequestId request;
    core.onArrival = [&](const RequestArrived& arrival, SteadyTime, ControlActions& out) {
        request = arrival.request;
        out.push_back(Dispatch { arrival.request, AttemptId { "a" }, engineTarget, SteadyTime::max() });
    };
    core.onDisconnected = [](const CallerDisconnected& disconnected, ControlActions& out) { out.push_back(CancelDispatch { disconnected.request, AttemptId { "a" }, engineTarget }); };
    auto running = start();
    RawConnection connection(port);
    connection.send(chat(true));
    std::this_thread::sleep_for(milliseconds(300));
    CHECK_FALSE(core.hasEvent("ended 2"));
    // The scripted core cancels on this event; a raised admission floor and other causes cancel the same way.
    control->post(CallerDisconnected { request });
    CHECK(core.waitForEvent("ended 2"));
    connection.close();
}

TEST(Traffic, abortStopsTheDispatchOfAClaimedCall)
{
    calls.service = [](const ServiceCall&, CallStop& stop) {
        for (int i = 0; i < 2000 && !stop.isRequested(); ++i)
            std::this_thread::sleep_for(milliseconds(10));
        return ServiceCallEnd { .end = DispatchEnd::Lost };
    };
    auto running = start();
    RawConnection connection(port);
    connection.send(request("POST", "/services/fees/pay", "Idempotency-Key: k1\r\n", "x"));
    while (!traffic->runningDispatches())
        std::this_thread::sleep_for(milliseconds(1));
    traffic->abortAll();
    STRCMP_CONTAINS("\"outcome\":\"unknown\"", connection.readAnswer().c_str());
    CHECK(core.waitForEvent("ended 3"));
}
