#include "core/RolloutEvidence.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace limpetpond {

namespace {

    // Bounds on what one instance reports of its answers. Further routes are counted together, as route 0.
    constexpr std::size_t maxRoutes = 16;
    constexpr std::size_t maxCounts = 160;

    /// Buckets of the answers' times for each doubling, from one millisecond to about a minute.
    constexpr double bucketsPerDoubling = 2.5;

    /// Answers of old targets that must be known before a time can count as slow.
    constexpr std::uint32_t minTimes = 5;

    // A sound version that runs under twice the load may need up to half as much more time; bad ones need several times as much.
    constexpr double slowFactor = 2.5; ///< Of the median.
    constexpr double verySlowFactor = 2; ///< Of the time in which nine of ten answers ended.

    constexpr std::size_t maxSnapshots = 8;
    constexpr std::uint64_t firstSnapshotInterval = 25;

    // Probability that a version is called bad though it is no worse than `toleratedRate()`, or sound though it is no better than
    // the rejected rate, in all looks together: by Ville's inequality for likelihood ratios.
    constexpr double falseBadLevel = 0.01;
    constexpr double falseSoundLevel = 0.01;

    // For the latest window and for single routes, which are compared beside the whole.
    constexpr double falseSoundWindowLevel = 0.05;
    constexpr double falseSoundRouteLevel = 0.06;

    /// Answers of the new version without which it isn't called sound: in all, and in the latest window.
    constexpr double minAnswers = 50;
    constexpr double minWindowAnswers = 80;
    constexpr double minBadAnswers = 4;

    // A route with less of the old answers, or with fewer, isn't compared on its own.
    constexpr double notableRoutePart = 0.04;
    constexpr double minOldAnswers = 20;

    /// A route with so much of the old answers is held to the same limits as all of them together.
    constexpr double mainRoutePart = 0.3;

    // More of the new version's answers are late in the window, so that trouble of all targets that begins late raises its rate by up to
    // half as much again.
    constexpr double troubleFactor = 1.5;
    constexpr double toleratedMargin = 0.03;
    constexpr double rejectedMargin = 0.13;
    constexpr double rejectedSlowMargin = 0.25; ///< A version that is three times slower has at least so many more slow answers.
    constexpr double rejectedRouteMargin = 0.3;
    constexpr double rejectedSlowRouteMargin = 0.4;
    constexpr double expectedMargin = 0.03;
    constexpr double expectedRouteMargin = 0.06;
    constexpr double maxRate = 0.97;

    constexpr std::array<double, 5> alternatives { 0.1, 0.2, 0.4, 0.7, 0.95 }; ///< Between the tolerated rate and 1.

    // Recording.

    std::size_t bucketOf(Duration time)
    {
        double bucket = bucketsPerDoubling * std::log2(std::max(toMilliseconds(time), 1.0));
        return std::min(static_cast<std::size_t>(bucket), std::tuple_size_v<decltype(RolloutCounts::Times::buckets)> - 1);
    }

    /// The time below which this part of the answers ended, with times spread evenly in each bucket.
    Duration quantile(const RolloutCounts::Times& times, double part)
    {
        double rank = part * times.count;
        std::size_t bucket = 0;
        while (bucket + 1 < times.buckets.size() && rank > times.buckets[bucket])
            rank -= times.buckets[bucket++];
        double inBucket = times.buckets[bucket] ? std::min(rank / times.buckets[bucket], 1.0) : 0;
        return fromMilliseconds(std::exp2((static_cast<double>(bucket) + inBucket) / bucketsPerDoubling));
    }

    RolloutCounts::Times timesOfAllRoutes(const RolloutCounts& counts)
    {
        RolloutCounts::Times all;
        for (const auto& [route, times] : counts.oldTimes) {
            for (std::size_t i = 0; i < all.buckets.size(); ++i)
                all.buckets[i] += times.buckets[i];
            all.count += times.count;
        }
        return all;
    }

    auto countKey(const RolloutCount& count) { return std::tuple(count.route, count.target); }

    std::vector<RolloutCount>::iterator findOrInsert(std::vector<RolloutCount>& counts, std::uint32_t route, std::uint32_t target)
    {
        RolloutCount wanted { .route = route, .target = target };
        auto found = std::lower_bound(counts.begin(), counts.end(), wanted, [](const RolloutCount& a, const RolloutCount& b) { return countKey(a) < countKey(b); });
        if (found == counts.end() || countKey(*found) != countKey(wanted))
            found = counts.insert(found, wanted);
        return found;
    }

