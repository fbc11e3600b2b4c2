#include "gateway/RolloutWire.h"
#include "gateway/PeerUpdates.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(RolloutWire)
{
    const SystemTime now { std::chrono::hours(24 * 365 * 56) };
    const RolloutReport report {
        .pool = 0xfffffff0U,
        .order = { .epoch = StoreEpoch(2), .number = 530 },
        .to = TargetVersion("v2"),
        .time = 12s,
        .orderAge = 1500ms,
        .position = { .generation = 3, .phase = RolloutPhase::Load, .isStopped = true },
        .beatGeneration = 6,
        .beat = 41,
        .beatAge = 200ms,
        .oldInProgress = 7,
        .counts = { { .route = 0xfffffff1U, .target = 5, .answers = 40, .failures = 3, .slow = 2, .verySlow = 1 } },
    };
    const RolloutRow row {
        .order = { .epoch = StoreEpoch(2), .number = 530 },
        .to = TargetVersion("v2"),
        .time = 12s,
        .orderAge = 1500ms,
        .position = { .generation = 3, .phase = RolloutPhase::Switch },
        .holder = InstanceId("front-a-1"),
        .holderIncarnation = 1'700'000'000'000,
    };
};

TEST(RolloutWire, anUpdateHoldsTheRollouts)
{
    std::optional<InstanceUpdate> update = decodeUpdate(encodeUpdate({ .instance = InstanceId("a"), .rollouts = { report } }));
    CHECK(update.has_value());
    LONGS_EQUAL(1, update->rollouts.size());
    const RolloutReport& decoded = update->rollouts[0];
    LONGS_EQUAL(report.pool, decoded.pool);
    CHECK(decoded.order == report.order);
    CHECK(decoded.to == report.to);
    CHECK(decoded.time == report.time);
    CHECK(decoded.orderAge == report.orderAge);
    CHECK(decoded.position == report.position);
    LONGS_EQUAL(report.beatGeneration, decoded.beatGeneration);
    LONGS_EQUAL(report.beat, decoded.beat);
    CHECK(decoded.beatAge == report.beatAge);
    LONGS_EQUAL(7, decoded.oldInProgress);
    CHECK(decoded.counts == report.counts);
}

// Deployments without rollouts pay nothing for them.
TEST(RolloutWire, anUpdateWithoutRolloutsHasNoByteForThem)
{
    std::string bytes = encodeUpdate({ .instance = InstanceId("a") });
    std::string withRollouts = encodeUpdate({ .instance = InstanceId("a"), .rollouts = { report } });
    CHECK(withRollouts.size() > bytes.size());
    // The last bytes of both are the end of the struct; up to it they are the same.
    CHECK(withRollouts.starts_with(bytes.substr(0, bytes.size() - 1)));
}

TEST(RolloutWire, reportsThatCantBeAreDropped)
{
    RolloutReport withoutVersion = report;
    withoutVersion.to = {};
    RolloutReport withoutTime = report;
    withoutTime.time = {};
    RolloutReport withOddPhase = report;
    withOddPhase.position.phase = static_cast<RolloutPhase>(9);
    std::optional<InstanceUpdate> update = decodeUpdate(encodeUpdate({ .instance = InstanceId("a"), .rollouts = { withoutVersion, withoutTime, withOddPhase, report } }));
    CHECK(update.has_value());
    LONGS_EQUAL(1, update->rollouts.size());
}

TEST(RolloutWire, aRowIsDecodedWithTheTimeThatHasPassed)
{
    std::optional<RolloutRow> decoded = decodeRolloutRow(encodeRolloutRow(row, now), now + 10s);
    CHECK(decoded.has_value());
    CHECK(decoded->order == row.order);
    CHECK(decoded->to == row.to);
    CHECK(decoded->time == row.time);
    CHECK(decoded->orderAge == Duration(11500ms));
    CHECK(decoded->position == row.position);
    CHECK(decoded->holder == row.holder);
    LONGS_EQUAL(row.holderIncarnation, decoded->holderIncarnation);
}

TEST(RolloutWire, aRowOfALaterClockIsTakenAsNew)
{
    CHECK(decodeRolloutRow(encodeRolloutRow(row, now + 1h), now)->orderAge == Duration::zero());
}

TEST(RolloutWire, versionsAreDecodedWithoutTheCandidate)
{
    TargetVersions versions { .established = { TargetVersion("v1"), TargetVersion("") }, .candidate = TargetVersion("v3"), .excluded = { TargetVersion("v2") } };
    std::optional<TargetVersions> decoded = decodeVersionsRow(encodeVersionsRow(versions));
    CHECK(decoded.has_value());
    CHECK(decoded->established == versions.established);
    CHECK(decoded->excluded == versions.excluded);
    CHECK_FALSE(decoded->candidate.has_value());
}

TEST(RolloutWire, malformedRowsAreRejected)
{
    for (const char* bytes : { "", "odd", "\x18\x01" }) {
        CHECK_FALSE(decodeRolloutRow(bytes, now).has_value());
        CHECK_FALSE(decodeVersionsRow(bytes).has_value());
    }
}
