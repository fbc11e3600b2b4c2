#include "core/Placement.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(Placement)
{
    SteadyTime now { std::chrono::hours(1) };
    std::vector<TargetState> targets;
    PlacementCase wanted { .ownFailureDomain = FailureDomainId("here"), .work = 20 };

    void add(const char* id, const char* domain, double slowness)
    {
        targets.push_back({ .entry = { .id = TargetId(id), .failureDomain = FailureDomainId(domain), .slots = 6 }, .slowness = slowness });
    }

    std::string place()
    {
        std::optional<std::size_t> found = choosePlace(targets, wanted, now);
        return found ? targets[*found].entry.id.value() : "";
    }
};

TEST(Placement, theOwnFailureDomainGoesFirstAmongLikes)
{
    add("far", "there", 10);
    add("near", "here", 10);
    STRCMP_EQUAL("near", place().c_str());
}

// Load: a third of the targets work three to four times as slowly as the others.
TEST(Placement, slowTargetsGetWhatTheFastOnesHaveNoRoomFor)
{
    add("slow", "here", 44);
    add("fast", "there", 10);
    for (int i = 0; i < 6; ++i) {
        STRCMP_EQUAL("fast", place().c_str());
        ++targets[1].ownInProgress;
    }
    STRCMP_EQUAL("slow", place().c_str());
}

TEST(Placement, noTargetGetsMoreThanItsSlotsWithPeersCounted)
{
    add("a", "here", 10);
    targets[0].ownInProgress = 2;
    targets[0].peersInProgress = 4;
    STRCMP_EQUAL("", place().c_str());
}

TEST(Placement, drainingTargetsGetNothing)
{
    add("a", "here", 10);
    targets[0].entry.isDraining = true;
    STRCMP_EQUAL("", place().c_str());
    CHECK_FALSE(hasUsableTarget(targets));
}

TEST(Placement, aTargetThatBreaksConnectionsIsClosedAndTriedAgain)
{
    add("bad", "here", 10);
    add("good", "there", 10);
    noteBrokenConnection(targets[0], now);
    noteBrokenConnection(targets[0], now);
    STRCMP_EQUAL("good", place().c_str());
    targets[1].ownInProgress = 6;
    STRCMP_EQUAL("", place().c_str());
    now += 600ms;
    STRCMP_EQUAL("bad", place().c_str());
    targets[0].trialInProgress = true;
    STRCMP_EQUAL("", place().c_str());
    targets[0].trialInProgress = false;
    noteAnswer(targets[0], 10.0, now);
    STRCMP_EQUAL("bad", place().c_str());
}

// Load: one target answers with errors to half of its requests while its health checks are good.
TEST(Placement, aTargetThatFailsHalfOfItsRequestsGetsFewer)
{
    add("grey", "here", 10);
    add("good", "there", 10);
    for (int i = 0; i < 10; ++i) {
        noteFailedAnswer(targets[0], now);
        noteAnswer(targets[0], 10.0, now);
    }
    STRCMP_EQUAL("good", place().c_str());
    now += 30s;
    STRCMP_EQUAL("grey", place().c_str());
}

TEST(Placement, aTargetThatWasTriedIsAvoided)
{
    add("a", "here", 10);
    add("b", "there", 10);
    std::vector<TargetId> tried { TargetId("a") };
    wanted.avoid = &tried;
    STRCMP_EQUAL("b", place().c_str());
}

TEST(Placement, longPromptsAheadCountAsTime)
{
    add("a", "here", 10);
    add("b", "here", 10);
    targets[0].ownPromptTokens = 40000;
    STRCMP_EQUAL("b", place().c_str());
}