    bool isKnownRoute(const RolloutCounts& counts, std::uint32_t route)
    {
        return std::any_of(counts.counts.begin(), counts.counts.end(), [&](const RolloutCount& count) { return count.route == route; });
    }

    std::size_t routeCount(const RolloutCounts& counts)
    {
        std::size_t routes = 0;
        for (std::size_t i = 0; i < counts.counts.size(); ++i)
            routes += !i || counts.counts[i].route != counts.counts[i - 1].route;
        return routes;
    }

    // Merging.

    void addCounts(std::vector<RolloutCount>& totals, const std::vector<RolloutCount>& counts)
    {
        for (const RolloutCount& count : counts) {
            auto total = findOrInsert(totals, count.route, count.target);
            total->answers += count.answers;
            total->failures += count.failures;
            total->slow += count.slow;
            total->verySlow += count.verySlow;
        }
    }

    void subtractCounts(std::vector<RolloutCount>& totals, const std::vector<RolloutCount>& counts)
    {
        for (const RolloutCount& count : counts) {
            auto total = findOrInsert(totals, count.route, count.target);
            total->answers -= std::min(total->answers, count.answers);
            total->failures -= std::min(total->failures, count.failures);
            total->slow -= std::min(total->slow, count.slow);
            total->verySlow -= std::min(total->verySlow, count.verySlow);
        }
    }

    std::uint64_t newAnswersOf(const std::vector<RolloutCount>& counts)
    {
        std::uint64_t answers = 0;
        for (const RolloutCount& count : counts)
            answers += count.target ? count.answers : 0;
        return answers;
    }

    void takeSnapshot(RolloutEvidence& evidence)
    {
        if (!evidence.snapshotInterval)
            evidence.snapshotInterval = firstSnapshotInterval;
        std::uint64_t last = evidence.snapshots.empty() ? 0 : newAnswersOf(evidence.snapshots.back());
        if (newAnswersOf(evidence.totals) < last + evidence.snapshotInterval)
            return;
        if (evidence.snapshots.size() >= maxSnapshots) {
            std::vector<std::vector<RolloutCount>> kept;
            for (std::size_t i = 1; i < evidence.snapshots.size(); i += 2)
                kept.push_back(std::move(evidence.snapshots[i]));
            evidence.snapshots = std::move(kept);
            evidence.snapshotInterval *= 2;
        }
        evidence.snapshots.push_back(evidence.totals);
    }

    // Judging.

    enum class Measure {
        Failures,
        Slow,
        VerySlow,
    };
    constexpr std::array measures { Measure::Failures, Measure::Slow, Measure::VerySlow };

    double badAnswers(const RolloutCount& count, Measure measure)
    {
        return measure == Measure::Failures ? count.failures : measure == Measure::Slow ? count.slow
                                                                                        : count.verySlow;
    }

    /// The answers of one new target, as one test sees them.
    struct TargetAnswers {
        std::uint32_t target { 0 };
        double answers { 0 };
        double bad { 0 };
        double expectedBad { 0 }; ///< At the old targets' rates on the same routes.
    };

    /// The answers of several new targets.
    struct Sample {
        double answers { 0 };
        double bad { 0 };
        double oldRate { 0 }; ///< The share of bad answers that old targets have on the same routes.
    };

    /// The totals, or what they have gained since a snapshot, with sums.
    struct Window {
        std::vector<RolloutCount> counts;
        RolloutCount old;
        std::vector<std::uint32_t> notableRoutes;
        std::size_t leftOut { 0 }; ///< Targets: a quarter of all that have answered, rounded up, but never all.
    };

    std::size_t leftOut(const std::vector<RolloutCount>& totals)
    {
        std::set<std::uint32_t> targets;
        for (const RolloutCount& count : totals) {
            if (count.target)
                targets.insert(count.target);
        }
        return targets.size() > 1 ? (targets.size() + 3) / 4 : 0;
    }

