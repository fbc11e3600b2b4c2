#include "core/Lease.h"
#include "core/Guard.h"
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

namespace {

/// The row of one lease in the table service.
struct LeaseStore {
    std::optional<LeaseRow> row;

    LeaseAnswer write(const LeaseStep& step)
    {
        if (row != step.expected)
            return LeaseAnswer::ConditionFailed;
        row = step.row;
        return LeaseAnswer::Done;
    }
};

} // namespace

TEST_GROUP(Lease)
{
    LeaseOptions options;
    SteadyTime now { 1h };
    LeaseStore store;
    LeaseState a = makeLease(LeaseId { "engine-1" }, InstanceId { "a" }, now);
    LeaseState b = makeLease(LeaseId { "engine-1" }, InstanceId { "b" }, now);

    void serve(LeaseState & lease, const LeaseStep& step)
    {
        if (step.operation == LeaseOperation::None)
            return;
        LeaseAnswer answer = step.operation == LeaseOperation::Write ? store.write(step) : LeaseAnswer::Done;
        handleLeaseAnswered(lease, step.operation, answer, store.row, now);
    }

    void run(LeaseState & lease, Duration length)
    {
        for (SteadyTime end = now + length; now < end; now += 100ms)
            serve(lease, nextLeaseStep(lease, options, true, now));
    }

    void hold(LeaseState & lease)
    {
        run(lease, 300ms);
        CHECK(lease.heldSince.has_value());
    }

    void teardown() override { disableGuard(GuardId::None); }
};

TEST(Lease, freeLeaseIsTakenWithTheFirstNumber)
{
    hold(a);
    CHECK(store.row->holder == InstanceId { "a" });
    CHECK(store.row->number == FencingNumber { 1 });
}

TEST(Lease, holderRenewsAndMaySendCommands)
{
    run(a, options.maxCommandDuration + 20s);
    CHECK(store.row->renewals > 3);
    CHECK(store.row->number == FencingNumber { 1 });
    CHECK(maySendCommand(a, options, false, now));
}

TEST(Lease, unwantedLeaseNeedsNoOperation)
{
    CHECK(nextLeaseStep(a, options, false, now).operation == LeaseOperation::None);
}

TEST(Lease, leaseOfARunningHolderIsNotTakenOver)
{
    hold(a);
    for (int i = 0; i < 60; ++i) {
        run(a, 500ms);
        run(b, 500ms);
    }
    CHECK(store.row->holder == InstanceId { "a" });
    CHECK(!maySendCommand(b, options, true, now));
}

TEST(Lease, expiredLeaseIsTakenOverWithAHigherNumber)
{
    hold(a);
    run(b, options.term - 1s);
    CHECK(store.row->holder == InstanceId { "a" });
    run(b, 2s);
    CHECK(store.row->holder == InstanceId { "b" });
    CHECK(store.row->number == FencingNumber { 2 });
}

TEST(Lease, holderResumedAfterItsTermMaySendNoCommand)
{
    hold(a);
    now += options.term - options.safetyMargin;
    CHECK(!maySendCommand(a, options, true, now));
}

TEST(Lease, holderResumedAfterItsReplacementLosesTheLease)
{
    hold(a);
    run(b, options.term + 2s);
    run(a, 1s);
    CHECK(!a.heldSince.has_value());
}

TEST(Lease, newHolderWaitsForTheLongestCommandOfAnEngineWithoutFencing)
{
    hold(a);
    CHECK(maySendCommand(a, options, true, now));
    CHECK(!maySendCommand(a, options, false, now));
    run(a, options.maxCommandDuration);
    CHECK(maySendCommand(a, options, false, now));
}

TEST(Lease, fenceHasTheNumberAndEndsWithTheLease)
{
    hold(a);
    CommandFence fence = makeCommandFence(a, options);
    CHECK(fence.number == FencingNumber { 1 });
    CHECK(fence.notAfter == a.renewedAt + options.term - options.safetyMargin);
}

TEST(Lease, lostWriteAnswerIsReadBack)
{
    serve(a, nextLeaseStep(a, options, true, now));
    LeaseStep write = nextLeaseStep(a, options, true, now);
    CHECK(write.operation == LeaseOperation::Write);
    SteadyTime writeStart = now;
    store.write(write);
    now += options.operationTimeout;
    serve(a, nextLeaseStep(a, options, true, now));
    CHECK(a.heldSince.has_value());
    CHECK(a.renewedAt == writeStart);
}

TEST(Lease, lateRenewalDoesNotExtendTheTerm)
{
    hold(a);
    now += options.renewAfter;
    LeaseStep late = nextLeaseStep(a, options, true, now);
    SteadyTime lateStart = now;
    now += options.operationTimeout;
    serve(a, nextLeaseStep(a, options, true, now));
    store.write(late);
    run(a, 200ms);
    CHECK(a.renewedAt == lateStart);
}

// Found by support/soak --seed 19: a resumed holder received the late answer of a renewal from before its suspension.
TEST(Lease, lateAnswerOfAnEarlierWriteDoesNotRenew)
{
    hold(a);
    now += options.renewAfter;
    LeaseStep early = nextLeaseStep(a, options, true, now);
    store.write(early);
    now += options.operationTimeout;
    serve(a, nextLeaseStep(a, options, true, now));
    now += options.term + 1s;
    CHECK(nextLeaseStep(a, options, true, now).operation == LeaseOperation::Write);
    handleLeaseAnswered(a, LeaseOperation::Write, LeaseAnswer::Done, early.row, now);
    CHECK(!maySendCommand(a, options, true, now));
}

TEST(Lease, onlyOneInstanceTakesOverAnExpiredLease)
{
    hold(a);
    LeaseState c = makeLease(LeaseId { "engine-1" }, InstanceId { "c" }, now);
    serve(b, nextLeaseStep(b, options, true, now));
    serve(c, nextLeaseStep(c, options, true, now));
    now += options.term;
    LeaseStep stepOfB = nextLeaseStep(b, options, true, now);
    LeaseStep stepOfC = nextLeaseStep(c, options, true, now);
    serve(b, stepOfB);
    serve(c, stepOfC);
    CHECK(b.heldSince.has_value());
    CHECK(!c.heldSince.has_value());
}

#ifdef LIMPETPOND_TEST_HOOKS
TEST(Lease, withoutItsGuardAHolderSendsCommandsAfterItsLease)
{
    hold(a);
    disableGuard(GuardId::HolderStopsEarly);
    now += options.term;
    CHECK(maySendCommand(a, options, true, now));
}
#endif
