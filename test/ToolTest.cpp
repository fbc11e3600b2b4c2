#include "operator/OperatorHandler.h"
#include "peer/PeerServer.h"
#include "peer/ThriftConnection.h"
#include "test/TableFake.h"
#include "tool/Commands.h"
#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace limpetpond::tool;

// Runs the tool against the operators' service of one instance on a loopback port.
TEST_GROUP(Tool)
{
    TableFake table;
    SettingsHolder holder;
    SettingsStore store { { .table = table.access(), .maxAttempts = 2, .sleep = [](std::chrono::milliseconds) {} } };
    SystemClock clock;
    ControlStatus control;
    PeerServer server { { .listen = { "127.0.0.1", 0 } } };
    ToolCommand command;
    std::string out;
    std::string errors;

    void setup() override
    {
        control.reachesMajority = true;
        control.majorityVersion = SettingsVersion(1'000);
        OperatorHandlerOptions options { .secret = Secret("s3cret"), .holder = &holder, .store = &store, .clock = &clock };
        options.status = [this] { return std::make_shared<const ControlStatus>(control); };
        options.postSettings = [](const std::shared_ptr<const Settings>&) {};
        options.raiseAlarm = [](AlarmKind, const std::string&) {};
        options.timeline = [](std::uint64_t, const RequestId& request) { return std::vector<RecordedEntry> { { .sequence = 1, .entry = { .kind = "dispatched", .request = request } } }; };
        options.acceptTimeout = std::chrono::milliseconds(1);
        server.addService(operatorServiceName, makeOperatorProcessor(std::move(options)));
        command.options.instances = { { "127.0.0.1", server.start().value() } };
        command.options.secret = "s3cret";
        command.options.author = "ana";
        command.options.period = std::chrono::milliseconds(1);
    }
    void teardown() override { server.stop(); }

    int run(std::vector<std::string> arguments)
    {
        std::ostringstream outStream;
        std::ostringstream errorStream;
        command.arguments = std::move(arguments);
        int code = runTool(command, outStream, errorStream);
        out = outStream.str();
        errors = errorStream.str();
        return code;
    }

    void addTarget()
    {
        run({ "settings", "set", "pool/p", "maxWaiting=5" });
        run({ "settings", "set", "target/e1", "pool=p", "host=10.0.0.1", "port=80" });
        control.targets = { { .target = TargetId("e1"), .pool = PoolId("p"), .drain = { .state = DrainState::Empty } } };
    }
};

TEST(Tool, setAndGet)
{
    LONGS_EQUAL(0, run({ "settings", "set", "pool/p", "maxWait=30s", "models=a,b", "retryBudget=0.5", "maxWaiting=7" }));
    STRCMP_CONTAINS("accepted as version 1", out.c_str());
    LONGS_EQUAL(0, run({ "settings", "get", "pool/p" }));
    STRCMP_EQUAL("# version 1\npool/p  (version 1)\n  maxWait = \"30s\"\n  maxWaiting = 7\n  models = [\"a\",\"b\"]\n  retryBudget = 0.5\n", out.c_str());
    LONGS_EQUAL(0, run({ "settings", "get", "pool/p", "callTimeout" }));
    STRCMP_EQUAL("\"1m\"\n", out.c_str());
}

TEST(Tool, namesThatLookLikeNumbersStayText)
{
    addTarget();
    LONGS_EQUAL(0, run({ "settings", "set", "target/e1", "failureDomain=1" }));
    run({ "settings", "get", "target/e1", "failureDomain" });
    STRCMP_EQUAL("\"1\"\n", out.c_str());
}

TEST(Tool, unsetRestoresTheDefault)
{
    run({ "settings", "set", "pool/p", "maxWaiting=7" });
    LONGS_EQUAL(0, run({ "settings", "unset", "pool/p", "maxWaiting" }));
    run({ "settings", "get", "pool/p", "maxWaiting" });
    STRCMP_EQUAL("512\n", out.c_str());
    LONGS_EQUAL(0, run({ "settings", "unset", "pool/p" }));
    LONGS_EQUAL(1, run({ "settings", "get", "pool/p" }));
}

TEST(Tool, exitCodesDistinguishFailures)
{
    LONGS_EQUAL(1, run({ "settings", "set", "site", "viewAgeLimit=3" }));
    STRCMP_CONTAINS("viewAgeLimit", errors.c_str());
    LONGS_EQUAL(2, run({}));
    LONGS_EQUAL(2, run({ "frob" }));
    LONGS_EQUAL(2, run({ "settings" }));
    LONGS_EQUAL(2, run({ "settings", "frob" }));
    LONGS_EQUAL(2, run({ "settings", "set", "site" }));
    LONGS_EQUAL(2, run({ "settings", "set", "site", "name" }));
    LONGS_EQUAL(2, run({ "settings", "import", "/does/not/exist" }));
    LONGS_EQUAL(2, run({ "target", "leave" }));
    LONGS_EQUAL(2, run({ "target", "leave", "a b" }));
    LONGS_EQUAL(2, run({ "status", "x" }));
    run({ "settings", "set", "site", "name=x" });
    command.options.readVersion = 0;
    LONGS_EQUAL(3, run({ "settings", "set", "site", "name=y" }));
    command.options.readVersion.reset();
    command.options.secret = "wrong";
    LONGS_EQUAL(1, run({ "settings", "get" }));
    STRCMP_CONTAINS("unauthorized", errors.c_str());
}

TEST(Tool, nextInstanceIsCalledWhenOneIsUnreachable)
{
    Address reachable = command.options.instances.front();
    command.options.instances = { { "127.0.0.1", 1 }, reachable };
    LONGS_EQUAL(0, run({ "settings", "set", "site", "name=x" }));
    command.options.instances = { { "127.0.0.1", 1 } };
    LONGS_EQUAL(4, run({ "settings", "get" }));
    LONGS_EQUAL(4, run({ "status" }));
    LONGS_EQUAL(4, run({ "settings", "set", "site", "name=y" }));
}

TEST(Tool, unknownOutcomePrintsTheChangeIdToRepeat)
{
    control.majorityVersion = SettingsVersion(0);
    command.options.changeId = "op-1";
    LONGS_EQUAL(5, run({ "settings", "set", "site", "name=x" }));
    STRCMP_CONTAINS("--change-id op-1", errors.c_str());
    control.majorityVersion = SettingsVersion(1);
    LONGS_EQUAL(0, run({ "settings", "set", "site", "name=x" }));
    STRCMP_CONTAINS("accepted as version 1", out.c_str());
}

TEST(Tool, dryRunChangesNothing)
{
    command.options.dryRun = true;
    LONGS_EQUAL(0, run({ "settings", "set", "site", "name=x" }));
    STRCMP_EQUAL("would change:\n  site name: \"site\" -> \"x\"\n", out.c_str());
    LONGS_EQUAL(0, table.rows.size());
}

TEST(Tool, leaveWaitsUntilEmpty)
{
    addTarget();
    command.options.wait = true;
    LONGS_EQUAL(0, run({ "target", "leave", "e1" }));
    STRCMP_CONTAINS("e1: empty", out.c_str());
    control.targets[0].drain.state = DrainState::Leaving;
    command.options.timeout = std::chrono::milliseconds(5);
    LONGS_EQUAL(1, run({ "target", "leave", "e1" }));
    STRCMP_CONTAINS("is not empty", out.c_str());
}

TEST(Tool, leaveAndReturnSetTheMark)
{
    addTarget();
    run({ "target", "leave", "e1" });
    CHECK(holder.settings()->targets.at(TargetId("e1")).mark == TargetMark::Leaving);
    LONGS_EQUAL(0, run({ "target", "return", "e1" }));
    CHECK(holder.settings()->targets.at(TargetId("e1")).mark == TargetMark::Serving);
    LONGS_EQUAL(1, run({ "target", "leave", "e2" }));
    LONGS_EQUAL(0, run({ "target", "status" }));
}

TEST(Tool, historyExplainExportAndDiff)
{
    addTarget();
    LONGS_EQUAL(0, run({ "settings", "history" }));
    STRCMP_CONTAINS("pool/p maxWaiting = 5", out.c_str());
    LONGS_EQUAL(0, run({ "settings", "explain", "target/e1" }));
    STRCMP_CONTAINS("from target/e1, version 2 by ana", out.c_str());
    LONGS_EQUAL(0, run({ "settings", "export", "pool" }));
    STRCMP_EQUAL("{\"pool/p\":{\"maxWaiting\":5}}\n", out.c_str());
    LONGS_EQUAL(0, run({ "settings", "diff", "0", "1" }));
    STRCMP_EQUAL("  pool/p maxWaiting: (none) -> 5\n", out.c_str());
    LONGS_EQUAL(2, run({ "settings", "diff", "0", "9" }));
    LONGS_EQUAL(0, run({ "settings", "schema" }));
}

TEST(Tool, timelineAsTextHtmlAndChromeTrace)
{
    command.options.request = "r-1";
    LONGS_EQUAL(0, run({ "timeline" }));
    STRCMP_CONTAINS("dispatched request=r-1", out.c_str());
    command.options.html = true;
    LONGS_EQUAL(0, run({ "timeline" }));
    STRCMP_CONTAINS("<!doctype html>", out.c_str());
    command.options.html = false;
    command.options.chromeTrace = true;
    LONGS_EQUAL(0, run({ "timeline" }));
    STRCMP_CONTAINS("traceEvents", out.c_str());
}
