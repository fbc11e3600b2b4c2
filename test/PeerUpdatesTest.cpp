#include "gateway/PeerUpdates.h"
#include "test/FreePort.h"
#include <set>
#include <sys/resource.h>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(PeerUpdates) {};

TEST(PeerUpdates, anEncodedUpdateIsDecodedUnchanged)
{
    InstanceUpdate update { .instance = InstanceId("a"), .incarnation = 1770544563022, .sequence = 5, .settingsVersion = SettingsVersion(12), .isLeaving = true };
    update.targets.push_back({ .target = 0xfffffff0U, .inProgress = 6 });
    update.accounts.push_back({ .account = 7, .admitted = 123456 });
    update.failureDomain = FailureDomainId("z1");
    update.closedTargets = { 3, 0xfffffff1U };
    update.demands = { { .pool = 9, .demand = 17 } };
    update.arrivals = { { .pool = 9, .demand = 1440 }, { .pool = 0xfffffff2U, .demand = 3 } };
    update.rateLimits = { { .target = 0xfffffff3U, .perSecond = 2.75, .age = std::chrono::milliseconds(300) }, { .target = 4 } };
    update.suspects.push_back({ .pool = 9, .report = { .part = PromptPart(0xfedcba9876543210U), .clearings = 2, .crashes = { { .id = CrashId(5), .age = std::chrono::milliseconds(700) } } } });
    update.targetsVersion = 530;
    update.targetsEpoch = StoreEpoch(2);
    update.storeCheckAge = std::chrono::milliseconds(640);
    std::optional<InstanceUpdate> decoded = decodeUpdate(encodeUpdate(update));
    CHECK(decoded.has_value());
    LONGS_EQUAL(530, decoded->targetsVersion);
    CHECK(decoded->targetsEpoch == StoreEpoch(2));
    CHECK(decoded->storeCheckAge == Duration(std::chrono::milliseconds(640)));
    LONGS_EQUAL(0xfffffff3U, decoded->rateLimits.at(0).target);
    DOUBLES_EQUAL(2.75, *decoded->rateLimits.at(0).perSecond, 1e-9);
    CHECK(decoded->rateLimits.at(0).age == Duration(std::chrono::milliseconds(300)));
    CHECK_FALSE(decoded->rateLimits.at(1).perSecond.has_value());
    CHECK(decoded->suspects.at(0).report.part == PromptPart(0xfedcba9876543210U));
    CHECK(decoded->suspects.at(0).report.crashes.at(0).age == Duration(std::chrono::milliseconds(700)));
    CHECK(decoded->instance == update.instance);
    CHECK(decoded->incarnation == update.incarnation);
    LONGS_EQUAL(5, decoded->sequence);
    CHECK(decoded->isLeaving);
    CHECK(decoded->targets.at(0).target == 0xfffffff0U);
    LONGS_EQUAL(6, decoded->targets.at(0).inProgress);
    CHECK(decoded->failureDomain == update.failureDomain);
    CHECK(decoded->closedTargets == update.closedTargets);
    CHECK(decoded->demands == update.demands);
    CHECK(decoded->arrivals == update.arrivals);
    DOUBLES_EQUAL(123456, decoded->accounts.at(0).admitted, 0);
}

TEST(PeerUpdates, anUpdateOfAnEarlierReleaseHasNoEpoch)
{
    std::optional<InstanceUpdate> decoded = decodeUpdate(encodeUpdate({ .instance = InstanceId("a"), .targetsVersion = 530 }));
    CHECK_FALSE(decoded->targetsEpoch.has_value());
    CHECK_FALSE(decoded->storeCheckAge.has_value());
}

TEST(PeerUpdates, malformedBytesAreRejected)
{
    CHECK_FALSE(decodeUpdate("").has_value());
    std::string whole = encodeUpdate({ .instance = InstanceId("a") });
    CHECK_FALSE(decodeUpdate(std::string_view(whole).substr(0, whole.size() / 2)).has_value());
}

// Forty bytes that claimed a list of two billion numbers made the decoder allocate memory for all of them.
TEST(PeerUpdates, anUpdateThatClaimsALongListAllocatesNoMemory)
{
    const std::string bytes = "\x69\xf7\xf7\xf7\xf7\xf7\xf7\xf7\x64\x3a\x20\x31\x0a\x64\x61\x0a\x0a\x0d\x0aid: 3\ndatata: b\r 3\ndata: c";
    constexpr long maxGrowthKib = 65536;
    auto peak = [] {
        rusage usage {};
        getrusage(RUSAGE_SELF, &usage);
        return usage.ru_maxrss;
    };
    const long before = peak();
    CHECK_FALSE(decodeUpdate(bytes).has_value());
    CHECK(peak() - before < maxGrowthKib);
}

