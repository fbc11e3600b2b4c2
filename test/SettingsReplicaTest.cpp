#include "core/SettingsReplica.h"
#include "core/Guard.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

// The listed instances are a (this one), b, c and d. The view age limit is 3 s.
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

    ControlActions applySettings(std::uint64_t version)
    {
        auto settings = std::make_shared<Settings>();
        settings->version = SettingsVersion(version);
        return handleSettingsArrived(replica, { settings }, now);
    }

    ControlActions readHead(std::uint64_t version, Duration ago = 0s)
    {
        return handleHeadRead(replica, { .answered = true, .version = SettingsVersion(version), .readStartedAt = now - ago }, now);
    }

    ControlActions answer(const std::string& peer, std::uint64_t version, Duration ago = 0s, std::optional<Duration> storeAge = {})
    {
        Heartbeat heartbeat { .instance = InstanceId(peer), .settingsVersion = SettingsVersion(version), .storeConfirmedAge = storeAge };
        return handleHeartbeatAnswered(replica, { .heartbeat = heartbeat, .sentAt = now - ago }, now);
    }

    /// Applies settings of a version that the table service confirms, with all peers contacted.
    void confirmFromStore(std::uint64_t version)
    {
        for (const char* peer : { "b", "c", "d" })
            handleHeartbeatLost(replica, { InstanceId(peer) });
        readHead(version);
        applySettings(version);
        readHead(version);
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

TEST(SettingsReplica, hasNoSettingsAtFirst)
{
    CHECK_FALSE(mayDispatch(replica, now));
    CHECK(versionInForce(replica).isNone());
    CHECK_FALSE(confirmedUntil(replica).has_value());
}

TEST(SettingsReplica, viewAgeCountsFromTheStartOfTheConfirmingRead)
{
    confirmFromStore(5);
    now += 1s;
    readHead(5, 500ms);
    CHECK(confirmedUntil(replica) == now - 500ms + 3s);
    now += 2'499ms;
    CHECK(mayDispatch(replica, now));
    now += 1ms;
    CHECK_FALSE(mayDispatch(replica, now));
}

TEST(SettingsReplica, readOlderThanTheAgeLimitDoesNotConfirm)
{
    confirmFromStore(5);
    now += 10s;
    readHead(5, 4s);
    CHECK_FALSE(mayDispatch(replica, now));
}

TEST(SettingsReplica, staleViewIsRefusedUnlessItsGuardIsOff)
{
    confirmFromStore(5);
    now += 10s;
    disableGuard(GuardId::ViewAgeChecked);
    CHECK(mayDispatch(replica, now));
    disableGuard(GuardId::None);
    CHECK_FALSE(mayDispatch(replica, now));
}

TEST(SettingsReplica, higherVersionIsFetchedBeforeItIsConfirmed)
{
    confirmFromStore(5);
    now += 2s;
    LONGS_EQUAL(1, count<FetchSettings>(readHead(6)));
    now += 2s;
    CHECK_FALSE(mayDispatch(replica, now));
    applySettings(6);
    readHead(6);
    CHECK(mayDispatch(replica, now));
}

TEST(SettingsReplica, lowerVersionIsNeverApplied)
{
    confirmFromStore(5);
    applySettings(4);
    LONGS_EQUAL(5, versionInForce(replica).value());
    disableGuard(GuardId::LowerVersionRefused);
    applySettings(4);
    LONGS_EQUAL(4, versionInForce(replica).value());
}

TEST(SettingsReplica, olderVersionInTheStoreRaisesOneAlarmAndDoesNotConfirm)
{
    confirmFromStore(5);
    now += 1s;
    LONGS_EQUAL(1, count<RaiseAlarm>(readHead(3)));
    LONGS_EQUAL(0, count<RaiseAlarm>(readHead(3)));
    now += 2s;
    CHECK_FALSE(mayDispatch(replica, now));
    LONGS_EQUAL(5, versionInForce(replica).value());
}

TEST(SettingsReplica, readStartedBeforeTheVersionArrivedRaisesNoAlarm)
{
    confirmFromStore(5);
    now += 1s;
    applySettings(6);
    LONGS_EQUAL(0, count<RaiseAlarm>(readHead(5, 500ms)));
}

TEST(SettingsReplica, majorityOfListedInstancesConfirmsWithoutTheStore)
{
    confirmFromStore(5);
    now += 10s;
    answer("b", 5, 100ms);
    CHECK_FALSE(mayDispatch(replica, now));
    answer("c", 4, 200ms);
    CHECK(confirmedUntil(replica) == now - 200ms + 3s);
}

TEST(SettingsReplica, confirmationRequiresAMajorityUnlessItsGuardIsOff)
{
    confirmFromStore(5);
    now += 10s;
    answer("b", 5);
    CHECK_FALSE(mayDispatch(replica, now));
    disableGuard(GuardId::MajorityAsked);
    answer("b", 5);
    CHECK(mayDispatch(replica, now));
}

TEST(SettingsReplica, peerWithAHigherVersionDoesNotCountForTheMajority)
{
    confirmFromStore(5);
    now += 10s;
    answer("b", 5);
    LONGS_EQUAL(1, count<FetchSettings>(answer("c", 6)));
    CHECK_FALSE(mayDispatch(replica, now));
    answer("d", 5);
    CHECK(mayDispatch(replica, now));
}

TEST(SettingsReplica, peerWithoutConfirmedVersionDoesNotCountForTheMajority)
{
    confirmFromStore(5);
    now += 10s;
    answer("b", 0);
    answer("c", 5);
    CHECK_FALSE(mayDispatch(replica, now));
}

TEST(SettingsReplica, unlistedInstanceDoesNotCountForTheMajority)
{
    confirmFromStore(5);
    now += 10s;
    answer("b", 5);
    answer("x", 5);
    CHECK_FALSE(mayDispatch(replica, now));
}

TEST(SettingsReplica, instanceDroppedFromTheListCountsUntilTheListLagEnds)
{
    confirmFromStore(5);
    now += 10s;
    list({ "a", "b" });
    answer("b", 5);
    CHECK_FALSE(mayDispatch(replica, now));
    now += 20s;
    list({ "a", "b" });
    answer("b", 5);
    CHECK(mayDispatch(replica, now));
}

TEST(SettingsReplica, storeConfirmationOfAPeerConfirms)
{
    confirmFromStore(5);
    now += 10s;
    answer("b", 5, 100ms, 400ms);
    CHECK(confirmedUntil(replica) == now - 500ms + 3s);
    LONGS_EQUAL(500, std::chrono::duration_cast<std::chrono::milliseconds>(*storeConfirmedAge(replica, now)).count());
}

TEST(SettingsReplica, storeConfirmationOfAnotherVersionDoesNotConfirm)
{
    confirmFromStore(5);
    now += 10s;
    answer("b", 4, 100ms, 400ms);
    CHECK_FALSE(mayDispatch(replica, now));
}

TEST(SettingsReplica, restartedInstanceDoesNotCountItself)
{
    handleHeartbeatLost(replica, { InstanceId("d") });
    answer("b", 5);
    answer("c", 5);
    applySettings(5);
    CHECK(versionToReport(replica).isNone());
    CHECK_FALSE(mayDispatch(replica, now));
    answer("d", 5);
    CHECK(mayDispatch(replica, now));
    LONGS_EQUAL(5, versionToReport(replica).value());
}

TEST(SettingsReplica, startingInstanceContactsPeersBeforeItTrustsTheStore)
{
    readHead(3);
    applySettings(3);
    readHead(3);
    CHECK_FALSE(mayDispatch(replica, now));
    answer("b", 5);
    applySettings(5);
    LONGS_EQUAL(5, versionInForce(replica).value());
    CHECK_FALSE(mayDispatch(replica, now));
}

TEST(SettingsReplica, startingInstanceTrustsTheStoreAfterSuspectAfterWithoutPeers)
{
    readHead(3);
    applySettings(3);
    now += 2s;
    readHead(3);
    CHECK(mayDispatch(replica, now));
}

TEST(SettingsReplica, startingInstanceFetchesFromAPeerWhileTheStoreIsUnavailable)
{
    ControlActions actions = answer("c", 5);
    STRCMP_EQUAL("c", std::get<FetchSettings>(actions.at(0)).peer.value().c_str());
}

TEST(SettingsReplica, failedFetchSelectsTheNextSource)
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
    readHead(0);
    LONGS_EQUAL(1, count<ReadSettingsHead>(tick(replica, now + 1s)));
}

