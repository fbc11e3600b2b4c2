#include "test/QuotaReplay.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(QuotaReplay)
{
    struct Site {
        int instances { 0 };
        double perSecond { 0 };
    };
    const std::vector<Site> smallSites { { 2, 240000 }, { 4, 240000 }, { 26, 660000 } };
    const std::vector<Site> allSites { { 2, 240000 }, { 4, 240000 }, { 26, 660000 }, { 77, 1.5e6 }, { 300, 3e6 } };
    /// Times the quota: an account at its limit, one with a burst of callers, and one without any bound.
    const std::vector<double> loads { 1, 7.5, 50 };

    static QuotaReplayOptions optionsOf(const Site& site, double load, std::uint32_t seed = 1)
    {
        QuotaReplayOptions options;
        options.instances = site.instances;
        options.perSecond = options.burst = site.perSecond;
        options.load = load;
        options.seed = seed;
        return options;
    }

    static std::vector<int> sides(int instances, int cutOff)
    {
        std::vector<int> sides(static_cast<std::size_t>(instances), 0);
        std::fill_n(sides.begin(), cutOff, 1);
        return sides;
    }

    static void cutFor12Seconds(QuotaReplay & replay, int cutOff)
    {
        replay.at(3s, [&replay, cutOff] { replay.partition(sides(replay.instances(), cutOff)); });
        replay.at(15s, [&replay] { replay.heal(); });
    }

    static void restartAll(QuotaReplay & replay, Duration from)
    {
        for (int i = 0; i < replay.instances(); ++i) {
            auto number = static_cast<std::size_t>(i);
            replay.at(from, [&replay, number] { replay.kill(number); });
            replay.at(from + 500ms + 3ms * i, [&replay, number] { replay.start(number); });
        }
    }

    /// Each instance is down for a second; at most a quarter of them at a time.
    static void restartOneByOne(QuotaReplay & replay, Duration from)
    {
        Duration apart = 6s / std::max(replay.instances(), 4);
        for (int i = 0; i < replay.instances(); ++i) {
            auto number = static_cast<std::size_t>(i);
            replay.at(from + apart * i, [&replay, number] { replay.kill(number); });
            replay.at(from + apart * i + 1s, [&replay, number] { replay.start(number); });
        }
    }

    static void checkWithinLimit(const Site& site, double load, const QuotaReplayResult& result)
    {
        std::string text = std::to_string(site.instances) + " instances, load " + std::to_string(load) + ": " + std::to_string(result.mostInWindow) + " of "
            + std::to_string(result.allowedInWindow);
        CHECK_TEXT(result.isWithinLimit(), text.c_str());
    }

    /// A sequence of partitions, ends of processes, starts and changes of load that the seed chooses.
    static void playRandomly(QuotaReplay & replay, std::uint32_t seed, Duration time)
    {
        auto random = std::make_shared<std::mt19937>(seed);
        auto act = [&replay, random] {
            auto instances = static_cast<std::size_t>(replay.instances());
            auto pick = [&](std::size_t count) { return (*random)() % count; };
            switch (pick(8)) {
            case 0:
            case 1: {
                std::vector<int> sides(instances);
                std::size_t count = 2 + pick(2);
                for (int& side : sides)
                    side = static_cast<int>(pick(count));
                replay.partition(sides);
                break;
            }
            case 2:
            case 3:
                replay.heal();
                break;
            case 4:
                replay.kill(pick(instances));
                break;
            case 5:
                replay.restart(pick(instances));
                break;
            case 6:
                replay.stop(pick(instances));
                break;
            case 7:
                replay.setLoad(std::vector<double> { 0, 0.6, 7.5, 50 }[pick(4)]);
                break;
            }
        };
        for (Duration at = 1s; at < time; at += std::chrono::milliseconds(200 + (*random)() % 1500))
            replay.at(at, act);
    }
};

// Each side granted the whole quota from the sixth second of a partition on: 3,333,796 and 3,337,385 units of 2,566,000 that are allowed.
TEST(QuotaReplay, bothSidesOfAPartitionTogetherStayWithinTheQuota)
{
    for (const Site& site : smallSites) {
        for (double load : loads) {
            for (int cutOff : { 1, site.instances / 2 }) {
                QuotaReplay replay(optionsOf(site, load));
                cutFor12Seconds(replay, cutOff);
                checkWithinLimit(site, load, replay.run(24s));
            }
        }
    }
}

// Guards the replay itself: without shares it shows the fault.
TEST(QuotaReplay, withoutSharesAPartitionExceedsTheQuota)
{
    for (int cutOff : { 1, 2 }) {
        QuotaReplayOptions options = optionsOf({ 4, 240000 }, 7.5);
        options.hasShares = false;
        QuotaReplay replay(options);
        cutFor12Seconds(replay, cutOff);
        CHECK(replay.run(18s).mostInWindow > 1.2 * (1.1 * 9 * 240000 + 190000));
    }
}

// Every instance alone granted the whole quota, 2.4 times what is allowed at 4 instances.
TEST(QuotaReplay, instancesThatHearNoOtherStayWithinTheQuotaTogether)
{
    for (const Site& site : smallSites) {
        QuotaReplay replay(optionsOf(site, 7.5));
        std::vector<int> sides(static_cast<std::size_t>(site.instances));
        for (int i = 0; i < site.instances; ++i)
            sides[static_cast<std::size_t>(i)] = i;
        replay.at(3s, [&] { replay.partition(sides); });
        replay.at(12s, [&] { replay.heal(); });
        checkWithinLimit(site, 7.5, replay.run(16s));
    }
}