TEST(PeerUpdates, anUpdateWithTwentyTargetsFitsIn200Bytes)
{
    InstanceUpdate update { .instance = InstanceId("front-sj-norte-1") };
    for (std::uint32_t i = 0; i < 20; ++i)
        update.targets.push_back({ .target = i * 123456789U, .inProgress = 6 });
    CHECK(encodeUpdate(update).size() < 200);
}

// Load: many instances share a pool at which requests wait. An instance handles a bounded number of datagrams.
TEST(PeerUpdates, updatesAreMoreFrequentWhileRequestsWaitAndBoundedInLargeFleets)
{
    for (int peers : { 3, 25, 76, 299 }) {
        Duration calm = updateInterval({ .livePeers = peers });
        Duration loaded = updateInterval({ .livePeers = peers, .areRequestsWaiting = true });
        CHECK(loaded <= calm);
        CHECK(peers * (std::chrono::seconds(1) / loaded) < 1000);
    }
    CHECK(updateInterval({ .livePeers = 76, .areRequestsWaiting = true }) <= std::chrono::milliseconds(100));
}

TEST(PeerUpdates, aHigherSequenceOfOneIncarnationIsNewer)
{
    ReceivedUpdate received { .incarnation = 1000, .sequence = 5 };
    CHECK_FALSE(isNewer(received, { .incarnation = 1000, .sequence = 5 }));
    CHECK(isNewer(received, { .incarnation = 1000, .sequence = 6 }));
}

TEST(PeerUpdates, aLowerIncarnationAfterARestartIsNewer)
{
    ReceivedUpdate received { .incarnation = 1000, .sequence = 5 };
    CHECK(isNewer(received, { .incarnation = 900, .sequence = 1 }));
    received = { .incarnation = 900, .earlierIncarnation = 1000, .sequence = 1 };
    CHECK_FALSE(isNewer(received, { .incarnation = 1000, .sequence = 9 }));
}

/// Two instances that send each other updates by loopback addresses.
TEST_GROUP(PeerPair)
{
    boost::asio::io_context context;
    ManualClock clock;
    int port { freePort() };
    std::vector<InstanceUpdate> received; ///< By the second one.
    PeerUpdates first { context, clock, { .self = InstanceId("a"), .ip = "127.0.0.1", .port = port, .onUpdate = [](InstanceUpdate&&, const std::string&) {}, .onPeerTimeout = [](const InstanceId&) {} } };
    PeerUpdates second { context, clock,
        { .self = InstanceId("b"), .ip = "127.0.0.2", .port = port, .onUpdate = [this](InstanceUpdate&& update, const std::string&) { received.push_back(std::move(update)); }, .onPeerTimeout = [](const InstanceId&) {} } };

    void setup() override
    {
        CHECK_FALSE(first.start().has_value());
        CHECK_FALSE(second.start().has_value());
        first.addPeer("127.0.0.2");
    }

    /// Datagrams on loopback arrive before the call that sends them returns.
    void receiveAll()
    {
        context.restart();
        context.poll();
    }
};

// Both sides of a cut dropped each other's address after a minute, and nothing found it again.
TEST(PeerPair, instancesThatWereCutOffForLongFindEachOtherAgain)
{
    InstanceUpdate update { .instance = InstanceId("a"), .incarnation = 1 };
    for (int minute = 0; minute < 30; ++minute) {
        clock.advance(std::chrono::minutes(1));
        first.tick(clock.steadyNow());
    }
    first.send(update);
    receiveAll();
    LONGS_EQUAL(1, received.size());
}

TEST(PeerPair, aSilentAddressGetsFewUpdates)
{
    InstanceUpdate update { .instance = InstanceId("a"), .incarnation = 1 };
    clock.advance(std::chrono::minutes(2));
    for (int i = 0; i < 100; ++i) {
        clock.advance(std::chrono::milliseconds(100));
        first.send(update);
        receiveAll();
    }
    LONGS_EQUAL(2, received.size());
}

// An update longer than the receiver's buffer arrived cut off and was dropped, so that the sender seemed to be gone.
TEST(PeerPair, theUseOfThousandsOfAccountsArrives)
{
    constexpr std::uint32_t accounts = 5800;
    InstanceUpdate update { .instance = InstanceId("a"), .incarnation = 1 };
    for (std::uint32_t i = 0; i < accounts; ++i)
        update.accounts.push_back({ .account = i * 740'000U, .admitted = 1e9 + i });
    first.send(update);
    receiveAll();
    std::set<std::uint32_t> reported;
    for (const InstanceUpdate& part : received) {
        constexpr std::size_t bufferOfEarlierRelease = 16384;
        CHECK(encodeUpdate(part).size() < bufferOfEarlierRelease);
        for (const InstanceUpdate::AccountUse& use : part.accounts)
            reported.insert(use.account);
    }
    LONGS_EQUAL(accounts, reported.size());
}