    Window windowSince(const std::vector<RolloutCount>& totals, const std::vector<RolloutCount>& snapshot)
    {
        Window window { .counts = totals, .leftOut = leftOut(totals) };
        subtractCounts(window.counts, snapshot);
        for (const RolloutCount& count : window.counts) {
            if (count.target)
                continue;
            window.old.answers += count.answers;
            window.old.failures += count.failures;
            window.old.slow += count.slow;
            window.old.verySlow += count.verySlow;
        }
        for (const RolloutCount& count : window.counts) {
            if (!count.target && count.answers >= std::max(minOldAnswers, notableRoutePart * window.old.answers))
                window.notableRoutes.push_back(count.route);
        }
        return window;
    }

    /// The old targets' rate on a route. Where there are few answers, the rate of all routes counts for more.
    double oldRate(const Window& window, std::uint32_t route, Measure measure)
    {
        double all = (badAnswers(window.old, measure) + 0.5) / (window.old.answers + 1);
        for (const RolloutCount& count : window.counts) {
            if (!count.target && count.route == route)
                return (badAnswers(count, measure) + 2 * all) / (count.answers + 2);
        }
        return all;
    }

    /// Which answers of a window belong to a test.
    using CountFilter = bool (*)(const RolloutCount&, std::optional<std::uint32_t> route);
    bool isOnRoute(const RolloutCount& count, std::optional<std::uint32_t> route) { return !route || count.route == *route; }
    bool isOnOtherRoute(const RolloutCount& count, std::optional<std::uint32_t> route) { return count.route != *route; }

    /// The new targets' answers, the target with the most bad ones beyond the expected first.
    std::vector<TargetAnswers> answersByTarget(const Window& window, std::optional<std::uint32_t> route, Measure measure, CountFilter filter = isOnRoute)
    {
        std::vector<TargetAnswers> targets;
        for (const RolloutCount& count : window.counts) {
            if (!count.target || !count.answers || !filter(count, route))
                continue;
            auto found = std::find_if(targets.begin(), targets.end(), [&](const TargetAnswers& target) { return target.target == count.target; });
            if (found == targets.end())
                found = targets.insert(targets.end(), { .target = count.target });
            found->answers += count.answers;
            found->bad += badAnswers(count, measure);
            found->expectedBad += count.answers * oldRate(window, count.route, measure);
        }
        auto excess = [](const TargetAnswers& target) { return target.bad - target.expectedBad; };
        std::sort(targets.begin(), targets.end(), [&](const TargetAnswers& a, const TargetAnswers& b) { return excess(a) > excess(b); });
        return targets;
    }

    /// The targets' answers on the route, in the order of what they do on the other routes: the route's own answers then don't decide
    /// which of them are left out.
    std::vector<TargetAnswers> answersInOrderOfOtherRoutes(const Window& window, std::uint32_t route, Measure measure)
    {
        std::vector<TargetAnswers> others = answersByTarget(window, route, measure, isOnOtherRoute);
        std::vector<TargetAnswers> targets = answersByTarget(window, route, measure);
        auto rank = [&](const TargetAnswers& target) {
            return std::find_if(others.begin(), others.end(), [&](const TargetAnswers& other) { return other.target == target.target; }) - others.begin();
        };
        std::sort(targets.begin(), targets.end(), [&](const TargetAnswers& a, const TargetAnswers& b) { return std::pair(rank(a), a.target) < std::pair(rank(b), b.target); });
        return targets;
    }

    Sample sampleWithout(const std::vector<TargetAnswers>& targets, std::size_t left)
    {
        Sample sample;
        double expectedBad = 0;
        for (std::size_t i = left; i < targets.size(); ++i) {
            sample.answers += targets[i].answers;
            sample.bad += targets[i].bad;
            expectedBad += targets[i].expectedBad;
        }
        sample.oldRate = sample.answers > 0 ? expectedBad / sample.answers : 0;
        return sample;
    }

    /// The logarithm of the number of ways in which so many targets can be left out.
    double logChoices(std::size_t targets, std::size_t left)
    {
        auto total = static_cast<double>(targets);
        auto part = static_cast<double>(left);
        return std::lgamma(total + 1) - std::lgamma(part + 1) - std::lgamma(total - part + 1);
    }

    double logRatio(const Sample& sample, double rate, double than)
    {
        return sample.bad * std::log(rate / than) + (sample.answers - sample.bad) * std::log((1 - rate) / (1 - than));
    }

