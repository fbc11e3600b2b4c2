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

/// One instance alone, with a clock that the test moves and the actions of the last event.
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
        hearFrom("b");
        hearFrom("c");
        confirm(1);
    }

    /// An answer of a peer that serves nothing and has not confirmed a version itself.
    void hearFrom(const char* peer)
    {
        Heartbeat news { .instance = InstanceId(peer), .incarnation = Incarnation(1), .sequence = ++sequence };
        news.pools = { { .pool = drafts }, { .pool = registry } };
        send(HeartbeatAnswered { .heartbeat = news, .sentAt = clock.steadyNow() });
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
    Fixture one;
    std::uint64_t violationsBefore { invariantViolations() };

    void teardown() override { LONGS_EQUAL(violationsBefore, invariantViolations()); }
};

TEST(Control, refusesRequestsBeforeItHoldsSettings)
{
    one.send(draft("r1"));
    const auto answer = one.only<FinalAnswer>();
    CHECK(answer.outcome == Outcome::NotRun);
    CHECK(answer.reason == Reason::NotReady);
    CHECK(answer.retryAfter.has_value());
    CHECK_FALSE(one.control.isReady(one.clock.steadyNow()));
}

TEST(Control, isReadyOnceItsSettingsAreConfirmed)
{
    one.start();
    CHECK(one.control.isReady(one.clock.steadyNow()));
}

TEST(Control, dispatchesADraftAndAnswersItOnce)
{
    one.start();
    one.send(draft("r1"));
    const auto dispatch = one.only<Dispatch>();
    one.send(DispatchEnded { .request = dispatch.request, .attempt = dispatch.attempt, .end = DispatchEnd::Completed });
    CHECK(one.only<FinalAnswer>().outcome == Outcome::Completed);
    one.send(DispatchEnded { .request = dispatch.request, .attempt = dispatch.attempt, .end = DispatchEnd::Completed });
    CHECK(one.all<FinalAnswer>().empty());
    CHECK(one.control.isDrained());
}

TEST(Control, bindsADispatchToTheEndOfItsView)
{
    one.start();
    one.send(draft("r1"));
    CHECK(one.only<Dispatch>().notAfter == one.clock.steadyNow() + std::chrono::milliseconds(3000));
}

TEST(Control, dispatchesAgainElsewhereWhenTheFirstProvablyDidNotStart)
{
    one.start();
    one.send(draft("r1"));
    const auto first = one.only<Dispatch>();
    one.send(DispatchEnded { .request = first.request, .attempt = first.attempt, .end = DispatchEnd::NotStarted });
    const auto second = one.only<Dispatch>();
    CHECK(second.attempt != first.attempt);
    CHECK(second.target != first.target);
}

TEST(Control, neverDispatchesAgainAfterALostAnswer)
{
    one.start();
    one.send(draft("r1"));
    const auto first = one.only<Dispatch>();
    one.send(DispatchEnded { .request = first.request, .attempt = first.attempt, .end = DispatchEnd::Lost });
    CHECK(one.all<Dispatch>().empty());
    const auto answer = one.only<FinalAnswer>();
    CHECK(answer.outcome == Outcome::Unknown);
    CHECK(answer.reason == Reason::AnswerLost);
}

TEST(Control, dispatchesAClaimedCallOnlyAfterItsClaimWasWon)
{
    one.start();
    one.send(registration("r1"));
    const auto write = one.only<WriteClaim>();
    CHECK(one.all<Dispatch>().empty());
    one.send(ClaimAnswered { .request = RequestId("r1"), .attempt = write.row.attempt, .answer = StoreAnswer::Done, .row = write.row });
    const auto dispatch = one.only<Dispatch>();
    CHECK(dispatch.attempt == write.row.attempt);
}

TEST(Control, dispatchesAClaimedCallAtMostOnceWhenItsAnswerIsLost)
{
    one.start();
    one.send(registration("r1"));
    const auto write = one.only<WriteClaim>();
    one.send(ClaimAnswered { .request = RequestId("r1"), .attempt = write.row.attempt, .answer = StoreAnswer::Done, .row = write.row });
    one.send(DispatchEnded { .request = RequestId("r1"), .attempt = write.row.attempt, .end = DispatchEnd::Lost });
    CHECK(one.all<Dispatch>().empty());
    CHECK(one.only<FinalAnswer>().outcome == Outcome::Unknown);
    CHECK(one.only<WriteClaim>().row.state == ClaimState::Lost);
}

TEST(Control, readsBackAClaimWriteWithoutAnswer)
{
    one.start();
    one.send(registration("r1"));
    const auto write = one.only<WriteClaim>();
    one.send(ClaimAnswered { .request = RequestId("r1"), .attempt = write.row.attempt, .answer = StoreAnswer::NoAnswer });
    CHECK(one.all<Dispatch>().empty());
    CHECK(one.all<FinalAnswer>().empty());
}

TEST(Control, stopsDispatchingOnAStaleView)
{
    one.start();
    one.clock.advance(std::chrono::seconds(4));
    one.send(draft("r1"));
    CHECK(one.all<Dispatch>().empty());
    CHECK_FALSE(one.control.isReady(one.clock.steadyNow()));
}

