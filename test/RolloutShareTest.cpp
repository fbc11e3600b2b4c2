#include "core/RolloutShare.h"
#include "core/Hash.h"
#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

namespace {

const RolloutLimits limits;
constexpr RolloutPosition sample { .generation = 1, .phase = RolloutPhase::Sample };
constexpr RolloutPosition load { .generation = 1, .phase = RolloutPhase::Load };

/// Sends so many requests and returns how many of them went to the new version.
std::int64_t sendRequests(RolloutShare& share, const RolloutPosition& position, int count)
{
    std::int64_t before = share.sentToNew;
    for (int i = 0; i < count; ++i)
        recordSend(share, chooseVersions(position, share, limits) == RolloutChoice::NewFirst);
    return share.sentToNew - before;
}

std::vector<SampleCandidate> candidates(std::uint32_t old, std::uint32_t count)
{
    std::vector<SampleCandidate> result;
    for (std::uint32_t i = 0; i < old + count; ++i)
        result.push_back({ .hash = 1000 + i, .isNew = i >= old });
    return result;
}

} // namespace

TEST_GROUP(RolloutShare) {};

// A request at a version that no state allows breaks the first rule of a rollout.
TEST(RolloutShare, onlyOldTargetsBeforeTheOrderIsTakenUpAfterAStopAndAfterARollback)
{
    for (RolloutPhase phase : { RolloutPhase::NotStarted, RolloutPhase::RolledBack })
        CHECK(chooseVersions({ .phase = phase }, {}, { .exposedShare = 1 }) == RolloutChoice::OnlyOld);
    for (RolloutPhase phase : { RolloutPhase::Sample, RolloutPhase::Load, RolloutPhase::Switch })
        CHECK(chooseVersions({ .generation = 1, .phase = phase, .isStopped = true }, { .allowance = 10 }, { .exposedShare = 1 }) == RolloutChoice::OnlyOld);
}

TEST(RolloutShare, onlyNewTargetsFromTheSwitchOn)
{
    for (RolloutPhase phase : { RolloutPhase::Switch, RolloutPhase::Succeeded })
        CHECK(chooseVersions({ .generation = 1, .phase = phase }, {}, limits) == RolloutChoice::OnlyNew);
}

TEST(RolloutShare, eachStageKeepsItsShareOfTheInstancesRequests)
{
    RolloutShare share;
    LONGS_EQUAL(40, sendRequests(share, sample, 1000));
    LONGS_EQUAL(140, sendRequests(share, load, 1000));
    LONGS_EQUAL(0, sendRequests(share, sample, 1000));
}

// Without messages, the sum over all instances has to hold however unevenly requests arrive.
TEST(RolloutShare, theSumOverUnevenInstancesKeepsTheLimit)
{
    for (int members : { 1, 4, 24, 121, 300 }) {
        for (std::uint32_t seed = 1; seed <= 20; ++seed) {
            std::mt19937 random(seed);
            std::vector<RolloutShare> shares;
            shares.reserve(static_cast<std::size_t>(members));
            for (int i = 0; i < members; ++i)
                shares.push_back(initialShare(mixBits(seed * 1000 + static_cast<std::uint32_t>(i)), members, limits));
            std::int64_t sent = 0;
            std::int64_t sentToNew = 0;
            for (int request = 0; request < 3000; ++request) {
                double skewed = std::pow(std::uniform_real_distribution<double>(0, 1)(random), 3);
                RolloutShare& share = shares[static_cast<std::size_t>(skewed * members)];
                sentToNew += sendRequests(share, load, 1);
                CHECK(static_cast<double>(sentToNew) <= limits.exposedShare * static_cast<double>(++sent) + limits.exposedSlack);
            }
            CHECK(sentToNew > 200);
        }
    }
}

// With a share that each of hundreds of instances rounds down, the new version would get nothing.
TEST(RolloutShare, instancesWithFewRequestsSendTheShareTogether)
{
    std::int64_t sentToNew = 0;
    for (std::uint32_t i = 0; i < 300; ++i) {
        RolloutShare share = initialShare(mixBits(i), 300, limits);
        sentToNew += sendRequests(share, load, 5);
    }
    CHECK(sentToNew > 100);
    CHECK(sentToNew < 200);
}

TEST(RolloutShare, anInstanceThatStartsLaterGetsNoneOfTheSlack)
{
    for (std::uint32_t i = 0; i < 100; ++i)
        CHECK(initialShare(mixBits(i), 0, limits).allowance < 1);
    CHECK(initialShare(7, 1, limits).allowance >= 20);
}

// A version that is bad on a rare route only would be called good without answers there.
TEST(RolloutShare, rareRoutesGetMoreOfTheShareAndAllTogetherKeepIt)
{
    RolloutShare share;
    std::map<std::uint32_t, int> sentToNew;
    for (int i = 0; i < 10000; ++i) {
        std::uint32_t route = i % 16 ? 1 : 2;
        bool isToNew = chooseVersions(load, share, limits, route) == RolloutChoice::NewFirst;
        recordSend(share, isToNew, route);
        sentToNew[route] += isToNew;
    }
    CHECK(share.sentToNew <= 900);
    CHECK(share.sentToNew >= 800);
    CHECK(sentToNew[2] > 2 * 900 / 16);
}

TEST(RolloutShare, aFewNewTargetsAreChosenByTheirHashAtEachInstance)
{
    std::vector<SampleCandidate> list = candidates(140, 140);
    std::vector<std::size_t> samples = sampleTargets(list, limits);
    LONGS_EQUAL(6, samples.size());
    std::set<std::uint32_t> hashes;
    for (std::size_t position : samples) {
        CHECK(list[position].isNew);
        hashes.insert(list[position].hash);
    }
    std::reverse(list.begin(), list.end());
    for (std::size_t position : sampleTargets(list, limits))
        CHECK(hashes.contains(list[position].hash));
}

TEST(RolloutShare, inASmallPoolFiveNewTargetsAreChosenOrAllThatThereAre)
{
    LONGS_EQUAL(5, sampleTargets(candidates(18, 18), limits).size());
    LONGS_EQUAL(3, sampleTargets(candidates(3, 3), limits).size());
    LONGS_EQUAL(0, sampleTargets(candidates(3, 0), limits).size());
    LONGS_EQUAL(0, loadTargets(candidates(3, 0), limits, 1s).size());
}

// Five of eighteen targets would share less than half of the load of one: trouble under load would not show.
TEST(RolloutShare, inASmallPoolTheSamplesTakeTurnsUnderLoad)
{
    std::vector<SampleCandidate> list = candidates(18, 18);
    std::vector<std::size_t> samples = sampleTargets(list, limits);
    std::set<std::size_t> used;
    for (Duration sinceOrder = 0s; sinceOrder < 3s; sinceOrder += 500ms) {
        std::vector<std::size_t> loaded = loadTargets(list, limits, sinceOrder);
        LONGS_EQUAL(1, loaded.size());
        used.insert(loaded.begin(), loaded.end());
    }
    CHECK(used == std::set<std::size_t>(samples.begin(), samples.end()));
    LONGS_EQUAL(6, loadTargets(candidates(140, 140), limits, 1s).size());
}
