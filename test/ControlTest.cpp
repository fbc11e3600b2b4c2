#include "core/Control.h"
#include "core/Invariant.h"
#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

namespace {

const PoolId drafts("drafts");
const PoolId registry("registry");
const ClientAccountId account("clerks");

std::shared_ptr<const Settings> makeSettings(std::uint64_t version)
{
    auto settings = std::make_shared<Settings>();
    settings->version = SettingsVersion(version);
    settings->tiers = { { "low", TierLevel { 0 } }, { "high", TierLevel { 1 } } };
    settings->accounts[account] = { .id = account };
    settings->pools[drafts] = { .id = drafts, .models = { ModelId("draft") }, .targets = { TargetId("e1"), TargetId("e2") } };
    settings->pools[registry] = { .id = registry, .kind = TargetKind::PlainService, .service = "registry", .targets = { TargetId("s1") } };
    for (const char* name : { "e1", "e2" })
        settings->targets[TargetId(name)] = { .id = TargetId(name), .pool = drafts, .host = "127.0.0.1", .port = 1 };
    settings->targets[TargetId("s1")] = { .id = TargetId("s1"), .pool = registry, .kind = TargetKind::PlainService, .host = "127.0.0.1", .port = 2 };
    return settings;
}

/// A single instance with a manual clock; `actions` holds the actions of the last event.
struct Fixture {
    ManualClock clock;
    Control control { ControlOptions { .instance = InstanceId("a"), .incarnation = Incarnation(1) }, clock.steadyNow() };
    ControlActions actions;
    std::uint64_t sequence { 0 };

    void send(const ControlEvent& event)
    {
        actions.clear();
        control.handle(event, clock.steadyNow(), actions);
    }

    void confirm(std::uint64_t version) { send(SettingsHeadRead { .answered = true, .version = SettingsVersion(version), .readStartedAt = clock.steadyNow() }); }

    void start()
    {
        InstanceListRead list;
        for (const char* name : { "a", "b", "c" })
            list.instances.push_back({ .instance = InstanceId(name), .host = "127.0.0.1", .port = 9 });
        send(list);
        send(SettingsArrived { makeSettings(1) });
        answerFrom("b");
        answerFrom("c");
        confirm(1);
    }

    /// Delivers a heartbeat answer of a peer that serves nothing and has not confirmed a version.
    void answerFrom(const char* peer)
    {
        Heartbeat heartbeat { .instance = InstanceId(peer), .incarnation = Incarnation(1), .sequence = ++sequence };
        heartbeat.pools = { { .pool = drafts }, { .pool = registry } };
        send(HeartbeatAnswered { .heartbeat = heartbeat, .sentAt = clock.steadyNow() });
    }

    template <typename Action>
    std::vector<Action> all() const
    {
        std::vector<Action> found;
        for (const ControlAction& action : actions) {
            if (const auto* typed = std::get_if<Action>(&action))
                found.push_back(*typed);
        }
        return found;
    }

    template <typename Action>
    Action only() const
    {
        const std::vector<Action> found = all<Action>();
        LONGS_EQUAL(1, found.size());
        return found.empty() ? Action {} : found.front();
    }
};

RequestArrived draft(const char* id)
{
    return { .request = RequestId(id), .account = account, .pool = drafts, .promptTokens = TokenCount(100), .answerTokens = TokenCount(50) };
}

RequestArrived registration(const char* id)
{
    return { .request = RequestId(id), .account = account, .pool = registry, .idempotent = false, .key = IdempotencyKey("k"), .bodyHash = 7 };
}

} // namespace

TEST_GROUP(Control)
{
    Fixture instance;
    std::uint64_t violationsBefore { invariantViolations() };

    void teardown() override { LONGS_EQUAL(violationsBefore, invariantViolations()); }
};

TEST(Control, refusesRequestsBeforeSettingsArrive)
{
    instance.send(draft("r1"));
    const auto answer = instance.only<FinalAnswer>();
    CHECK(answer.outcome == Outcome::NotRun);
    CHECK(answer.reason == Reason::NotReady);
    CHECK(answer.retryAfter.has_value());
    CHECK_FALSE(instance.control.isReady(instance.clock.steadyNow()));
}

TEST(Control, isReadyOnceSettingsAreConfirmed)
{
    instance.start();
    CHECK(instance.control.isReady(instance.clock.steadyNow()));
}

