#include "core/EngineCommands.h"
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

namespace {

const PoolId drafts("drafts");

Settings makeSettings(const std::string& version, bool checksFencing = true)
{
    Settings settings;
    for (const char* name : { "e1", "e2", "e3" }) {
        TargetSettings target { .id = TargetId(name), .pool = drafts, .checksFencing = checksFencing };
        target.desired = EngineDesiredState { .model = ModelId("draft"), .version = version };
        settings.targets[target.id] = target;
    }
    return settings;
}

/// One instance's orders with the row of the lease.
struct Orderer {
    PoolCommands orders;
    std::vector<SendEngineCommand> given;

    Orderer(const char* instance, const Settings& settings, SteadyTime now)
        : orders(makePoolCommands(drafts, InstanceId(instance), now))
    {
        applySettings(orders, settings, now);
    }
};

} // namespace

TEST_GROUP(EngineCommands)
{
    EngineCommandOptions options;
    SteadyTime now { 1h };
    Settings settings { makeSettings("1") };
    std::optional<LeaseRow> row;

    void serveLease(Orderer & orderer, const AccessLease& access)
    {
        LeaseAnswer answer = LeaseAnswer::Done;
        if (access.step.operation == LeaseOperation::Write) {
            if (row == access.step.expected)
                row = access.step.row;
            else
                answer = LeaseAnswer::ConditionFailed;
        }
        handlePoolLeaseAnswered(orderer.orders, { access.lease, access.step.operation, answer, row }, now);
    }

    void step(Orderer & orderer, std::size_t rank = 0)
    {
        ControlActions actions;
        advanceCommands(orderer.orders, settings, options, rank, now, actions);
        for (const ControlAction& action : actions) {
            if (const auto* access = std::get_if<AccessLease>(&action))
                serveLease(orderer, *access);
            if (const auto* order = std::get_if<SendEngineCommand>(&action))
                orderer.given.push_back(*order);
        }
    }

    void run(Orderer & orderer, Duration length, std::size_t rank = 0)
    {
        for (SteadyTime end = now + length; now < end; now += 100ms)
            step(orderer, rank);
    }

    void answerAll(Orderer & orderer, EngineCommandProgress progress)
    {
        for (const SendEngineCommand& order : orderer.given)
            handleCommandAnswered(orderer.orders, { order.target, order.desired, progress }, now);
        orderer.given.clear();
    }
};

TEST(EngineCommands, noOrderIsGivenBeforeTheLeaseIsHeld)
{
    Orderer a("a", settings, now);
    ControlActions actions;
    advanceCommands(a.orders, settings, options, 0, now, actions);
    LONGS_EQUAL(1, actions.size());
    CHECK(std::holds_alternative<AccessLease>(actions.front()));
}

TEST(EngineCommands, enginesLoadOnlyAFewAtOnce)
{
    Orderer a("a", settings, now);
    run(a, 1s);
    LONGS_EQUAL(options.maxLoading, a.given.size());
    answerAll(a, EngineCommandProgress::InProgress);
    run(a, 1s);
    CHECK(a.given.empty());
}

TEST(EngineCommands, theNextEngineFollowsWhenOneHasReachedItsState)
{
    Orderer a("a", settings, now);
    run(a, 1s);
    answerAll(a, EngineCommandProgress::Reached);
    run(a, 200ms);
    LONGS_EQUAL(1, a.given.size());
    CHECK(a.given.front().target == TargetId("e3"));
    CHECK(hasReachedState(a.orders, TargetId("e1")));
    CHECK_FALSE(hasReachedState(a.orders, TargetId("e3")));
}

TEST(EngineCommands, aReachedStateIsCheckedAgain)
{
    Orderer a("a", settings, now);
    for (int i = 0; i < 20; ++i) {
        run(a, 500ms);
        answerAll(a, EngineCommandProgress::Reached);
    }
    now += options.checkPeriod;
    run(a, 20s);
    CHECK_FALSE(a.given.empty());
}

TEST(EngineCommands, ordersCarryTheFencingNumberOfTheLease)
{
    Orderer a("a", settings, now);
    run(a, 1s);
    CHECK(a.given.front().fence.number == row->number);
    CHECK(a.given.front().fence.notAfter < now + options.lease.term);
}

TEST(EngineCommands, enginesThatIgnoreFencingWaitOutTheLongestOrder)
{
    settings = makeSettings("1", false);
    Orderer a("a", settings, now);
    run(a, options.lease.maxCommandDuration - 1s);
    CHECK(a.given.empty());
    run(a, 2s);
    CHECK_FALSE(a.given.empty());
}

TEST(EngineCommands, laterInstancesLeaveTheLeaseToTheFirst)
{
    Orderer b("b", settings, now);
    run(b, options.rankDelay - 1s, 1);
    CHECK_FALSE(row.has_value());
    run(b, 2s, 1);
    CHECK(row.has_value());
}

TEST(EngineCommands, aHolderThatWasFrozenPastItsLeaseGivesNoOrder)
{
    Orderer a("a", settings, now);
    run(a, 1s);
    a.given.clear();
    now += options.lease.term;
    ControlActions actions;
    advanceCommands(a.orders, settings, options, 0, now, actions);
    for (const ControlAction& action : actions)
        CHECK_FALSE(std::holds_alternative<SendEngineCommand>(action));
}

TEST(EngineCommands, aNewStateIsOrderedOnlyAfterTheOrderUnderWayEnded)
{
    Orderer a("a", settings, now);
    run(a, 1s);
    const std::vector<SendEngineCommand> underWay = a.given;
    a.given.clear();
    settings = makeSettings("2");
    applySettings(a.orders, settings, now);
    run(a, 5s);
    CHECK(a.given.empty());
    handleCommandAnswered(a.orders, { underWay.front().target, underWay.front().desired, EngineCommandProgress::Reached }, now);
    run(a, 1s);
    LONGS_EQUAL(1, a.given.size());
    CHECK(a.given.front().desired.version == "2");
}

TEST(EngineCommands, anAnswerToAnEarlierStateDoesNotCountAsReached)
{
    Orderer a("a", settings, now);
    run(a, 1s);
    settings = makeSettings("2");
    applySettings(a.orders, settings, now);
    answerAll(a, EngineCommandProgress::Reached);
    CHECK_FALSE(hasReachedState(a.orders, TargetId("e1")));
}
