#include "operator/OperatorHandler.h"
#include "test/TableFake.h"
#include <boost/json/parse.hpp>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(OperatorHandler)
{
    TableFake table;
    SettingsHolder holder;
    SettingsStore store { { .table = table.access(), .maxAttempts = 2, .sleep = [](std::chrono::milliseconds) {} } };
    ManualClock clock;
    ControlStatus controlStatus;
    int posted { 0 };
    int alarms { 0 };
    std::shared_ptr<rpc::OperatorServiceIf> handler;
    const std::string secret { "an operators' secret" };

    void setup() override
    {
        controlStatus.reachesMajority = true;
        controlStatus.majorityVersion = SettingsVersion(1'000);
        OperatorHandlerOptions options { .secret = Secret(secret), .holder = &holder, .store = &store, .clock = &clock };
        options.status = [this] { return std::make_shared<const ControlStatus>(controlStatus); };
        options.postSettings = [this](const std::shared_ptr<const Settings>&) { ++posted; };
        options.raiseAlarm = [this](AlarmKind, const std::string&) { ++alarms; };
        options.timeline = [](std::uint64_t after, const RequestId& request) { return std::vector<RecordedEntry> { { .sequence = after + 1, .entry = { .kind = "dispatched", .request = request, .attempt = AttemptId("t"), .fields = { { "x", "1" } } } } }; };
        options.process = "i1";
        options.acceptTimeout = std::chrono::milliseconds(1);
        options.pollPeriod = std::chrono::milliseconds(1);
        handler = makeOperatorHandler(std::move(options));
    }

    static rpc::ChangeRequest request(const std::string& id, const std::string& path, const std::string& field, const std::string& value, std::int64_t readVersion = -1)
    {
        rpc::Edit edit;
        edit.path = path;
        edit.field = field;
        edit.value = value;
        edit.readVersion = readVersion;
        rpc::ChangeRequest request;
        request.changeId = id;
        request.author = "ana";
        request.edits = { edit };
        return request;
    }

    /// The result as text: "accepted N" with the version, or the code of the refusal.
    std::string change(const rpc::ChangeRequest& request)
    {
        try {
            rpc::ChangeReply reply;
            handler->change(reply, secret, request);
            return "accepted " + std::to_string(reply.version);
        } catch (const rpc::OperatorRefused& refused) {
            return refused.code;
        }
    }

    std::string statusOf(const std::string& target)
    {
        try {
            rpc::TargetStatus status;
            handler->targetStatus(status, secret, target);
            return status.mark;
        } catch (const rpc::OperatorRefused& refused) {
            return refused.code;
        }
    }
};

TEST(OperatorHandler, acceptedChangeIsPostedToTheControlThread)
{
    STRCMP_EQUAL("accepted 1", change(request("a", "site", "name", "\"x\"")).c_str());
    LONGS_EQUAL(1, posted);
    STRCMP_EQUAL("x", holder.settings()->site.name.c_str());
}

TEST(OperatorHandler, repeatedChangeReturnsItsFirstVersion)
{
    change(request("a", "site", "name", "\"x\""));
    change(request("b", "site", "name", "\"y\""));
    STRCMP_EQUAL("accepted 1", change(request("a", "site", "name", "\"x\"")).c_str());
}

TEST(OperatorHandler, wrongSecretIsRefusedByEveryCall)
{
    std::string out;
    std::vector<rpc::ExplainedValue> values;
    std::vector<rpc::SettingsChange> changes;
    std::vector<rpc::TimelineEvent> events;
    rpc::TargetStatus status;
    rpc::ChangeReply reply;
    for (const std::string wrong : { "", "an operators' secrets", "An operators' secret" }) {
        CHECK_THROWS(rpc::OperatorRefused, handler->getTree(out, wrong, ""));
        CHECK_THROWS(rpc::OperatorRefused, handler->change(reply, wrong, request("a", "site", "name", "\"x\"")));
        CHECK_THROWS(rpc::OperatorRefused, handler->explain(values, wrong, ""));
        CHECK_THROWS(rpc::OperatorRefused, handler->history(changes, wrong, 0));
        CHECK_THROWS(rpc::OperatorRefused, handler->targetStatus(status, wrong, "e1"));
        CHECK_THROWS(rpc::OperatorRefused, handler->status(out, wrong));
        CHECK_THROWS(rpc::OperatorRefused, handler->timeline(events, wrong, 0, ""));
    }
    LONGS_EQUAL(0, table.rows.size());
}

TEST(OperatorHandler, dryRunShowsEffectsAndWritesNothing)
{
    rpc::ChangeRequest dry = request("a", "site", "name", "\"x\"");
    dry.dryRun = true;
    rpc::ChangeReply reply;
    handler->change(reply, secret, dry);
    LONGS_EQUAL(0, reply.version);
    STRCMP_EQUAL("\"site\"", reply.effects.at(0).before.c_str());
    STRCMP_EQUAL("\"x\"", reply.effects.at(0).after.c_str());
    LONGS_EQUAL(0, table.rows.size());
}

TEST(OperatorHandler, instanceWithoutMajorityRefusesChanges)
{
    controlStatus.reachesMajority = false;
    STRCMP_EQUAL("cut_off", change(request("a", "site", "name", "\"x\"")).c_str());
    LONGS_EQUAL(0, table.rows.size());
}

TEST(OperatorHandler, changeHasUnknownOutcomeUntilAMajorityHoldsIt)
{
    controlStatus.majorityVersion = SettingsVersion(0);
    STRCMP_EQUAL("unknown_outcome", change(request("a", "site", "name", "\"x\"")).c_str());
    controlStatus.majorityVersion = SettingsVersion(1);
    STRCMP_EQUAL("accepted 1", change(request("a", "site", "name", "\"x\"")).c_str());
}

TEST(OperatorHandler, refusalsHaveTheirCodes)
{
    change(request("a", "site", "name", "\"x\""));
    STRCMP_EQUAL("conflict", change(request("b", "site", "name", "\"y\"", 0)).c_str());
    STRCMP_EQUAL("invalid_setting", change(request("c", "site", "speed", "1")).c_str());
    STRCMP_EQUAL("invalid_setting", change(request("d", "site", "name", "{")).c_str());
    table.isDown = true;
    STRCMP_EQUAL("store_unavailable", change(request("e", "site", "name", "\"z\"")).c_str());
}

TEST(OperatorHandler, conflictReportsBothValues)
{
    change(request("a", "site", "name", "\"x\""));
    try {
        rpc::ChangeReply reply;
        handler->change(reply, secret, request("b", "site", "name", "\"y\"", 0));
        FAIL("accepted");
    } catch (const rpc::OperatorRefused& refused) {
        LONGS_EQUAL(0, refused.readVersion);
        LONGS_EQUAL(1, refused.currentVersion);
        STRCMP_EQUAL(R"({"name":"x"})", refused.currentValue.c_str());
        STRCMP_CONTAINS(R"({"name":"y"})", refused.detail.c_str());
    }
}

TEST(OperatorHandler, rolledBackStoreIsRefusedWithAnAlarm)
{
    change(request("a", "site", "name", "\"x\""));
    table.rows.clear();
    STRCMP_EQUAL("store_went_back", change(request("b", "site", "name", "\"y\"")).c_str());
    LONGS_EQUAL(1, alarms);
}

TEST(OperatorHandler, rolledBackStoreIsRaisedOnlyByAnInstanceWithTheNewestSettings)
{
    change(request("a", "site", "name", "\"x\""));
    table.rows.clear();
    rpc::ChangeReply reply;
    controlStatus.highestKnown = SettingsVersion(2);
    CHECK_THROWS(rpc::OperatorRefused, handler->raiseStore(reply, secret, "r", "ana"));
    controlStatus.highestKnown = SettingsVersion(1);
    CHECK_THROWS(rpc::OperatorRefused, handler->raiseStore(reply, "wrong", "r", "ana"));
    controlStatus.majorityVersion = SettingsVersion(2'000);
    handler->raiseStore(reply, secret, "r", "ana");
    LONGS_EQUAL(1'001, reply.version);
    STRCMP_EQUAL("accepted 1002", change(request("b", "site", "name", "\"y\"")).c_str());
}

TEST(OperatorHandler, treeAndExplanationOfAnUnknownBranchAreNotFound)
{
    std::string out;
    std::vector<rpc::ExplainedValue> values;
    CHECK_THROWS(rpc::OperatorRefused, handler->getTree(out, secret, "pool/x"));
    CHECK_THROWS(rpc::OperatorRefused, handler->explain(values, secret, "pool/x"));
    handler->getTree(out, secret, "site");
    handler->explain(values, secret, "site");
    CHECK(!values.empty());
}

TEST(OperatorHandler, historyComesFromTheStoreWhenItIsNoLongerHeld)
{
    change(request("a", "site", "name", "\"x\""));
    SettingsTree tree = *holder.tree();
    tree.version = SettingsVersion(9);
    holder.adopt(tree);
    std::vector<rpc::SettingsChange> changes;
    handler->history(changes, secret, 0);
    LONGS_EQUAL(1, changes.size());
    STRCMP_EQUAL("ana", changes[0].author.c_str());
}

TEST(OperatorHandler, targetStatusComesFromTheSnapshot)
{
    controlStatus.targets.push_back({ .target = TargetId("e1"), .pool = PoolId("p"), .drain = { .state = DrainState::Leaving, .notConfirmed = { InstanceId("b") } } });
    STRCMP_EQUAL("leaving", statusOf("e1").c_str());
    STRCMP_EQUAL("not_found", statusOf("e2").c_str());
}

TEST(OperatorHandler, statusIsJsonWithoutSecrets)
{
    controlStatus.self = InstanceId("i1");
    controlStatus.alarms.push_back({ .kind = AlarmKind::CutOff, .subject = "x" });
    std::string out;
    handler->status(out, secret);
    CHECK(boost::json::parse(out).at("instance") == boost::json::value("i1"));
    STRCMP_CONTAINS("cut_off", out.c_str());
    CHECK(out.find(secret) == std::string::npos);
}

TEST(OperatorHandler, timelineNamesTheProcess)
{
    std::vector<rpc::TimelineEvent> events;
    handler->timeline(events, secret, 4, "r-1");
    LONGS_EQUAL(5, events.at(0).sequence);
    STRCMP_EQUAL("i1", events.at(0).process.c_str());
    STRCMP_EQUAL("r-1", events.at(0).request.c_str());
    STRCMP_EQUAL("t", events.at(0).fields.at("attempt").c_str());
}
