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

/// One instance's command state and the commands that it sent.
struct Sender {
    PoolCommands commands;
    std::vector<SendEngineCommand> sent;

    Sender(const char* instance, const Settings& settings, SteadyTime now)
        : commands(makePoolCommands(drafts, InstanceId(instance), now))
    {
        applySettings(commands, settings, now);
    }
};

} // namespace

TEST_GROUP(EngineCommands)
{
    EngineCommandOptions options;
    SteadyTime now { 1h };
    Settings settings { makeSettings("1") };
    std::optional<LeaseRow> row;

    void serveLease(Sender & sender, const AccessLease& access)
    {
        LeaseAnswer answer = LeaseAnswer::Done;
        if (access.step.operation == LeaseOperation::Write) {
            if (row == access.step.expected)
                row = access.step.row;
            else
                answer = LeaseAnswer::ConditionFailed;
        }
        handlePoolLeaseAnswered(sender.commands, { access.lease, access.step.operation, answer, row }, now);
    }

    void step(Sender & sender, std::size_t rank = 0)
    {
        ControlActions actions;
        advanceCommands(sender.commands, settings, options, rank, now, actions);
        for (const ControlAction& action : actions) {
            if (const auto* access = std::get_if<AccessLease>(&action))
                serveLease(sender, *access);
            if (const auto* command = std::get_if<SendEngineCommand>(&action))
                sender.sent.push_back(*command);
        }
    }

    void run(Sender & sender, Duration length, std::size_t rank = 0)
    {
        for (SteadyTime end = now + length; now < end; now += 100ms)
            step(sender, rank);
    }

    void answerAll(Sender & sender, EngineCommandProgress progress)
    {
        for (const SendEngineCommand& command : sender.sent)
            handleCommandAnswered(sender.commands, { command.target, command.desired, progress }, now);
        sender.sent.clear();
    }
};

TEST(EngineCommands, noCommandIsSentBeforeTheLeaseIsHeld)
{
    Sender a("a", settings, now);
    ControlActions actions;
    advanceCommands(a.commands, settings, options, 0, now, actions);
    LONGS_EQUAL(1, actions.size());
    CHECK(std::holds_alternative<AccessLease>(actions.front()));
}

TEST(EngineCommands, onlyAFewEnginesLoadAtOnce)
{
    Sender a("a", settings, now);
    run(a, 1s);
    LONGS_EQUAL(options.maxLoading, a.sent.size());
    answerAll(a, EngineCommandProgress::InProgress);
    run(a, 1s);
    CHECK(a.sent.empty());
}

TEST(EngineCommands, nextEngineLoadsWhenOneHasReachedItsState)
{
    Sender a("a", settings, now);
    run(a, 1s);
    answerAll(a, EngineCommandProgress::Reached);
    run(a, 200ms);
    LONGS_EQUAL(1, a.sent.size());
    CHECK(a.sent.front().target == TargetId("e3"));
    CHECK(hasReachedState(a.commands, TargetId("e1")));
    CHECK_FALSE(hasReachedState(a.commands, TargetId("e3")));
}

TEST(EngineCommands, reachedStateIsCheckedAgain)
{
    Sender a("a", settings, now);
    for (int i = 0; i < 20; ++i) {
        run(a, 500ms);
        answerAll(a, EngineCommandProgress::Reached);
    }
    now += options.checkPeriod;
    run(a, 20s);
    CHECK_FALSE(a.sent.empty());
}

TEST(EngineCommands, commandsCarryTheFencingNumberOfTheLease)
{
    Sender a("a", settings, now);
    run(a, 1s);
    CHECK(a.sent.front().fence.number == row->number);
    CHECK(a.sent.front().fence.notAfter < now + options.lease.term);
}

TEST(EngineCommands, enginesWithoutFencingWaitForTheLongestCommand)
{
    settings = makeSettings("1", false);
    Sender a("a", settings, now);
    run(a, options.lease.maxCommandDuration - 1s);
    CHECK(a.sent.empty());
    run(a, 2s);
    CHECK_FALSE(a.sent.empty());
}

TEST(EngineCommands, laterInstancesTakeTheLeaseAfterADelay)
{
    Sender b("b", settings, now);
    run(b, options.rankDelay - 1s, 1);
    CHECK_FALSE(row.has_value());
    run(b, 2s, 1);
    CHECK(row.has_value());
}

TEST(EngineCommands, holderSuspendedPastItsLeaseSendsNoCommand)
{
    Sender a("a", settings, now);
    run(a, 1s);
    a.sent.clear();
    now += options.lease.term;
    ControlActions actions;
    advanceCommands(a.commands, settings, options, 0, now, actions);
    for (const ControlAction& action : actions)
        CHECK_FALSE(std::holds_alternative<SendEngineCommand>(action));
}

TEST(EngineCommands, newStateIsSentOnlyAfterTheOutstandingCommandEnded)
{
    Sender a("a", settings, now);
    run(a, 1s);
    const std::vector<SendEngineCommand> outstanding = a.sent;
    a.sent.clear();
    settings = makeSettings("2");
    applySettings(a.commands, settings, now);
    run(a, 5s);
    CHECK(a.sent.empty());
    handleCommandAnswered(a.commands, { outstanding.front().target, outstanding.front().desired, EngineCommandProgress::Reached }, now);
    run(a, 1s);
    LONGS_EQUAL(1, a.sent.size());
    CHECK(a.sent.front().desired.version == "2");
}

TEST(EngineCommands, answerForAnEarlierStateDoesNotCountAsReached)
{
    Sender a("a", settings, now);
    run(a, 1s);
    settings = makeSettings("2");
    applySettings(a.commands, settings, now);
    answerAll(a, EngineCommandProgress::Reached);
    CHECK_FALSE(hasReachedState(a.commands, TargetId("e1")));
}
