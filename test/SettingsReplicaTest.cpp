#include "core/SettingsReplica.h"
#include "core/Guard.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

// Four listed instances: a (this one), b, c and d. The view's age limit is 3 s.
TEST_GROUP(SettingsReplica)
{
    SteadyTime now { SteadyTime(1h) };
    SettingsReplica replica { makeSettingsReplica(InstanceId("a"), now) };

    void setup() override { list({ "a", "b", "c", "d" }); }
    void teardown() override { disableGuard(GuardId::None); }

    void list(const std::vector<std::string>& names)
    {
        InstanceListRead read;
        for (const std::string& name : names)
            read.instances.push_back({ .instance = InstanceId(name) });
        handleInstanceListRead(replica, read, now);
    }

    ControlActions arrive(std::uint64_t version)
    {
        auto settings = std::make_shared<Settings>();
        settings->version = SettingsVersion(version);
        return handleSettingsArrived(replica, { settings }, now);
    }

    ControlActions head(std::uint64_t version, Duration ago = 0s)
    {
        return handleHeadRead(replica, { .answered = true, .version = SettingsVersion(version), .readStartedAt = now - ago }, now);
    }

    ControlActions answer(const std::string& peer, std::uint64_t version, Duration ago = 0s, std::optional<Duration> storeAge = {})
    {
        Heartbeat news { .instance = InstanceId(peer), .settingsVersion = SettingsVersion(version), .storeConfirmedAge = storeAge };
        return handleHeartbeatAnswered(replica, { .heartbeat = news, .sentAt = now - ago }, now);
    }

    /// Settings of a version, confirmed by the store, with the peers asked.
    void establish(std::uint64_t version)
    {
        for (const char* peer : { "b", "c", "d" })
            handleHeartbeatLost(replica, { InstanceId(peer) });
        head(version);
        arrive(version);
        head(version);
    }

    template <typename Action>
    static int count(const ControlActions& actions)
    {
        int found = 0;
        for (const ControlAction& action : actions)
            found += std::holds_alternative<Action>(action) ? 1 : 0;
        return found;
    }
};

TEST(SettingsReplica, holdsNothingAtFirst)
{
    CHECK_FALSE(mayDispatch(replica, now));
    CHECK(versionInForce(replica).isNone());
    CHECK_FALSE(confirmedUntil(replica).has_value());
}

TEST(SettingsReplica, viewLastsFromTheStartOfTheReadThatConfirmedIt)
{
    establish(5);
    now += 1s;
    head(5, 500ms);
    CHECK(confirmedUntil(replica) == now - 500ms + 3s);
    now += 2'499ms;
    CHECK(mayDispatch(replica, now));
    now += 1ms;
    CHECK_FALSE(mayDispatch(replica, now));
}

TEST(SettingsReplica, lateReadConfirmsNothing)
{
    establish(5);
    now += 10s;
    head(5, 4s);
    CHECK_FALSE(mayDispatch(replica, now));
}

TEST(SettingsReplica, staleViewIsRefusedByItsGuard)
{
    establish(5);
    now += 10s;
    disableGuard(GuardId::ViewAgeChecked);
    CHECK(mayDispatch(replica, now));
    disableGuard(GuardId::None);
    CHECK_FALSE(mayDispatch(replica, now));
}

TEST(SettingsReplica, higherVersionIsFetchedAndConfirmsNothingBefore)
{
    establish(5);
    now += 2s;
    LONGS_EQUAL(1, count<FetchSettings>(head(6)));
    now += 2s;
    CHECK_FALSE(mayDispatch(replica, now));
    arrive(6);
    head(6);
    CHECK(mayDispatch(replica, now));
}

TEST(SettingsReplica, lowerVersionIsNeverApplied)
{
    establish(5);
    arrive(4);
    LONGS_EQUAL(5, versionInForce(replica).value());
    disableGuard(GuardId::LowerVersionRefused);
    arrive(4);
    LONGS_EQUAL(4, versionInForce(replica).value());
}