TEST(Control, answersWaitingRequestsOfAStaleViewAfterAShortGrace)
{
    one.start();
    one.clock.advance(std::chrono::seconds(4));
    one.send(draft("r1"));
    one.clock.advance(std::chrono::milliseconds(1100));
    one.send(Tick {});
    const auto answer = one.only<FinalAnswer>();
    CHECK(answer.outcome == Outcome::NotRun);
    CHECK(answer.reason == Reason::ViewStale);
}

TEST(Control, dispatchesAgainOnceTheViewIsConfirmed)
{
    one.start();
    one.clock.advance(std::chrono::seconds(4));
    one.send(draft("r1"));
    one.confirm(1);
    CHECK(one.all<Dispatch>().size() == 1);
}

TEST(Control, keepsItsSettingsWhenTheStoreShowsAnOlderVersion)
{
    one.start();
    one.send(SettingsArrived { makeSettings(5) });
    one.confirm(5);
    one.confirm(3);
    CHECK(one.only<RaiseAlarm>().kind == AlarmKind::SettingsWentBack);
    one.send(SettingsArrived { makeSettings(3) });
    LONGS_EQUAL(5, one.control.settings()->version.value());
}

TEST(Control, dispatchesNothingToALeavingTarget)
{
    one.start();
    auto settings = std::make_shared<Settings>(*makeSettings(2));
    for (auto& [id, target] : settings->targets) {
        target.mark = TargetMark::Leaving;
        target.markVersion = SettingsVersion(2);
    }
    one.send(SettingsArrived { settings });
    one.confirm(2);
    one.send(draft("r1"));
    CHECK(one.all<Dispatch>().empty());
}

TEST(Control, answersWaitingRequestsAtOnceOnShutdown)
{
    one.start();
    one.clock.advance(std::chrono::seconds(4));
    one.send(draft("r1"));
    one.send(ShutdownRequested {});
    const auto answer = one.only<FinalAnswer>();
    CHECK(answer.outcome == Outcome::NotRun);
    CHECK(answer.reason == Reason::ShuttingDown);
    CHECK(one.control.isDrained());
}

TEST(Control, letsRunningRequestsEndOnShutdown)
{
    one.start();
    one.send(draft("r1"));
    const auto dispatch = one.only<Dispatch>();
    one.send(ShutdownRequested {});
    CHECK(one.all<FinalAnswer>().empty());
    CHECK(one.all<CancelDispatch>().empty());
    one.send(DispatchEnded { .request = dispatch.request, .attempt = dispatch.attempt, .end = DispatchEnd::Completed });
    CHECK(one.only<FinalAnswer>().outcome == Outcome::Completed);
}

TEST(Control, cancelsADraftWhoseCallerIsGone)
{
    one.start();
    one.send(draft("r1"));
    const auto dispatch = one.only<Dispatch>();
    one.send(CallerDisconnected { RequestId("r1") });
    CHECK(one.only<CancelDispatch>().attempt == dispatch.attempt);
}

TEST(Control, letsAClaimedCallEndWhoseCallerIsGone)
{
    one.start();
    one.send(registration("r1"));
    const auto write = one.only<WriteClaim>();
    one.send(ClaimAnswered { .request = RequestId("r1"), .attempt = write.row.attempt, .answer = StoreAnswer::Done, .row = write.row });
    one.send(CallerDisconnected { RequestId("r1") });
    CHECK(one.all<CancelDispatch>().empty());
    one.send(DispatchEnded { .request = RequestId("r1"), .attempt = write.row.attempt, .end = DispatchEnd::Completed, .storedAnswer = "done" });
    const auto record = one.only<WriteClaim>();
    CHECK(record.row.state == ClaimState::Completed);
    CHECK(record.row.storedAnswer == "done");
}

TEST(Control, closesTheKeyBeforeAClaimedCallIsRefused)
{
    one.start();
    one.send(ShutdownRequested {});
    one.send(registration("r1"));
    CHECK(one.all<FinalAnswer>().empty());
    const auto write = one.only<WriteClaim>();
    CHECK(write.row.state == ClaimState::Closed);
    one.send(ClaimAnswered { .request = RequestId("r1"), .attempt = write.row.attempt, .answer = StoreAnswer::Done, .row = write.row });
    const auto answer = one.only<FinalAnswer>();
    CHECK(answer.outcome == Outcome::NotRun);
    CHECK(answer.retryToken == 1);
}

TEST(Control, answersAHeartbeatWithItsOwnNews)
{
    one.start();
    Heartbeat news { .instance = InstanceId("b"), .incarnation = Incarnation(1), .sequence = 1 };
    one.send(HeartbeatReceived { news });
    const auto answer = one.only<AnswerHeartbeat>();
    CHECK(answer.to == InstanceId("b"));
    CHECK(answer.heartbeat.instance == InstanceId("a"));
    LONGS_EQUAL(1, answer.heartbeat.settingsVersion.value());
}