TEST(SettingsReplica, majorityVersionIsTheHighestThatAMajorityHas)
{
    confirmFromStore(5);
    answer("b", 5);
    CHECK(majorityVersion(replica, now).isNone());
    answer("c", 4);
    LONGS_EQUAL(4, majorityVersion(replica, now).value());
    answer("d", 5);
    LONGS_EQUAL(5, majorityVersion(replica, now).value());
}

TEST(SettingsReplica, acceptanceWaitsForAMajorityUnlessItsGuardIsOff)
{
    confirmFromStore(5);
    answer("b", 5);
    CHECK(majorityVersion(replica, now).isNone());
    disableGuard(GuardId::AcceptWaitsForMajority);
    LONGS_EQUAL(5, majorityVersion(replica, now).value());
}

TEST(SettingsReplica, majorityIsReachedOnlyWithinTheAgeLimit)
{
    answer("b", 0);
    CHECK_FALSE(reachesMajority(replica, now));
    answer("c", 0);
    CHECK(reachesMajority(replica, now));
    CHECK_FALSE(reachesMajority(replica, now + 3'001ms));
}

TEST(SettingsReplica, cutOffInstanceRaisesItsAlarmsOnce)
{
    confirmFromStore(5);
    now += 4s;
    LONGS_EQUAL(2, count<RaiseAlarm>(tick(replica, now)));
    LONGS_EQUAL(0, count<RaiseAlarm>(tick(replica, now + 100ms)));
}

TEST(SettingsReplica, olderAnswerOfAPeerIsIgnored)
{
    confirmFromStore(5);
    answer("b", 5);
    answer("b", 0, 1s);
    LONGS_EQUAL(5, replica.peers.at(InstanceId("b")).version.value());
}

TEST(SettingsReplica, olderVersionIsNotConfirmedOnceAMajorityAcceptedAHigherOne)
{
    // b and c hold the accepted version 6, and d can't reach them. Neither a together with d nor d alone can confirm 5.
    confirmFromStore(5);
    now += 10s;
    answer("d", 5);
    CHECK_FALSE(mayDispatch(replica, now));
    answer("b", 6);
    answer("c", 6);
    CHECK_FALSE(mayDispatch(replica, now));
}