TEST(SettingsReplica, storeThatWentBackRaisesOneAlarmAndConfirmsNothing)
{
    establish(5);
    now += 1s;
    LONGS_EQUAL(1, count<RaiseAlarm>(head(3)));
    LONGS_EQUAL(0, count<RaiseAlarm>(head(3)));
    now += 2s;
    CHECK_FALSE(mayDispatch(replica, now));
    LONGS_EQUAL(5, versionInForce(replica).value());
}

TEST(SettingsReplica, readThatStartedBeforeTheVersionArrivedIsNoStepBack)
{
    establish(5);
    now += 1s;
    arrive(6);
    LONGS_EQUAL(0, count<RaiseAlarm>(head(5, 500ms)));
}

TEST(SettingsReplica, majorityOfTheListedConfirmsWithoutTheStore)
{
    establish(5);
    now += 10s;
    answer("b", 5, 100ms);
    CHECK_FALSE(mayDispatch(replica, now));
    answer("c", 4, 200ms);
    CHECK(confirmedUntil(replica) == now - 200ms + 3s);
}

TEST(SettingsReplica, majorityIsAskedOrNothingIsConfirmed)
{
    establish(5);
    now += 10s;
    answer("b", 5);
    CHECK_FALSE(mayDispatch(replica, now));
    disableGuard(GuardId::MajorityAsked);
    answer("b", 5);
    CHECK(mayDispatch(replica, now));
}

TEST(SettingsReplica, peerWithAHigherVersionIsNoPartOfTheMajority)
{
    establish(5);
    now += 10s;
    answer("b", 5);
    LONGS_EQUAL(1, count<FetchSettings>(answer("c", 6)));
    CHECK_FALSE(mayDispatch(replica, now));
    answer("d", 5);
    CHECK(mayDispatch(replica, now));
}

TEST(SettingsReplica, peerThatHasConfirmedNothingIsNoPartOfTheMajority)
{
    establish(5);
    now += 10s;
    answer("b", 0);
    answer("c", 5);
    CHECK_FALSE(mayDispatch(replica, now));
}

TEST(SettingsReplica, instanceThatIsNotListedIsNoPartOfTheMajority)
{
    establish(5);
    now += 10s;
    answer("b", 5);
    answer("x", 5);
    CHECK_FALSE(mayDispatch(replica, now));
}

TEST(SettingsReplica, droppedInstanceCountsForAWhile)
{
    establish(5);
    now += 10s;
    list({ "a", "b" });
    answer("b", 5);
    CHECK_FALSE(mayDispatch(replica, now));
    now += 20s;
    list({ "a", "b" });
    answer("b", 5);
    CHECK(mayDispatch(replica, now));
}

TEST(SettingsReplica, aPeersStoreConfirmationIsPassedOn)
{
    establish(5);
    now += 10s;
    answer("b", 5, 100ms, 400ms);
    CHECK(confirmedUntil(replica) == now - 500ms + 3s);
    LONGS_EQUAL(500, std::chrono::duration_cast<std::chrono::milliseconds>(*storeConfirmedAge(replica, now)).count());
}

TEST(SettingsReplica, aPeersConfirmationOfAnotherVersionIsNot)
{
    establish(5);
    now += 10s;
    answer("b", 4, 100ms, 400ms);
    CHECK_FALSE(mayDispatch(replica, now));
}

TEST(SettingsReplica, restartedInstanceDoesNotCountItself)
{
    handleHeartbeatLost(replica, { InstanceId("d") });
    answer("b", 5);
    answer("c", 5);
    arrive(5);
    CHECK(versionToReport(replica).isNone());
    CHECK_FALSE(mayDispatch(replica, now));
    answer("d", 5);
    CHECK(mayDispatch(replica, now));
    LONGS_EQUAL(5, versionToReport(replica).value());
}

