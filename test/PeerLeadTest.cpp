#include "core/PeerLead.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(PeerLead)
{
    PeerLead lead;
    const SteadyTime now { 1h };
};

TEST(PeerLead, aPeerThatIsAheadForAMomentIsLeftAlone)
{
    noteOwnVersion(lead, 10);
    notePeerVersion(lead, 12, "b", now);
    CHECK_FALSE(isBehind(lead, now + 300ms, 400ms));
    noteOwnVersion(lead, 12);
    CHECK_FALSE(isBehind(lead, now + 500ms, 400ms));
}

TEST(PeerLead, anInstanceThatStaysBehindAsksThePeerThatLeads)
{
    noteOwnVersion(lead, 10);
    notePeerVersion(lead, 12, "b", now);
    notePeerVersion(lead, 13, "c", now + 300ms);
    CHECK_TRUE(isBehind(lead, now + 401ms, 400ms));
    STRCMP_EQUAL("c", lead.leader.c_str());
}

TEST(PeerLead, followingWithAShortDelayIsNotBehind)
{
    for (int i = 1; i < 100; ++i) {
        SteadyTime at = now + i * 100ms;
        notePeerVersion(lead, static_cast<std::uint64_t>(i), "b", at);
        noteOwnVersion(lead, static_cast<std::uint64_t>(i > 2 ? i - 2 : 0));
        CHECK_FALSE(isBehind(lead, at, 400ms));
    }
}

TEST(PeerLead, aPeerThatIsNotAheadChangesNothing)
{
    noteOwnVersion(lead, 10);
    notePeerVersion(lead, 9, "b", now);
    CHECK_FALSE(isBehind(lead, now + 1h, 400ms));
    STRCMP_EQUAL("", lead.leader.c_str());
}
