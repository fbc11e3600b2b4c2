#include "core/Membership.h"
#include <algorithm>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(Membership)
{
    SiteSettings site;
    SteadyTime now { 1h };
    Membership membership = makeMembership({ .self = InstanceId { "a" }, .incarnation = Incarnation { 5 } }, now);
    std::uint64_t sequence { 0 };

    void list(const std::vector<std::string>& names)
    {
        InstanceListRead read;
        for (const std::string& name : names)
            read.instances.push_back({ .instance = InstanceId { name }, .host = "127.0.0.1", .port = 1 });
        handleInstanceListRead(membership, read, now);
    }

    Heartbeat makeHeartbeat(const char* name, std::uint64_t incarnation = 1)
    {
        return { .instance = InstanceId { name }, .incarnation = Incarnation { incarnation }, .sequence = ++sequence };
    }

    void receive(const char* name, std::uint64_t incarnation = 1) { applyHeartbeat(membership, makeHeartbeat(name, incarnation), now); }

    void answer(const char* name) { applyHeartbeatAnswer(membership, makeHeartbeat(name), now, now); }

    std::vector<InstanceId> updateAfter(Duration step)
    {
        now += step;
        return updateMembership(membership, site, now);
    }

    MemberState stateOf(const char* name) { return membership.members.at(InstanceId { name }).state; }

    /// Lists `count` members and receives one heartbeat from each. Above `probeAllUpTo`, not all are probed.
    void listMany(int count)
    {
        std::vector<std::string> names;
        names.reserve(count);
        for (int i = 0; i < count; ++i)
            names.push_back("n" + std::to_string(100 + i));
        list(names);
        for (const std::string& name : names)
            receive(name.c_str());
    }
};

TEST(Membership, listedInstanceIsSuspectedUntilItsFirstHeartbeat)
{
    list({ "a", "b" });
    CHECK(stateOf("b") == MemberState::Suspected);
    receive("b");
    CHECK(stateOf("b") == MemberState::Live);
}

TEST(Membership, ownInstanceIsNotAMember)
{
    list({ "a" });
    receive("a");
    CHECK(membership.members.empty());
}

TEST(Membership, silentMemberIsSuspected)
{
    list({ "b" });
    receive("b");
    CHECK(updateAfter(site.suspectAfter - 1ms).empty());
    LONGS_EQUAL(1, updateAfter(1ms).size());
    CHECK(stateOf("b") == MemberState::Suspected);
}

TEST(Membership, silentMemberOffTheListDepartsAfterTheListLag)
{
    list({ "b" });
    receive("b");
    list({});
    updateAfter(membership.options.listLag - 1s);
    CHECK(stateOf("b") == MemberState::Suspected);
    updateAfter(1s);
    CHECK(stateOf("b") == MemberState::Departed);
}

TEST(Membership, memberOffTheListWithHeartbeatsStaysLive)
{
    list({ "b" });
    list({});
    now += membership.options.listLag;
    receive("b");
    updateAfter(1s);
    CHECK(stateOf("b") == MemberState::Live);
}

TEST(Membership, leavingMemberOffTheListDepartsOnceSilent)
{
    list({ "b" });
    Heartbeat last = makeHeartbeat("b");
    last.leaving = true;
    applyHeartbeat(membership, last, now);
    list({});
    updateAfter(site.suspectAfter);
    CHECK(stateOf("b") == MemberState::Departed);
}

TEST(Membership, restartedMemberHasTheNewIncarnation)
{
    list({ "b" });
    receive("b", 2);
    receive("b", 3);
    CHECK(membership.members.at(InstanceId { "b" }).incarnation == Incarnation { 3 });
}

TEST(Membership, heartbeatOfAnEarlierIncarnationIsIgnored)
{
    list({ "b" });
    receive("b", 3);
    updateAfter(site.suspectAfter);
    receive("b", 2);
    CHECK(stateOf("b") == MemberState::Suspected);
}

TEST(Membership, olderHeartbeatDoesNotMakeAMemberLive)
{
    list({ "b" });
    Heartbeat late = makeHeartbeat("b");
    receive("b");
    updateAfter(site.suspectAfter);
    applyHeartbeat(membership, late, now);
    CHECK(stateOf("b") == MemberState::Suspected);
}

TEST(Membership, departedMemberIsRemoved)
{
    list({ "b" });
    list({});
    updateAfter(membership.options.listLag);
    updateAfter(membership.options.forgetAfter);
    CHECK(membership.members.empty());
}

TEST(Membership, fewPeersAreAllProbedOnceAPeriod)
{
    list({ "b", "c", "d" });
    LONGS_EQUAL(3, chooseProbes(membership, site, now).size());
    LONGS_EQUAL(0, chooseProbes(membership, site, now + site.heartbeatPeriod - 1ms).size());
    LONGS_EQUAL(3, chooseProbes(membership, site, now + site.heartbeatPeriod).size());
}

TEST(Membership, manyPeersAreProbedAtRandom)
{
    listMany(40);
    std::set<InstanceId> probed;
    for (int period = 0; period < 400; ++period) {
        auto chosen = chooseProbes(membership, site, now);
        LONGS_EQUAL(membership.options.probesPerPeriod, chosen.size());
        probed.insert(chosen.begin(), chosen.end());
        now += site.heartbeatPeriod;
    }
    LONGS_EQUAL(40, probed.size());
}

