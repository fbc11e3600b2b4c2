#include "core/RolloutEvidence.h"
#include "core/Hash.h"
#include <algorithm>
#include <cmath>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t mainRoute = 1;
constexpr std::uint32_t rareRoute = 2;

RolloutCounts countsAfterOldAnswers(std::uint32_t route, int count, Duration time)
{
    RolloutCounts counts;
    for (int i = 0; i < count; ++i)
        recordAnswer(counts, { .route = route, .time = time });
    return counts;
}

RolloutCount countOf(const RolloutCounts& counts, std::uint32_t route, std::uint32_t target)
{
    for (const RolloutCount& count : counts.counts) {
        if (count.route == route && count.target == target)
            return count;
    }
    return {};
}

/// Counts of old answers and of those of five new targets; `bad` of each target's answers are failures.
std::vector<RolloutCount> failuresByTarget(std::uint32_t oldAnswers, std::uint32_t oldFailures, std::uint32_t answers, const std::vector<std::uint32_t>& bad)
{
    std::vector<RolloutCount> counts { { .route = mainRoute, .answers = oldAnswers, .failures = oldFailures } };
    for (std::uint32_t target = 0; target < bad.size(); ++target)
        counts.push_back({ .route = mainRoute, .target = target + 1, .answers = answers, .failures = bad[target] });
    return counts;
}

RolloutVerdict verdictOf(const std::vector<RolloutCount>& counts)
{
    RolloutEvidence evidence;
    mergeCounts(evidence, 1, 1, counts);
    return judge(evidence).verdict;
}

/// The verdict after a stream of answers that is judged every ten answers, as far as `Bad` and `Sound` were seen on the way.
struct Stream {
    bool wasBad { false };
    bool wasSound { false };
};

Stream judgeStream(std::uint32_t seed, int newAnswers, double newFailures, double oldFailures)
{
    std::mt19937 random(seed);
    auto draw = [&](double rate) { return std::uniform_real_distribution<double>(0, 1)(random) < rate; };
    RolloutCounts counts;
    RolloutEvidence evidence;
    Stream stream;
    for (int i = 0; i < newAnswers; ++i) {
        for (int old = 0; old < 10; ++old)
            recordAnswer(counts, { .route = mainRoute, .time = 10ms, .isFailure = draw(oldFailures) });
        recordAnswer(counts, { .route = mainRoute, .newTarget = static_cast<std::uint32_t>(1 + i % 5), .time = 10ms, .isFailure = draw(newFailures) });
        if (i % 10)
            continue;
        mergeCounts(evidence, 1, 1, counts.counts);
        RolloutVerdict verdict = judge(evidence).verdict;
        stream.wasBad |= verdict == RolloutVerdict::Bad;
        stream.wasSound |= verdict == RolloutVerdict::Sound;
    }
    return stream;
}

} // namespace

TEST_GROUP(RolloutEvidence) {};

TEST(RolloutEvidence, anAnswerIsSlowByTheTimesOfOldTargetsOnItsRoute)
{
    RolloutCounts counts = countsAfterOldAnswers(mainRoute, 20, 100ms);
    for (int i = 0; i < 20; ++i)
        recordAnswer(counts, { .route = rareRoute, .time = 1s });
    recordAnswer(counts, { .route = mainRoute, .newTarget = 7, .time = 150ms });
    recordAnswer(counts, { .route = mainRoute, .newTarget = 7, .time = 600ms });
    recordAnswer(counts, { .route = rareRoute, .newTarget = 7, .time = 1500ms });
    LONGS_EQUAL(2, countOf(counts, mainRoute, 7).answers);
    LONGS_EQUAL(1, countOf(counts, mainRoute, 7).slow);
    LONGS_EQUAL(0, countOf(counts, rareRoute, 7).slow);
}

// An instance with a few requests a second knows no times of a rare route for many seconds.
TEST(RolloutEvidence, withoutTimesOfTheRouteThoseOfAllRoutesTellWhatIsSlow)
{
    RolloutCounts counts = countsAfterOldAnswers(mainRoute, 5, 100ms);
    recordAnswer(counts, { .route = rareRoute, .newTarget = 7, .time = 600ms });
    LONGS_EQUAL(1, countOf(counts, rareRoute, 7).slow);
}