// Until a partition was noticed, both sides used up a full bucket.
TEST(QuotaReplay, aBurstThatComesWithThePartitionStaysWithinTheQuota)
{
    for (const Site& site : smallSites) {
        for (double load : loads) {
            QuotaReplay replay(optionsOf(site, 0));
            replay.at(3s, [&] {
                replay.partition(sides(site.instances, site.instances / 2));
                replay.setLoad(load);
            });
            checkWithinLimit(site, load, replay.run(11s));
        }
    }
}

// Every process that started had a full bucket.
TEST(QuotaReplay, restartsAndAddedInstancesStayWithinTheQuota)
{
    for (const Site& site : smallSites) {
        for (double load : loads) {
            QuotaReplay restarts(optionsOf(site, load));
            restartOneByOne(restarts, 3s);
            checkWithinLimit(site, load, restarts.run(14s));
            QuotaReplay allAtOnce(optionsOf(site, load));
            restartAll(allAtOnce, 3s);
            checkWithinLimit(site, load, allAtOnce.run(13s));
            QuotaReplay stops(optionsOf(site, load));
            for (int i = 0; i < site.instances; ++i) {
                stops.at(1s + 6s / site.instances * i, [&stops, i] { stops.stop(static_cast<std::size_t>(i)); });
                stops.at(1s + 6s / site.instances * i + 4500ms, [&stops, i] { stops.start(static_cast<std::size_t>(i)); });
            }
            checkWithinLimit(site, load, stops.run(16s));
            QuotaReplay added(optionsOf(site, load));
            for (int i = 0; i < site.instances; ++i)
                added.at(3s + 2s / site.instances * i, [&added, i, &site] { added.start(static_cast<std::size_t>(site.instances) + static_cast<std::size_t>(i)); });
            checkWithinLimit(site, load, added.run(13s));
        }
    }
}

// The more instances, the more they use without hearing of each other.
TEST(QuotaReplay, manyInstancesStayWithinTheQuotaThroughAPartitionAndARestartOfAll)
{
    for (const Site& site : { allSites[3], allSites[4] }) {
        QuotaReplay replay(optionsOf(site, 7.5));
        replay.at(1s, [&] { replay.partition(sides(site.instances, site.instances / 3)); });
        replay.at(5s, [&] { replay.heal(); });
        restartAll(replay, 8s);
        checkWithinLimit(site, 7.5, replay.run(11s));
    }
}

TEST(QuotaReplay, randomSequencesStayWithinTheQuota)
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        const Site& site = seed > 37 ? allSites[3] : smallSites[seed % smallSites.size()];
        QuotaReplay replay(optionsOf(site, seed % 2 ? 7.5 : 50, seed));
        playRandomly(replay, seed, 25s);
        checkWithinLimit(site, seed, replay.run(25s));
    }
}

// Use that a lost update would have told was credited as if it had been charged: 1.03 times what is allowed.
TEST(QuotaReplay, lostUpdatesDoNotExceedTheQuota)
{
    for (double loss : { 0.2, 0.4 }) {
        QuotaReplayOptions options = optionsOf(allSites[3], 7.5);
        options.updateLoss = loss;
        QuotaReplay replay(options);
        checkWithinLimit(allSites[3], 7.5, replay.run(12s));
    }
}

// A bound that holds by refusing callers below their limit would cost more than it is worth.
TEST(QuotaReplay, anAccountAt60PercentLosesNothingWhenOneOfFourInstancesIsKilled)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        QuotaReplay replay(optionsOf({ 4, 240000 }, 0.6, seed));
        replay.at(3s, [&] { replay.kill(0); });
        QuotaReplayResult result = replay.run(30s);
        DOUBLES_EQUAL(0, result.refusedShare(), 0.001);
    }
}

TEST(QuotaReplay, anAccountAt60PercentLosesLittleInARollingRestart)
{
    for (const Site& site : smallSites) {
        for (std::uint32_t seed = 1; seed <= 3; ++seed) {
            QuotaReplay replay(optionsOf(site, 0.6, seed));
            restartOneByOne(replay, 3s);
            QuotaReplayResult during = replay.run(12s);
            CHECK(during.refusedShare() < 0.04);
            CHECK(during.longestRefusal <= 400ms);
            replay.beginCounting();
            DOUBLES_EQUAL(0, replay.run(20s).refusedShare(), 0.001);
        }
    }
}

TEST(QuotaReplay, anAccountAt60PercentLosesLittleInAPartitionOfFourInstances)
{
    for (int cutOff : { 1, 2 }) {
        QuotaReplay replay(optionsOf({ 4, 240000 }, 0.6));
        cutFor12Seconds(replay, cutOff);
        DOUBLES_EQUAL(0, replay.run(24s).refusedShare(), 0.001);
    }
}

// An even division of the quota refuses callers of which most are at few instances.
TEST(QuotaReplay, callersAtOneInstanceUseTheQuotaAfterAFewSeconds)
{
    for (const Site& site : smallSites) {
        QuotaReplayOptions options = optionsOf(site, 0.6);
        options.weights = { 1 };
        QuotaReplay replay(options);
        CHECK(replay.run(4s).refusedShare() < 0.25);
        replay.beginCounting();
        DOUBLES_EQUAL(0, replay.run(12s).refusedShare(), 0.001);
    }
}
