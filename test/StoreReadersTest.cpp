#include "core/StoreReaders.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(StoreReaders)
{
    const SteadyTime now { 1h };

    /// Peers with the hashes 10, 20, 30, ...; the first `reading` of them read the table.
    std::vector<PeerReadState> peersOf(int count, int reading)
    {
        std::vector<PeerReadState> peers;
        peers.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            peers.push_back({ .hash = static_cast<std::uint64_t>(10 * (i + 1)), .updatedAt = now - 100ms, .isReading = i < reading });
        return peers;
    }
};

TEST(StoreReaders, everyInstanceOfASmallFleetReads)
{
    CHECK_TRUE(shouldRead(1000, peersOf(11, 11), now, 100ms));
}

TEST(StoreReaders, aFewInstancesOfALargeFleetRead)
{
    std::vector<PeerReadState> peers = peersOf(299, 6);
    CHECK_TRUE(shouldRead(5, peers, now, 500ms));
    CHECK_TRUE(shouldRead(55, peers, now, 500ms));
    CHECK_FALSE(shouldRead(65, peers, now, 500ms));
}

// Load: 18 instances in front of 15 targets, where each one's polls cost more calls than the requests are worth.
TEST(StoreReaders, aFewInstancesOfAMediumFleetRead)
{
    int readers = 0;
    for (int own = 0; own < 18; ++own) {
        std::vector<PeerReadState> peers = peersOf(18, 6);
        std::uint64_t ownHash = peers[static_cast<std::size_t>(own)].hash;
        peers.erase(peers.begin() + own);
        readers += shouldRead(ownHash, peers, now, 100ms);
    }
    LONGS_EQUAL(6, readers);
}

TEST(StoreReaders, instanceWithUpdatesFromTooFewReadersReads)
{
    CHECK_TRUE(shouldRead(5000, peersOf(299, 1), now, 500ms));
    std::vector<PeerReadState> peers = peersOf(299, 6);
    for (PeerReadState& peer : peers)
        peer.updatedAt = now - 2s;
    CHECK_TRUE(shouldRead(5000, peers, now, 500ms));
    CHECK_TRUE(shouldRead(5000, peers, now, 100ms));
}

TEST(StoreReaders, leavingReaderIsReplaced)
{
    std::vector<PeerReadState> peers = peersOf(299, 6);
    peers[0].isLeaving = true;
    CHECK_TRUE(shouldRead(65, peers, now, 500ms));
}

TEST(StoreReaders, aFewInstancesCheckTheStore)
{
    auto turnOf = [&](std::uint64_t ownHash, std::vector<PeerReadState> peers) {
        for (PeerReadState& peer : peers)
            peer.checkedAt = now - 300ms;
        return checkTurn(ownHash, peers, now, 100ms);
    };
    CHECK(turnOf(5, {}) == CheckTurn({ .place = 0, .instances = 1 }));
    CHECK(turnOf(15, peersOf(1, 1)) == CheckTurn({ .place = 1, .instances = 2 }));
    CHECK(turnOf(15, peersOf(25, 25)) == CheckTurn({ .place = 1, .instances = 2 }));
    CHECK_FALSE(turnOf(25, peersOf(25, 25)).has_value());
    std::vector<PeerReadState> peers = peersOf(25, 25);
    peers[0].isLeaving = true;
    CHECK(turnOf(25, peers) == CheckTurn({ .place = 1, .instances = 2 }));
}

TEST(StoreReaders, oneInstanceTakesOverWhereNoCheckIsAnswered)
{
    std::vector<PeerReadState> peers = peersOf(25, 25);
    peers[0].checkedAt = now - 1200ms;
    peers[1].checkedAt = now - 1100ms;
    CHECK(checkTurn(25, peers, now, 100ms) == CheckTurn());
    CHECK_FALSE(checkTurn(65, peers, now, 100ms).has_value());
    peers[2].checkedAt = now - 50ms; // The instance that has taken over.
    CHECK_FALSE(checkTurn(35, peers, now + 200ms, 100ms).has_value());
}

TEST(StoreReaders, anAnswerAccountsForTheChangesThatItHolds)
{
    StoreEpoch epoch { 1 };
    auto isKnown = [&](std::uint64_t known, std::uint64_t newest, const std::vector<std::uint64_t>& rows) {
        return areChangesKnown({ .epoch = epoch, .number = known }, { .newest = { .epoch = epoch, .number = newest }, .rowVersions = rows });
    };
    CHECK_TRUE(isKnown(7, 7, {}));
    CHECK_TRUE(isKnown(7, 5, {}));
    CHECK_FALSE(isKnown(7, 8, {}));
    CHECK_TRUE(isKnown(7, 8, { 8 }));
    CHECK_FALSE(isKnown(7, 9, { 9 }));
    CHECK_FALSE(isKnown(7, 9, { 9, 9, 3, 12 }));
    CHECK_TRUE(isKnown(7, 9, { 9, 8 }));
    CHECK_FALSE(areChangesKnown({ .epoch = StoreEpoch(2), .number = 7 }, { .newest = { .epoch = epoch, .number = 7 } }));
}