TEST(Control, sendsOneFinalAnswerForADispatch)
{
    instance.start();
    instance.send(draft("r1"));
    const auto dispatch = instance.only<Dispatch>();
    instance.send(DispatchEnded { .request = dispatch.request, .attempt = dispatch.attempt, .end = DispatchEnd::Completed });
    CHECK(instance.only<FinalAnswer>().outcome == Outcome::Completed);
    instance.send(DispatchEnded { .request = dispatch.request, .attempt = dispatch.attempt, .end = DispatchEnd::Completed });
    CHECK(instance.all<FinalAnswer>().empty());
    CHECK(instance.control.isDrained());
}

TEST(Control, limitsADispatchToTheEndOfTheSettingsView)
{
    instance.start();
    instance.send(draft("r1"));
    CHECK(instance.only<Dispatch>().notAfter == instance.clock.steadyNow() + std::chrono::milliseconds(3000));
}

TEST(Control, retriesAtAnotherTargetWhenTheDispatchDidNotStart)
{
    instance.start();
    instance.send(draft("r1"));
    const auto first = instance.only<Dispatch>();
    instance.send(DispatchEnded { .request = first.request, .attempt = first.attempt, .end = DispatchEnd::NotStarted });
    const auto second = instance.only<Dispatch>();
    CHECK(second.attempt != first.attempt);
    CHECK(second.target != first.target);
}

TEST(Control, doesNotRetryAfterALostAnswer)
{
    instance.start();
    instance.send(draft("r1"));
    const auto first = instance.only<Dispatch>();
    instance.send(DispatchEnded { .request = first.request, .attempt = first.attempt, .end = DispatchEnd::Lost });
    CHECK(instance.all<Dispatch>().empty());
    const auto answer = instance.only<FinalAnswer>();
    CHECK(answer.outcome == Outcome::Unknown);
    CHECK(answer.reason == Reason::AnswerLost);
}

TEST(Control, dispatchesAClaimedCallOnlyAfterTheClaimWriteSucceeds)
{
    instance.start();
    instance.send(registration("r1"));
    const auto write = instance.only<WriteClaim>();
    CHECK(instance.all<Dispatch>().empty());
    instance.send(ClaimAnswered { .request = RequestId("r1"), .attempt = write.row.attempt, .answer = StoreAnswer::Done, .row = write.row });
    const auto dispatch = instance.only<Dispatch>();
    CHECK(dispatch.attempt == write.row.attempt);
}

TEST(Control, dispatchesAClaimedCallAtMostOnceWhenItsAnswerIsLost)
{
    instance.start();
    instance.send(registration("r1"));
    const auto write = instance.only<WriteClaim>();
    instance.send(ClaimAnswered { .request = RequestId("r1"), .attempt = write.row.attempt, .answer = StoreAnswer::Done, .row = write.row });
    instance.send(DispatchEnded { .request = RequestId("r1"), .attempt = write.row.attempt, .end = DispatchEnd::Lost });
    CHECK(instance.all<Dispatch>().empty());
    CHECK(instance.only<FinalAnswer>().outcome == Outcome::Unknown);
    CHECK(instance.only<WriteClaim>().row.state == ClaimState::Lost);
}

TEST(Control, neitherDispatchesNorAnswersWhileAClaimWriteIsUnconfirmed)
{
    instance.start();
    instance.send(registration("r1"));
    const auto write = instance.only<WriteClaim>();
    instance.send(ClaimAnswered { .request = RequestId("r1"), .attempt = write.row.attempt, .answer = StoreAnswer::NoAnswer });
    CHECK(instance.all<Dispatch>().empty());
    CHECK(instance.all<FinalAnswer>().empty());
}

TEST(Control, stopsDispatchingOnAStaleView)
{
    instance.start();
    instance.clock.advance(std::chrono::seconds(4));
    instance.send(draft("r1"));
    CHECK(instance.all<Dispatch>().empty());
    CHECK_FALSE(instance.control.isReady(instance.clock.steadyNow()));
}

TEST(Control, answersWaitingRequestsAfterTheStaleViewGracePeriod)
{
    instance.start();
    instance.clock.advance(std::chrono::seconds(4));
    instance.send(draft("r1"));
    instance.clock.advance(std::chrono::milliseconds(1100));
    instance.send(Tick {});
    const auto answer = instance.only<FinalAnswer>();
    CHECK(answer.outcome == Outcome::NotRun);
    CHECK(answer.reason == Reason::ViewStale);
}

TEST(Control, dispatchesAgainOnceTheViewIsConfirmed)
{
    instance.start();
    instance.clock.advance(std::chrono::seconds(4));
    instance.send(draft("r1"));
    instance.confirm(1);
    CHECK(instance.all<Dispatch>().size() == 1);
}