// Without anything to compare it with, no time is slow; a failure is one at once.
TEST(RolloutEvidence, beforeOldAnswersOnlyFailuresCount)
{
    RolloutCounts counts;
    recordAnswer(counts, { .route = mainRoute, .newTarget = 7, .time = 60s });
    recordAnswer(counts, { .route = mainRoute, .newTarget = 7, .time = 1ms, .isFailure = true });
    LONGS_EQUAL(2, countOf(counts, mainRoute, 7).answers);
    LONGS_EQUAL(1, countOf(counts, mainRoute, 7).failures);
    LONGS_EQUAL(0, countOf(counts, mainRoute, 7).slow);
}

TEST(RolloutEvidence, anAttemptThatWasGivenUpIsSlow)
{
    RolloutCounts counts;
    recordAnswer(counts, { .route = mainRoute, .newTarget = 7, .time = 1ms, .isGivenUp = true });
    LONGS_EQUAL(1, countOf(counts, mainRoute, 7).slow);
    LONGS_EQUAL(1, countOf(counts, mainRoute, 7).verySlow);
}

// Callers choose the routes' names; an update must not grow with them.
TEST(RolloutEvidence, countsAreBounded)
{
    RolloutCounts counts;
    for (std::uint32_t i = 1; i <= 100000; ++i)
        recordAnswer(counts, { .route = i, .newTarget = i % 150 + 1, .time = 1ms });
    CHECK(counts.counts.size() <= 160);
    CHECK(std::is_sorted(counts.counts.begin(), counts.counts.end(), [](const RolloutCount& a, const RolloutCount& b) { return std::pair(a.route, a.target) < std::pair(b.route, b.target); }));
}

TEST(RolloutEvidence, repeatedAndReorderedReportsChangeNothing)
{
    std::vector<RolloutCount> early = failuresByTarget(100, 1, 2, { 1, 0 });
    std::vector<RolloutCount> late = failuresByTarget(200, 2, 4, { 1, 1 });
    RolloutEvidence once;
    mergeCounts(once, 1, 1, late);
    RolloutEvidence repeated;
    for (const auto& counts : { early, late, early, late })
        mergeCounts(repeated, 1, 1, counts);
    CHECK(once.totals == repeated.totals);
}

// A rolling restart must not lose the evidence that was gathered.
TEST(RolloutEvidence, answersOfAnEarlierIncarnationStay)
{
    RolloutEvidence evidence;
    mergeCounts(evidence, 1, 1, failuresByTarget(100, 1, 2, { 1, 0 }));
    mergeCounts(evidence, 1, 2, failuresByTarget(10, 0, 1, { 0, 0 }));
    mergeCounts(evidence, 1, 1, failuresByTarget(500, 1, 2, { 1, 0 }));
    LONGS_EQUAL(110, evidence.totals.front().answers);
}

TEST(RolloutEvidence, withoutAnswersNothingIsDecided)
{
    CHECK(judge({}).verdict == RolloutVerdict::Undecided);
    CHECK(verdictOf(failuresByTarget(1000, 2, 0, {})) == RolloutVerdict::Undecided);
    CHECK(verdictOf(failuresByTarget(1000, 2, 5, { 0, 0, 0, 0, 0 })) == RolloutVerdict::Undecided);
}

TEST(RolloutEvidence, aVersionThatFailsAtAllTargetsIsBad)
{
    CHECK(verdictOf(failuresByTarget(1000, 2, 10, { 4, 4, 4, 4, 4 })) == RolloutVerdict::Bad);
}

TEST(RolloutEvidence, aVersionWithoutTroubleIsSoundAfterEnoughAnswers)
{
    CHECK(verdictOf(failuresByTarget(1000, 2, 20, { 0, 1, 0, 0, 0 })) == RolloutVerdict::Sound);
}

// Trouble of single targets, which old and new ones have alike, must not condemn a version.
TEST(RolloutEvidence, troubleOfTwoOfFiveTargetsCondemnsNoVersion)
{
    CHECK(verdictOf(failuresByTarget(1000, 20, 30, { 20, 12, 0, 1, 0 })) == RolloutVerdict::Sound);
}