// Whenever the instances' polls start, some poll ends in every interval, at most twice the interval after one was lost.
TEST(StoreReaders, checksOfAllTurnsAreSpread)
{
    for (int instances = 1; instances <= 2; ++instances) {
        std::vector<Duration> ends;
        for (int place = 0; place < instances; ++place) {
            Duration time = place * 70ms;
            while (time < 20s) {
                Duration wait = timeUntilCheck({ .place = place, .instances = instances }, time);
                CHECK(wait >= 100ms);
                CHECK(wait <= instances * storeCheckInterval + 100ms);
                time += wait + 4ms;
                ends.push_back(time);
            }
        }
        std::sort(ends.begin(), ends.end());
        for (std::size_t i = 1; i < ends.size(); ++i) {
            if (ends[i - 1] > 2s && ends[i] < 20s)
                CHECK(ends[i] - ends[i - 1] <= storeCheckInterval + 5ms);
        }
    }
}

namespace {

struct CheckReplayOptions {
    int instances { 4 };
    Duration updateInterval { 100ms };
    int cutOff { 2 }; ///< How many instances, those with the lowest hashes, the store answers no more.
    Duration cutAt { 5s };
};

/// Instances that check the store and tell each other of it, in steps of a tick.
class CheckReplay {
public:
    explicit CheckReplay(const CheckReplayOptions& options)
        : m_options(options)
        , m_instances(static_cast<std::size_t>(options.instances))
    {
    }

    /// The longest time without a check by an instance that is never cut off, or before the cut by any.
    Duration longestGap()
    {
        while (m_time < replayTime) {
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                sendUpdate(i);
                checkStore(i);
            }
            m_time += step;
        }
        return std::max(m_longestGap, m_time - m_lastCheckAt);
    }

private:
    static constexpr Duration step = 25ms;
    static constexpr Duration answerTime = 5ms;
    static constexpr Duration replayTime = 8s;
    static constexpr Duration startTime = 1s; ///< In which the instances learn of each other.

    struct Instance {
        std::optional<SteadyTime> checkedAt;
        std::optional<SteadyTime> pollEndsAt;
        std::optional<PeerReadState> update; ///< The last one that it sent.
    };

    static std::uint64_t hashOf(std::size_t index) { return 10 * (index + 1); }

    SteadyTime now() const { return SteadyTime(1h) + m_time; }
    bool isCutOff(std::size_t index) const { return m_time >= m_options.cutAt && index < static_cast<std::size_t>(m_options.cutOff); }

    /// The updates of all instances are spread over the interval.
    void sendUpdate(std::size_t index)
    {
        Duration offset = m_options.updateInterval * static_cast<int>(index) / m_options.instances;
        if ((m_time + offset) % m_options.updateInterval < step)
            m_instances[index].update = PeerReadState { .hash = hashOf(index), .updatedAt = now(), .isReading = true, .checkedAt = m_instances[index].checkedAt };
    }

    std::optional<CheckTurn> turnOf(std::size_t index) const
    {
        std::vector<PeerReadState> peers;
        peers.reserve(m_instances.size());
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            if (i != index && m_instances[i].update)
                peers.push_back(*m_instances[i].update);
        }
        return checkTurn(hashOf(index), peers, now(), m_options.updateInterval);
    }

    void checkStore(std::size_t index)
    {
        Instance& instance = m_instances[index];
        std::optional<CheckTurn> turn = turnOf(index);
        if (!turn) {
            instance.pollEndsAt.reset();
            instance.checkedAt.reset();
            return;
        }
        // The first poll of a turn asks for an answer at once.
        if (isCutOff(index) || now() < instance.pollEndsAt.value_or(now()))
            return;
        instance.checkedAt = now();
        instance.pollEndsAt = now() + answerTime + timeUntilCheck(*turn, now().time_since_epoch());
        if (m_time >= startTime)
            m_longestGap = std::max(m_longestGap, m_time - m_lastCheckAt);
        m_lastCheckAt = std::max(m_time, startTime);
    }

    CheckReplayOptions m_options;
    std::vector<Instance> m_instances;
    Duration m_time {};
    Duration m_lastCheckAt { startTime };
    Duration m_longestGap {};
};

} // namespace

// Instances that were cut off from the store kept the checks, so that the others' lost polls stayed unnoticed for as long as the cut.
TEST(StoreReaders, theStoreIsCheckedWhileThoseWithTurnsAreCutOffFromIt)
{
    struct Fleet {
        int instances;
        Duration updateInterval;
    };
    constexpr Duration stepPerLostInstance = 50ms;
    for (const Fleet& fleet : { Fleet { 4, 50ms }, Fleet { 26, 100ms }, Fleet { 77, 300ms }, Fleet { 300, 500ms } }) {
        for (int cutOff : { 0, 2, 3 }) {
            for (Duration cutAt = 5s; cutAt < 6300ms; cutAt += 220ms) {
                CheckReplay replay({ .instances = fleet.instances, .updateInterval = fleet.updateInterval, .cutOff = cutOff, .cutAt = cutAt });
                // One interval between checks, the slack of an answer and two updates, of which one may be lost.
                Duration bound = storeCheckInterval + 300ms + 3 * fleet.updateInterval + cutOff * stepPerLostInstance;
                CHECK(replay.longestGap() <= bound);
            }
        }
    }
}
