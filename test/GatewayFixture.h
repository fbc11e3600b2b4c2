#pragma once

/// The base of test groups that run one gateway with fakes of the store and of its targets.
///
/// Handlers of targets run on threads of their own and may refer to variables of a test's body. So `start()` returns an
/// object that ends the gateway and joins these threads; the body declares it after all that the handlers refer to.

#include "test/Running.h"
#include "test/RunningGateway.h"
#include "test/fakes/edge/StoreFake.h"
#include "test/fakes/edge/TargetFake.h"
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace limpetpond {

/// What a target writes to the store about itself.
struct TargetRowOptions {
    std::string state { "ready" };
    int sequence { 1 };
    int slots { 4 };
    std::int64_t startedAt { 1'700'000'000'000 }; ///< Unix milliseconds.
};

struct GatewayFixture : public Utest {
    std::unique_ptr<fakes::StoreFake> store;
    std::unique_ptr<RunningGateway> gateway;
    std::vector<std::unique_ptr<fakes::TargetFake>> targets;

    void setup() override { store = std::make_unique<fakes::StoreFake>(); }

    void teardown() override
    {
        bool haveTargetsEnded = targets.empty();
        stop();
        store.reset();
        CHECK_TEXT(haveTargetsEnded, "the test's body returned before its targets' threads ended; hold what start() returns");
    }

    std::string rowOf(std::size_t index, const TargetRowOptions& options = {}) const
    {
        return R"({"service":"lm","addr":"127.0.0.1:)" + std::to_string(targets[index]->port()) + R"(","zone":"a","version":"v1","slots":)" + std::to_string(options.slots)
            + R"(,"state":")" + options.state + R"(","coldLeftMs":0,"seq":)" + std::to_string(options.sequence) + R"(,"born":)" + std::to_string(options.startedAt) + "}";
    }

    void putRow(std::size_t index, const TargetRowOptions& options = {}) { store->put("servers", "t" + std::to_string(index + 1), rowOf(index, options)); }

    /// Before the start: its handler may refer to variables that the test's body has declared so far.
    void addTarget(fakes::TargetFake::Handler handler, const TargetRowOptions& options = {}, fakes::RequestPart neededPart = fakes::RequestPart::Whole)
    {
        CHECK(!gateway);
        putTarget(std::move(handler), options, neededPart);
    }

    /// A target that is added while the gateway runs refers to nothing of the test's body.
    void addLaterTarget(void (*handler)(fakes::TargetCall&)) { putTarget(handler, {}, fakes::RequestPart::Whole); }

    void startGateway(const RunningGatewayOptions& options = {}, const std::string& settings = documentOfVersion(1))
    {
        store->put("op", "config", settings);
        gateway = std::make_unique<RunningGateway>(store->port(), options);
        STRCMP_EQUAL("", gateway->error().c_str());
        CHECK(eventually([&] { return gateway->readiness() == 200; }));
    }

    Running start(const RunningGatewayOptions& options = {}, const std::string& settings = documentOfVersion(1))
    {
        startGateway(options, settings);
        return endWithBody();
    }

    /// Ends the gateway, and joins the threads of the targets, when it goes.
    Running endWithBody()
    {
        return Running([this] { stop(); });
    }

    void stop()
    {
        gateway.reset();
        targets.clear();
    }

    /// The answer to a request that is sent on a connection of its own.
    std::string answerTo(const std::string& requestText) const
    {
        RawConnection connection(gateway->callerPort());
        connection.send(requestText);
        return connection.readAnswer();
    }

    std::string metricsText() const
    {
        RawConnection connection(gateway->metricsPort());
        connection.send("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
        return connection.readAnswer();
    }

private:
    void putTarget(fakes::TargetFake::Handler handler, const TargetRowOptions& options, fakes::RequestPart neededPart)
    {
        targets.push_back(std::make_unique<fakes::TargetFake>(std::move(handler), neededPart));
        putRow(targets.size() - 1, options);
    }
};

/// Seconds in the answer's Retry-After; -1 for none.
inline double retryAfterOf(const std::string& answer)
{
    std::size_t at = answer.find("\r\nRetry-After: ");
    return at == std::string::npos ? -1 : std::atof(answer.c_str() + at + 15);
}

} // namespace limpetpond