TEST(Control, keepsSettingsWhenTheStoreReturnsAnOlderVersion)
{
    instance.start();
    instance.send(SettingsArrived { makeSettings(5) });
    instance.confirm(5);
    instance.confirm(3);
    CHECK(instance.only<RaiseAlarm>().kind == AlarmKind::SettingsRolledBack);
    instance.send(SettingsArrived { makeSettings(3) });
    LONGS_EQUAL(5, instance.control.settings()->version.value());
}

TEST(Control, dispatchesNothingToALeavingTarget)
{
    instance.start();
    auto settings = std::make_shared<Settings>(*makeSettings(2));
    for (auto& [id, target] : settings->targets) {
        target.mark = TargetMark::Leaving;
        target.markVersion = SettingsVersion(2);
    }
    instance.send(SettingsArrived { settings });
    instance.confirm(2);
    instance.send(draft("r1"));
    CHECK(instance.all<Dispatch>().empty());
}

TEST(Control, answersWaitingRequestsImmediatelyOnShutdown)
{
    instance.start();
    instance.clock.advance(std::chrono::seconds(4));
    instance.send(draft("r1"));
    instance.send(ShutdownRequested {});
    const auto answer = instance.only<FinalAnswer>();
    CHECK(answer.outcome == Outcome::NotRun);
    CHECK(answer.reason == Reason::ShuttingDown);
    CHECK(instance.control.isDrained());
}

TEST(Control, finishesDispatchedRequestsOnShutdown)
{
    instance.start();
    instance.send(draft("r1"));
    const auto dispatch = instance.only<Dispatch>();
    instance.send(ShutdownRequested {});
    CHECK(instance.all<FinalAnswer>().empty());
    CHECK(instance.all<CancelDispatch>().empty());
    instance.send(DispatchEnded { .request = dispatch.request, .attempt = dispatch.attempt, .end = DispatchEnd::Completed });
    CHECK(instance.only<FinalAnswer>().outcome == Outcome::Completed);
}

TEST(Control, cancelsAnIdempotentRequestWhenItsCallerDisconnects)
{
    instance.start();
    instance.send(draft("r1"));
    const auto dispatch = instance.only<Dispatch>();
    instance.send(CallerDisconnected { RequestId("r1") });
    CHECK(instance.only<CancelDispatch>().attempt == dispatch.attempt);
}

TEST(Control, finishesAClaimedCallWhenItsCallerDisconnects)
{
    instance.start();
    instance.send(registration("r1"));
    const auto write = instance.only<WriteClaim>();
    instance.send(ClaimAnswered { .request = RequestId("r1"), .attempt = write.row.attempt, .answer = StoreAnswer::Done, .row = write.row });
    instance.send(CallerDisconnected { RequestId("r1") });
    CHECK(instance.all<CancelDispatch>().empty());
    instance.send(DispatchEnded { .request = RequestId("r1"), .attempt = write.row.attempt, .end = DispatchEnd::Completed, .storedAnswer = "done" });
    const auto record = instance.only<WriteClaim>();
    CHECK(record.row.state == ClaimState::Completed);
    CHECK(record.row.storedAnswer == "done");
}

TEST(Control, closesTheKeyBeforeRefusingAClaimedCall)
{
    instance.start();
    instance.send(ShutdownRequested {});
    instance.send(registration("r1"));
    CHECK(instance.all<FinalAnswer>().empty());
    const auto write = instance.only<WriteClaim>();
    CHECK(write.row.state == ClaimState::Closed);
    instance.send(ClaimAnswered { .request = RequestId("r1"), .attempt = write.row.attempt, .answer = StoreAnswer::Done, .row = write.row });
    const auto answer = instance.only<FinalAnswer>();
    CHECK(answer.outcome == Outcome::NotRun);
    CHECK(answer.retryToken == 1);
}

TEST(Control, answersAHeartbeatWithItsOwnState)
{
    instance.start();
    Heartbeat heartbeat { .instance = InstanceId("b"), .incarnation = Incarnation(1), .sequence = 1 };
    instance.send(HeartbeatReceived { heartbeat });
    const auto answer = instance.only<AnswerHeartbeat>();
    CHECK(answer.to == InstanceId("b"));
    CHECK(answer.heartbeat.instance == InstanceId("a"));
    LONGS_EQUAL(1, answer.heartbeat.settingsVersion.value());
}