    double toleratedRate(double rate) { return std::min(troubleFactor * rate + toleratedMargin, maxRate); }

    /// Distances from the old targets' rate.
    struct SoundMargins {
        double expected { 0 }; ///< Of a sound version.
        double rejected { 0 }; ///< Of one that is not to be called sound.
    };

    SoundMargins marginsOf(Measure measure, bool isMain)
    {
        if (measure == Measure::Slow)
            return isMain ? SoundMargins { expectedMargin, rejectedSlowMargin } : SoundMargins { expectedRouteMargin, rejectedSlowRouteMargin };
        return isMain ? SoundMargins { expectedMargin, rejectedMargin } : SoundMargins { expectedRouteMargin, rejectedRouteMargin };
    }

    /// The logarithm of the evidence that bad answers are more frequent than tolerated: a mean of likelihood ratios.
    double evidenceAgainst(const Sample& sample)
    {
        if (sample.bad < minBadAnswers)
            return 0;
        double tolerated = toleratedRate(sample.oldRate);
        double sum = 0;
        for (double alternative : alternatives)
            sum += std::exp(std::min(logRatio(sample, tolerated + (1 - tolerated) * alternative, tolerated), 500.0));
        return std::log(sum / alternatives.size());
    }

    /// The logarithm of the evidence that bad answers are less frequent than what is rejected.
    double evidenceFor(const Sample& sample, const SoundMargins& margins)
    {
        double rejected = std::min(troubleFactor * sample.oldRate + margins.rejected, maxRate);
        return logRatio(sample, std::min(sample.oldRate + margins.expected, rejected), rejected);
    }

    /// Whether the targets are sound without the first few, with as many left out as need be. Where they are in the order of the same
    /// answers, each choice of the targets that are left out counts as a test of its own.
    bool isSound(const std::vector<TargetAnswers>& targets, std::size_t leftOut, const SoundMargins& margins, double level, bool isInOwnOrder)
    {
        for (std::size_t left = 0; left <= leftOut && left < targets.size(); ++left) {
            double limit = (isInOwnOrder ? logChoices(targets.size(), left) : 0) - std::log(level);
            if (evidenceFor(sampleWithout(targets, left), margins) >= limit)
                return true;
        }
        return false;
    }

    bool isSound(const Window& window, double level)
    {
        return std::all_of(measures.begin(), measures.end(),
            [&](Measure measure) { return isSound(answersByTarget(window, std::nullopt, measure), window.leftOut, marginsOf(measure, true), level, true); });
    }

    bool isSoundOnRoute(const Window& window, std::uint32_t route)
    {
        double answers = 0;
        for (const RolloutCount& count : window.counts)
            answers += !count.target && count.route == route ? count.answers : 0;
        bool isMain = answers >= mainRoutePart * window.old.answers;
        return std::all_of(measures.begin(), measures.end(), [&](Measure measure) {
            // Very slow answers count as slow too, and the margins for the few answers of a rare route are wide.
            if (!isMain && measure == Measure::VerySlow)
                return true;
            SoundMargins margins = marginsOf(measure, isMain);
            return isSound(answersInOrderOfOtherRoutes(window, route, measure), window.leftOut, margins, falseSoundRouteLevel, false)
                || isSound(answersByTarget(window, route, measure), window.leftOut, margins, falseSoundRouteLevel, true);
        });
    }

    bool hasAnswers(const Window& window, double answers) { return static_cast<double>(newAnswersOf(window.counts)) >= answers; }

    /// The strongest evidence against the version that was found in any window.
    struct Strongest {
        double evidence { 0 };
        std::uint32_t route { 0 };
    };

    void compare(Strongest& strongest, const Window& window, std::optional<std::uint32_t> route)
    {
        for (Measure measure : measures) {
            std::vector<TargetAnswers> targets = answersByTarget(window, route, measure);
            double evidence = evidenceAgainst(sampleWithout(targets, window.leftOut));
            if (evidence > strongest.evidence)
                strongest = { .evidence = evidence, .route = route.value_or(0) };
        }
    }