TEST(Membership, sameSeedProbesTheSamePeers)
{
    Membership other = membership;
    listMany(40);
    std::swap(membership, other);
    listMany(40);
    CHECK(chooseProbes(membership, site, now) == chooseProbes(other, site, now));
}

TEST(Membership, withManyPeersLostProbesMakeAMemberSuspectedAndItsUpdateIsSent)
{
    listMany(40);
    handleHeartbeatLost(membership, { InstanceId { "n107" } });
    CHECK(updateAfter(1s).empty());
    auto probes = chooseProbes(membership, site, now);
    CHECK(std::find(probes.begin(), probes.end(), InstanceId { "n107" }) != probes.end());
    handleHeartbeatLost(membership, { InstanceId { "n107" } });
    LONGS_EQUAL(1, updateAfter(1s).size());
    for (auto& [instance, member] : membership.members)
        member.transmissionsLeft = instance == InstanceId { "n107" } ? member.transmissionsLeft : 0;
    Heartbeat heartbeat;
    fillHeartbeat(membership, heartbeat);
    LONGS_EQUAL(1, heartbeat.members.size());
    CHECK(heartbeat.members[0].state == MemberState::Suspected);
}

TEST(Membership, suspicionFromAPeerIsRefutedByANewerLiveUpdate)
{
    listMany(40);
    Heartbeat heartbeat = makeHeartbeat("n100");
    std::uint64_t known = membership.members.at(InstanceId { "n107" }).sequence;
    heartbeat.members.push_back({ InstanceId { "n107" }, Incarnation { 1 }, MemberState::Suspected, known });
    applyHeartbeat(membership, heartbeat, now);
    CHECK(stateOf("n107") == MemberState::Suspected);
    heartbeat = makeHeartbeat("n100");
    heartbeat.members.push_back({ InstanceId { "n107" }, Incarnation { 1 }, MemberState::Live, known + 1 });
    applyHeartbeat(membership, heartbeat, now);
    CHECK(stateOf("n107") == MemberState::Live);
}

TEST(Membership, withFewPeersSuspicionFromAPeerIsIgnored)
{
    list({ "b", "c" });
    receive("b");
    Heartbeat heartbeat = makeHeartbeat("c");
    heartbeat.members.push_back({ InstanceId { "b" }, Incarnation { 1 }, MemberState::Suspected, 99 });
    applyHeartbeat(membership, heartbeat, now);
    CHECK(stateOf("b") == MemberState::Live);
}

TEST(Membership, updateOfAnUnknownMemberIsIgnored)
{
    list({ "b" });
    Heartbeat heartbeat = makeHeartbeat("b");
    heartbeat.members.push_back({ InstanceId { "x" }, Incarnation { 1 }, MemberState::Live, 1 });
    applyHeartbeat(membership, heartbeat, now);
    LONGS_EQUAL(1, membership.members.size());
}

TEST(Membership, updatesAreBoundedInNumberAndTransmissions)
{
    listMany(40);
    int heartbeats = 0;
    for (; heartbeats < 1000; ++heartbeats) {
        Heartbeat heartbeat;
        fillHeartbeat(membership, heartbeat);
        CHECK(heartbeat.members.size() <= 8);
        if (heartbeat.members.empty())
            break;
    }
    LONGS_EQUAL(40 * membership.options.transmissionsPerUpdate / membership.options.updatesPerHeartbeat, heartbeats);
}

TEST(Membership, listedAndLiveInstancesCountForTheMajority)
{
    list({ "a", "b", "c", "d" });
    LONGS_EQUAL(4, countedInstances(membership, now));
    LONGS_EQUAL(3, majorityOf(4));
    receive("e");
    LONGS_EQUAL(5, countedInstances(membership, now));
}

TEST(Membership, instanceThatLeftTheListCountsUntilTheListLagEnds)
{
    list({ "b", "c", "d" });
    list({ "b", "c" });
    LONGS_EQUAL(4, countedInstances(membership, now));
    updateAfter(membership.options.listLag);
    list({ "b", "c" });
    LONGS_EQUAL(3, countedInstances(membership, now));
}

TEST(Membership, majorityAnsweredCountsHeartbeatsSentSinceTheGivenTime)
{
    list({ "a", "b", "c", "d" });
    SteadyTime since = now;
    answer("b");
    CHECK(!majorityAnsweredSince(membership, since, now));
    answer("c");
    CHECK(majorityAnsweredSince(membership, since, now));
    CHECK(!majorityAnsweredSince(membership, since + 1ms, now));
}

TEST(Membership, heartbeatOfAPeerIsNotAnAnswer)
{
    list({ "a", "b", "c" });
    receive("b");
    receive("c");
    CHECK(!majorityAnsweredSince(membership, now, now));
}

TEST(Membership, sentHeartbeatsAndBytesAreCounted)
{
    Heartbeat heartbeat = makeHeartbeat("a");
    countSent(membership, heartbeat);
    LONGS_EQUAL(1, membership.counters.heartbeatsSent);
    LONGS_EQUAL(heartbeatSize(heartbeat).count(), membership.counters.bytesSent);
}