// Trouble of old and new targets alike, such as a burst, must not condemn a version.
TEST(RolloutEvidence, troubleOfBothSidesCondemnsNoVersion)
{
    CHECK(verdictOf(failuresByTarget(1000, 300, 30, { 9, 9, 9, 9, 9 })) != RolloutVerdict::Bad);
    CHECK(verdictOf(failuresByTarget(1000, 300, 30, { 27, 27, 27, 27, 27 })) == RolloutVerdict::Bad);
}

TEST(RolloutEvidence, aVersionThatIsSlowAtAllTargetsIsBad)
{
    std::vector<RolloutCount> counts = failuresByTarget(1000, 0, 10, { 0, 0, 0, 0, 0 });
    for (RolloutCount& count : counts)
        count.slow = count.target ? 7 : 30;
    CHECK(verdictOf(counts) == RolloutVerdict::Bad);
}

// All routes together hide a route with a small part of the requests.
TEST(RolloutEvidence, aVersionThatFailsOnARareRouteIsBadAndNotSoundWithoutAnswersThere)
{
    std::vector<RolloutCount> counts = failuresByTarget(1000, 2, 40, { 0, 0, 0, 0, 0 });
    counts.push_back({ .route = rareRoute, .answers = 65 });
    CHECK(verdictOf(counts) == RolloutVerdict::Undecided);
    std::vector<RolloutCount> sound = counts;
    for (std::uint32_t target = 1; target <= 5; ++target) {
        sound.push_back({ .route = rareRoute, .target = target, .answers = 5 });
        counts.push_back({ .route = rareRoute, .target = target, .answers = 5, .failures = 4 });
    }
    CHECK(verdictOf(sound) == RolloutVerdict::Sound);
    RolloutEvidence evidence;
    mergeCounts(evidence, 1, 1, counts);
    CHECK(judge(evidence).verdict == RolloutVerdict::Bad);
    LONGS_EQUAL(rareRoute, judge(evidence).route);
}

// Many good answers from the time before must not hide a version that turns bad.
TEST(RolloutEvidence, aVersionThatTurnsBadLaterIsNotSoundAndThenBad)
{
    RolloutEvidence evidence;
    for (std::uint32_t answers = 1; answers <= 200; ++answers)
        mergeCounts(evidence, 1, 1, failuresByTarget(answers * 50, 0, answers, { 0, 0, 0, 0, 0 }));
    CHECK(judge(evidence).verdict == RolloutVerdict::Sound);
    std::uint32_t failures = 0;
    RolloutVerdict verdict = RolloutVerdict::Sound;
    for (std::uint32_t answers = 201; answers <= 240 && verdict != RolloutVerdict::Bad; ++answers) {
        failures += answers % 2;
        mergeCounts(evidence, 1, 1, failuresByTarget(answers * 50, 0, answers, { failures, failures, failures, failures, failures }));
        verdict = judge(evidence).verdict;
        CHECK(failures < 8 || verdict != RolloutVerdict::Sound);
    }
    CHECK(verdict == RolloutVerdict::Bad);
}

// The error rates have to hold over all looks together, not for each.
TEST(RolloutEvidence, manyLooksKeepTheErrorRates)
{
    int badCalledSound = 0;
    int soundCalledBad = 0;
    int soundNotCalledSound = 0;
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        badCalledSound += judgeStream(seed, 250, 0.16, 0.01).wasSound;
        Stream sound = judgeStream(seed, 250, 0.01, 0.01);
        soundCalledBad += sound.wasBad;
        soundNotCalledSound += !sound.wasSound;
    }
    CHECK(badCalledSound <= 1);
    LONGS_EQUAL(0, soundCalledBad);
    CHECK(soundNotCalledSound <= 2);
}

TEST(RolloutEvidence, theJudgementTellsWhatItRestsOn)
{
    RolloutEvidence evidence;
    mergeCounts(evidence, 1, 1, failuresByTarget(1000, 3, 20, { 10, 1, 0, 0, 0 }));
    RolloutJudgement judgement = judge(evidence);
    LONGS_EQUAL(60, judgement.newAnswers);
    LONGS_EQUAL(0, judgement.newFailures);
    LONGS_EQUAL(1000, judgement.oldAnswers);
    LONGS_EQUAL(3, judgement.oldFailures);
}
