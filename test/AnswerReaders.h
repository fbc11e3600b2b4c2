#pragma once

/// The ways in which the programs read answers, for tests that hold each of them to the same rules.

#include "base/BootTimeClock.h"
#include "engine/EngineClient.h"
#include "gateway/TimedHttpCall.h"
#include "http/HttpClient.h"
#include "service/ServiceClient.h"
#include "store/InstanceList.h"
#include "store/ObjectStore.h"
#include "store/TableClient.h"
#include "test/CallFailures.h"
#include <optional>
#include <string>

namespace limpetpond {

/// What a reader makes of the bytes that a server sends.
struct AnswerRead {
    bool isWhole { false };
    int status { 0 };
    std::optional<std::string> body; ///< Nothing if the reader only tells what it has parsed.
};

/// A body that each reader can parse.
inline constexpr const char* bodyForAllReaders = R"({"running_requests":1,"waiting_requests":0,"tokens_in_progress":5,"measured_ms_ago":0,"items":[]})";

struct AnswerReader {
    const char* name;
    AnswerRead (*read)(int port, const std::string& requestBody); ///< Sends a request and waits for the end of its answer.
    bool sendsBody { true }; ///< Otherwise the request has no body, or one of its own.
};

namespace readers {

    /// Runs the context's handlers until the condition holds, at most 5 s.
    template <typename Condition>
    void runUntil(boost::asio::io_context& context, Condition condition)
    {
        auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!condition() && std::chrono::steady_clock::now() < until) {
            context.restart();
            context.run_one_for(std::chrono::milliseconds(2));
        }
    }

    /// The gateway's connection to targets, the store and other instances.
    inline AnswerRead byGatewayConnection(int port, const std::string& requestBody)
    {
        struct Handler final : ExchangeHandler {
            AnswerRead answer;
            bool hasEnded { false };
            void onHead(HttpAnswerHead&& head) override { answer.status = head.status; }
            void onBody(std::string_view bytes) override { answer.body->append(bytes); }
            void onComplete() override { hasEnded = answer.isWhole = true; }
            void onFailure(ExchangeFailure, bool) override { hasEnded = true; }
        } handler;
        handler.answer.body.emplace();
        boost::asio::io_context context { 1 };
        BootTimeClock clock;
        auto connection = std::make_shared<HttpClientConnection>(context, clock, *parseEndpoint("127.0.0.1:" + std::to_string(port)));
        connection->send(postRequestText("/x", "a", requestBody), nullptr, {}, false, handler);
        runUntil(context, [&] { return handler.hasEnded; });
        connection->close();
        runUntil(context, [&] { return connection.use_count() == 1; });
        return handler.answer;
    }

    /// The gateway's calls to the store and to other instances.
    inline AnswerRead byTimedCall(int port, const std::string& requestBody)
    {
        boost::asio::io_context context { 1 };
        BootTimeClock clock;
        AnswerRead answer;
        TimedHttpCall call(context, clock, [&](TimedHttpCallResult&& result) {
            answer = { .isWhole = result.status != 0, .status = result.status, .body = std::move(result.body) };
        });
        call.start(*parseEndpoint("127.0.0.1:" + std::to_string(port)), postRequestText("/x", "a", requestBody), std::chrono::seconds(5));
        runUntil(context, [&] { return !call.isInProgress(); });
        call.closeConnection();
        context.restart();
        context.poll();
        return answer;
    }

    inline AnswerRead fromResponse(const HttpResponse& response) { return { .isWhole = true, .status = response.status, .body = response.body }; }

    /// The answer of a call of the daemon, or what it reports of a failed one.
    template <typename Call>
    AnswerRead ofCall(Call call)
    {
        return boost::leaf::try_handle_all([&]() -> Result<AnswerRead> {
            BOOST_LEAF_ASSIGN(HttpResponse response, call());
            return fromResponse(response); },
            [](const CallError& error) { return AnswerRead { .status = error.status }; }, [] { return AnswerRead {}; });
    }

    inline HttpRequest post(const std::string& body) { return { .method = "POST", .path = "/x", .body = body }; }

    /// The daemon's single calls, to engines and services.
    inline AnswerRead byDaemonCall(int port, const std::string& requestBody)
    {
        return ofCall([&] { return httpCall({ "127.0.0.1", port }, post(requestBody), {}); });
    }

    /// The daemon's calls on kept connections, to the table service and other parts of the platform.
    inline AnswerRead byDaemonPool(int port, const std::string& requestBody)
    {
        HttpConnectionPool pool({ "127.0.0.1", port }, {});
        return ofCall([&] { return pool.call(post(requestBody)); });
    }

    /// A call of the daemon that parses its answer, and so takes status 200 only.
    template <typename Call>
    AnswerRead ofParsedCall(Call call)
    {
        bool isWhole = !callErrorOf(call);
        return { .isWhole = isWhole, .status = isWhole ? 200 : 0 };
    }

    inline AnswerRead byServiceCall(int port, const std::string& requestBody)
    {
        CallStop stop;
        ServiceCallEnd end = callService({ .endpoint = { "127.0.0.1", port }, .attempt = AttemptId("a1"), .request = post(requestBody) }, stop);
        return end.answer ? fromResponse(*end.answer) : AnswerRead {};
    }

    /// The health probe of an engine.
    inline AnswerRead byLoadReport(int port, const std::string&)
    {
        return ofParsedCall([&] { return readLoad({ TargetId("t1"), { "127.0.0.1", port } }, SteadyTime(), {}); });
    }

    inline AnswerRead byTable(int port, const std::string&)
    {
        TableClient table({ .endpoint = { "127.0.0.1", port }, .table = "t" });
        return ofParsedCall([&] { return table.get({ "p", "s" }); });
    }

    inline AnswerRead byObjectStore(int port, const std::string&)
    {
        ObjectStore store({ "127.0.0.1", port }, "bucket", {});
        return ofParsedCall([&] { return store.get("key"); });
    }

    inline AnswerRead byInstanceList(int port, const std::string&)
    {
        HttpConnectionPool pool({ "127.0.0.1", port }, {});
        return ofParsedCall([&] { return readInstanceList(pool, {}); });
    }

} // namespace readers

inline constexpr AnswerReader answerReaders[] = {
    { "the gateway's connection", readers::byGatewayConnection },
    { "the gateway's timed call", readers::byTimedCall },
    { "the daemon's call", readers::byDaemonCall },
    { "the daemon's pool", readers::byDaemonPool },
    { "a call to a service", readers::byServiceCall },
    { "an engine's load report", readers::byLoadReport, false },
    { "the table service", readers::byTable, false },
    { "the object store", readers::byObjectStore, false },
    { "the instance list", readers::byInstanceList, false },
};

} // namespace limpetpond