TEST(SettingsReplica, freshInstanceAsksItsPeersBeforeItTrustsARestoredStore)
{
    head(3);
    arrive(3);
    head(3);
    CHECK_FALSE(mayDispatch(replica, now));
    answer("b", 5);
    arrive(5);
    LONGS_EQUAL(5, versionInForce(replica).value());
    CHECK_FALSE(mayDispatch(replica, now));
}

TEST(SettingsReplica, freshInstanceWithoutPeersStartsFromTheStoreAfterAWhile)
{
    head(3);
    arrive(3);
    now += 2s;
    head(3);
    CHECK(mayDispatch(replica, now));
}

TEST(SettingsReplica, freshInstanceFetchesFromAPeerWhileTheStoreIsDown)
{
    ControlActions actions = answer("c", 5);
    STRCMP_EQUAL("c", std::get<FetchSettings>(actions.at(0)).peer.value().c_str());
}

TEST(SettingsReplica, failedFetchMovesOnToTheNextSource)
{
    answer("c", 5);
    handleSettingsArrived(replica, {}, now);
    now += 300ms;
    ControlActions actions = tick(replica, now);
    bool fromStore = false;
    for (const ControlAction& action : actions) {
        if (const auto* fetch = std::get_if<FetchSettings>(&action))
            fromStore = fetch->peer.isEmpty();
    }
    CHECK(fromStore);
}

TEST(SettingsReplica, headIsReadOncePerPeriod)
{
    LONGS_EQUAL(1, count<ReadSettingsHead>(tick(replica, now)));
    LONGS_EQUAL(0, count<ReadSettingsHead>(tick(replica, now + 999ms)));
    head(0);
    LONGS_EQUAL(1, count<ReadSettingsHead>(tick(replica, now + 1s)));
}

TEST(SettingsReplica, changeCountsAsAcceptedWhenAMajorityHoldsIt)
{
    establish(5);
    answer("b", 5);
    CHECK(majorityVersion(replica, now).isNone());
    answer("c", 4);
    LONGS_EQUAL(4, majorityVersion(replica, now).value());
    answer("d", 5);
    LONGS_EQUAL(5, majorityVersion(replica, now).value());
}

TEST(SettingsReplica, acceptWaitsForMajorityUnlessItsGuardIsOff)
{
    establish(5);
    answer("b", 5);
    CHECK(majorityVersion(replica, now).isNone());
    disableGuard(GuardId::AcceptWaitsForMajority);
    LONGS_EQUAL(5, majorityVersion(replica, now).value());
}

TEST(SettingsReplica, majorityIsHeardOnlyWithinTheAgeLimit)
{
    answer("b", 0);
    CHECK_FALSE(reachesMajority(replica, now));
    answer("c", 0);
    CHECK(reachesMajority(replica, now));
    CHECK_FALSE(reachesMajority(replica, now + 3'001ms));
}

TEST(SettingsReplica, cutOffInstanceRaisesOneAlarm)
{
    establish(5);
    now += 4s;
    LONGS_EQUAL(2, count<RaiseAlarm>(tick(replica, now)));
    LONGS_EQUAL(0, count<RaiseAlarm>(tick(replica, now + 100ms)));
}

TEST(SettingsReplica, olderAnswerOfAPeerIsIgnored)
{
    establish(5);
    answer("b", 5);
    answer("b", 0, 1s);
    LONGS_EQUAL(5, replica.peers.at(InstanceId("b")).version.value());
}

TEST(SettingsReplica, ofTwoMajoritiesWithoutTheStoreOneKnowsTheAcceptedChange)
{
    // b and c hold the accepted version 6; d is cut off from them. Neither a with d alone nor d can confirm 5.
    establish(5);
    now += 10s;
    answer("d", 5);
    CHECK_FALSE(mayDispatch(replica, now));
    answer("b", 6);
    answer("c", 6);
    CHECK_FALSE(mayDispatch(replica, now));
}