    void describe(RolloutJudgement& judgement, const Window& window)
    {
        std::array<Sample, measures.size()> samples;
        for (std::size_t i = 0; i < measures.size(); ++i) {
            std::vector<TargetAnswers> targets = answersByTarget(window, std::nullopt, measures[i]);
            samples[i] = sampleWithout(targets, window.leftOut);
        }
        judgement.newAnswers = static_cast<std::uint32_t>(samples[0].answers);
        judgement.newFailures = static_cast<std::uint32_t>(samples[0].bad);
        judgement.newSlow = static_cast<std::uint32_t>(samples[1].bad);
        judgement.oldAnswers = window.old.answers;
        judgement.oldFailures = window.old.failures;
        judgement.oldSlow = window.old.slow;
    }

} // namespace

void recordAnswer(RolloutCounts& counts, const RolloutAnswer& answer)
{
    std::uint32_t route = isKnownRoute(counts, answer.route) || routeCount(counts) < maxRoutes ? answer.route : 0;
    bool isSlow = false;
    bool isVerySlow = false;
    if (!answer.isFailure) {
        RolloutCounts::Times times = counts.oldTimes[route];
        if (times.count < minTimes)
            times = timesOfAllRoutes(counts);
        isVerySlow = answer.isGivenUp || (times.count >= minTimes && answer.time > verySlowFactor * quantile(times, 0.9));
        isSlow = isVerySlow || (times.count >= minTimes && answer.time > slowFactor * quantile(times, 0.5));
    }
    std::uint32_t target = answer.newTarget ? std::max<std::uint32_t>(*answer.newTarget, 1) : 0;
    auto count = findOrInsert(counts.counts, route, target);
    if (!count->answers && counts.counts.size() > maxCounts) {
        counts.counts.erase(count);
        return;
    }
    ++count->answers;
    count->failures += answer.isFailure;
    count->slow += isSlow;
    count->verySlow += isVerySlow;
    if (!answer.newTarget && !answer.isFailure) {
        RolloutCounts::Times& times = counts.oldTimes[route];
        ++times.buckets[bucketOf(answer.time)];
        ++times.count;
    }
}

void mergeCounts(RolloutEvidence& evidence, std::uint32_t instance, std::uint64_t incarnation, const std::vector<RolloutCount>& counts)
{
    std::uint64_t answers = 0;
    for (const RolloutCount& count : counts)
        answers += count.answers;
    RolloutEvidence::Instance& known = evidence.instances[instance];
    if (incarnation < known.incarnation || (incarnation == known.incarnation && answers <= known.answers))
        return;
    if (incarnation == known.incarnation)
        subtractCounts(evidence.totals, known.counts);
    addCounts(evidence.totals, counts);
    known = { .incarnation = incarnation, .answers = answers, .counts = counts };
    takeSnapshot(evidence);
}

RolloutJudgement judge(const RolloutEvidence& evidence)
{
    RolloutJudgement judgement;
    std::vector<Window> windows { windowSince(evidence.totals, {}) };
    for (const std::vector<RolloutCount>& snapshot : evidence.snapshots)
        windows.push_back(windowSince(evidence.totals, snapshot));
    const Window& all = windows.front();
    describe(judgement, all);

    Strongest strongest;
    for (const Window& window : windows) {
        compare(strongest, window, std::nullopt);
        for (std::uint32_t route : all.notableRoutes)
            compare(strongest, window, route);
    }
    judgement.route = strongest.route;
    auto tests = static_cast<double>(measures.size() * windows.size() * (all.notableRoutes.size() + 1));
    if (strongest.evidence >= std::log(tests / falseBadLevel)) {
        judgement.verdict = RolloutVerdict::Bad;
        return judgement;
    }
    // The latest window with enough answers tells whether the version has stayed sound, also under load.
    auto latest = std::find_if(windows.rbegin(), windows.rend(), [](const Window& window) { return hasAnswers(window, minWindowAnswers); });
    bool isLatestSound = latest == windows.rend() || isSound(*latest, falseSoundWindowLevel);
    bool areRoutesSound = std::all_of(all.notableRoutes.begin(), all.notableRoutes.end(), [&](std::uint32_t route) { return isSoundOnRoute(all, route); });
    if (hasAnswers(all, minAnswers) && isLatestSound && isSound(all, falseSoundLevel) && areRoutesSound)
        judgement.verdict = RolloutVerdict::Sound;
    return judgement;
}

} // namespace limpetpond
