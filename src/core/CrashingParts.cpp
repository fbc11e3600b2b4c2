#include "core/CrashingParts.h"

#include "core/Guard.h"
#include <algorithm>
#include <bit>
#include <iterator>
#include <tuple>
#include <utility>

namespace limpetpond {

namespace {

    constexpr std::size_t minCrashes = 3; ///< In a row, for a part without any answer.
    constexpr std::uint64_t minAnswersToDecide = 20; ///< An instance with fewer answers can't tell popular parts from others.
    constexpr std::size_t minCrashesWithFewAnswers = 6; ///< Nothing is known yet of the parts that many requests hold.
    constexpr std::size_t minLead = 2; ///< Crashes of the only explanation at which each other part was missing; a popular part is missing at few.
    constexpr std::size_t manySuspects = 16; ///< From this number of suspected parts on, one more crash is needed.
    constexpr std::size_t maxCrashes = 8; ///< Kept of one part; enough for a part with any number of answers.
    constexpr int minOtherAnswers = 3; ///< Otherwise the whole pool is in trouble, and a part that all requests share would be blamed.
    constexpr std::size_t minCrashesApart = 2; ///< For a part that is at `manyCrashes` of them, so that not all have one common cause.
    constexpr std::size_t manyCrashes = 5;
    constexpr double minShareOfCrashes = 0.75; ///< A part that is at fewer crashes doesn't explain them.
    constexpr Duration minCrashSpacing = std::chrono::milliseconds(100); ///< Targets that crash closer together may have one common cause, such as a rack.
    constexpr Duration minTimeToNextCrash = std::chrono::milliseconds(1500); ///< Of the same target; reports of one crash differ by less, and a target takes longer to start again.
    constexpr Duration suspicionLifetime = std::chrono::hours(2);

    constexpr std::size_t maxRecentCrashes = 64;
    /// More than the heads of two requests can list. Otherwise the parts of one request would displace each other, and the
    /// crashing one might never be kept.
    constexpr std::size_t maxSuspects = 8192;
    constexpr std::size_t suspectsDroppedAtOnce = maxSuspects / 8;
    constexpr std::size_t maxAnsweredParts = 8192; ///< In each of the two maps.

    constexpr Duration firstTrialInterval = std::chrono::seconds(15);
    constexpr int trialIntervalFactor = 4; ///< For each further crash: a trial that fails costs a target and the requests in progress there.
    constexpr Duration maxTrialInterval = std::chrono::hours(1);
    constexpr Duration trialTurn = std::chrono::seconds(1); ///< Longer than a trial and the update about its end usually take.

    constexpr std::size_t minCrashesToProbe = 2; ///< A single crash is often a coincidence.
    constexpr Duration probeTime = std::chrono::milliseconds(2500); ///< Longer than a slow target takes to begin an answer, and the update about it.
    constexpr std::size_t maxEarlyCrashes = 4; ///< With more, one probe is sent at a time over all instances, and the interval between requests with all common suspects grows.
    constexpr Duration firstAllSuspectsInterval = std::chrono::seconds(6); ///< Longer than a target usually takes to be back and to answer another request.
    constexpr Duration allSuspectsTurn = std::chrono::seconds(3); ///< Longer than an answer or a crash and the update about it take.

    constexpr Duration reportTime = std::chrono::seconds(1); ///< A change is reported in each update for this long, since single updates may be lost.
    constexpr std::size_t minCrashesToRepeat = 2; ///< A part with fewer crashes is usually there by coincidence and isn't reported again.
    constexpr std::size_t maxReports = 16; ///< In one update.

    std::uint32_t answersOf(const AnsweredParts& answered, PromptPart part)
    {
        auto recent = answered.recent.find(part);
        auto older = answered.older.find(part);
        return (recent == answered.recent.end() ? 0 : recent->second) + (older == answered.older.end() ? 0 : older->second);
    }

    void countAnswer(AnsweredParts& answered, PromptPart part)
    {
        if (answered.recent.size() >= maxAnsweredParts) {
            answered.older = std::move(answered.recent);
            answered.recent.clear();
        }
        ++answered.recent[part];
    }

    /// Whether so many parts are suspected at the same time that a sound part meets several crashes by coincidence.
    bool areManySuspected(const CrashingParts& parts)
    {
        std::size_t count = 0;
        return std::any_of(parts.suspects.begin(), parts.suspects.end(), [&](const auto& entry) { return !entry.second.crashes.empty() && ++count == manySuspects; });
    }

    /// What the decisions on single parts share; valid until a suspicion changes.
    struct Evidence {
        const CrashingParts& parts;
        bool areManySuspected { false };
    };

    Evidence evidenceOf(const CrashingParts& parts) { return { .parts = parts, .areManySuspected = areManySuspected(parts) }; }

    /// One more crash for each factor of four in the number of answers: a popular part is at most targets that crash.
    std::size_t crashesNeeded(const Evidence& evidence, PromptPart part)
    {
        std::size_t forAnswers = static_cast<std::size_t>(std::bit_width(answersOf(evidence.parts.answered, part))) / 2;
        return std::min(minCrashes + forAnswers + evidence.areManySuspected, maxCrashes);
    }

    std::size_t countCrashes(const SuspectPart& suspect) { return suspect.crashes.size() + suspect.simultaneousCrashes.size(); }

    bool hasEnoughAnswers(const CrashingParts& parts) { return parts.answers >= minAnswersToDecide; }

    bool isEarlier(const TargetCrash& a, const TargetCrash& b) { return a.at < b.at; }

    /// Whether the part was at almost all crashes of the pool since its first one.
    bool isAtAlmostAllCrashes(const CrashingParts& parts, const SuspectPart& suspect)
    {
        SteadyTime first = std::min_element(suspect.crashes.begin(), suspect.crashes.end(), isEarlier)->at;
        auto all = std::count_if(parts.recentCrashes.begin(), parts.recentCrashes.end(), [&](const TargetCrash& crash) { return crash.at > first - minCrashSpacing; });
        return static_cast<double>(countCrashes(suspect)) >= minShareOfCrashes * static_cast<double>(all);
    }

    bool hasCrashedWhileOthersAreAnswered(const Evidence& evidence, PromptPart part, const SuspectPart& suspect)
    {
        return suspect.otherAnswers >= minOtherAnswers && suspect.crashes.size() >= crashesNeeded(evidence, part);
    }

    bool explainsAlmostAllCrashes(const Evidence& evidence, PromptPart part, const SuspectPart& suspect)
    {
        if (answersOf(evidence.parts.answered, part) > 0 || !isAtAlmostAllCrashes(evidence.parts, suspect))
            return false;
        bool areManyApart = suspect.crashes.size() >= crashesNeeded(evidence, part);
        return areManyApart || (suspect.crashes.size() >= minCrashesApart && countCrashes(suspect) >= manyCrashes);
    }

    bool explainsCrashes(const Evidence& evidence, PromptPart part, const SuspectPart& suspect)
    {
        return hasCrashedWhileOthersAreAnswered(evidence, part, suspect) || explainsAlmostAllCrashes(evidence, part, suspect);
    }

    /// Whether each other part has been answered or was missing at some of the crashes.
    bool isOnlyExplanation(const CrashingParts& parts, PromptPart part, const SuspectPart& suspect)
    {
        return std::none_of(parts.suspects.begin(), parts.suspects.end(), [&](const auto& entry) {
            const SuspectPart& other = entry.second;
            bool wasAnswered = other.clearings > 0 || answersOf(parts.answered, entry.first) > 0;
            return entry.first != part && !other.isQuarantined && !wasAnswered && countCrashes(other) + minLead > countCrashes(suspect);
        });
    }

    /// The evidence for an instance with few answers. An answer to a request without the part shows that not all have it.
    bool standsOut(const Evidence& evidence, PromptPart part, const SuspectPart& suspect)
    {
        return suspect.clearings == 0 && suspect.otherAnswers > 0 && countCrashes(suspect) >= minCrashesWithFewAnswers && explainsAlmostAllCrashes(evidence, part, suspect)
            && isOnlyExplanation(evidence.parts, part, suspect);
    }

    bool isCause(const Evidence& evidence, PromptPart part, const SuspectPart& suspect)
    {
        if (suspect.crashes.size() < minCrashesApart || suspect.isQuarantined)
            return false;
        if (!hasEnoughAnswers(evidence.parts))
            return standsOut(evidence, part, suspect);
        return explainsCrashes(evidence, part, suspect) && (!evidence.parts.hasCrashedBeforeAnswers || isOnlyExplanation(evidence.parts, part, suspect));
    }

    void clear(CrashingParts& parts, PromptPart part, SuspectPart& suspect, std::uint32_t clearings, SteadyTime now)
    {
        std::erase(parts.quarantined, part);
        suspect.clearings = clearings;
        suspect.crashes.clear();
        suspect.simultaneousCrashes.clear();
        suspect.otherAnswers = 0;
        suspect.isQuarantined = false;
        suspect.triedAt.reset();
        suspect.changedAt = now;
    }

    bool isQuarantined(const CrashingParts& parts, PromptPart part)
    {
        auto found = parts.suspects.find(part);
        return found != parts.suspects.end() && found->second.isQuarantined && !isGuardDisabled(GuardId::CrashingPartsRefused);
    }

    SteadyTime lastCrashAt(const SuspectPart& suspect)
    {
        SteadyTime last {};
        for (const TargetCrash& crash : suspect.crashes)
            last = std::max(last, crash.at);
        return last;
    }

    bool isKnownCrash(const std::vector<TargetCrash>& crashes, const TargetCrash& crash)
    {
        return std::any_of(crashes.begin(), crashes.end(),
            [&](const TargetCrash& known) { return known.id == crash.id && std::chrono::abs(known.at - crash.at) < minTimeToNextCrash; });
    }

    bool isAtAlmostTheSameTime(const std::vector<TargetCrash>& crashes, SteadyTime at)
    {
        return std::any_of(crashes.begin(), crashes.end(), [at](const TargetCrash& known) { return std::chrono::abs(known.at - at) < minCrashSpacing; });
    }

    void addRecentCrash(CrashingParts& parts, const TargetCrash& crash)
    {
        if (isKnownCrash(parts.recentCrashes, crash))
            return;
        if (parts.recentCrashes.size() >= maxRecentCrashes)
            parts.recentCrashes.erase(parts.recentCrashes.begin());
        parts.recentCrashes.push_back(crash);
    }

    /// Adds the crash unless it is known. A list of crashes that is full keeps the newest one, from which the next trial is
    /// counted. True where a crash was added.
    bool addCrash(SuspectPart& suspect, const TargetCrash& crash)
    {
        if (isKnownCrash(suspect.crashes, crash) || isKnownCrash(suspect.simultaneousCrashes, crash))
            return false;
        bool isApart = !isAtAlmostTheSameTime(suspect.crashes, crash.at);
        std::vector<TargetCrash>& crashes = isApart ? suspect.crashes : suspect.simultaneousCrashes;
        if (crashes.size() < maxCrashes) {
            crashes.push_back(crash);
            return true;
        }
        if (!isApart)
            return false;
        auto newest = std::max_element(crashes.begin(), crashes.end(), isEarlier);
        if (crash.at < newest->at)
            return false;
        *newest = crash;
        return true;
    }

    bool hasCrash(const SuspectPart& suspect, const TargetCrash& crash) { return isKnownCrash(suspect.crashes, crash) || isKnownCrash(suspect.simultaneousCrashes, crash); }

    /// Whether another part that is quarantined explains the crash.
    bool isExplained(const CrashingParts& parts, PromptPart part, const TargetCrash& crash)
    {
        return std::any_of(parts.quarantined.begin(), parts.quarantined.end(), [&](PromptPart cause) { return cause != part && hasCrash(parts.suspects.at(cause), crash); });
    }

    /// Forgets the crashes that quarantined parts explain.
    void dropExplainedCrashes(const CrashingParts& parts, PromptPart part, SuspectPart& suspect)
    {
        std::vector<TargetCrash> crashes = std::exchange(suspect.crashes, {});
        crashes.insert(crashes.end(), suspect.simultaneousCrashes.begin(), suspect.simultaneousCrashes.end());
        suspect.simultaneousCrashes.clear();
        std::sort(crashes.begin(), crashes.end(), isEarlier);
        for (const TargetCrash& crash : crashes) {
            if (!isExplained(parts, part, crash))
                addCrash(suspect, crash);
        }
        if (suspect.crashes.empty())
            suspect.otherAnswers = 0;
    }

    void quarantine(CrashingParts& parts, const PromptParts& causes)
    {
        if (causes.empty())
            return;
        for (PromptPart cause : causes) {
            parts.suspects.at(cause).isQuarantined = true;
            parts.quarantined.insert(std::lower_bound(parts.quarantined.begin(), parts.quarantined.end(), cause), cause);
        }
        for (auto& [part, suspect] : parts.suspects) {
            if (!suspect.isQuarantined)
                dropExplainedCrashes(parts, part, suspect);
        }
    }

    void decideQuarantines(CrashingParts& parts)
    {
        PromptParts causes;
        Evidence evidence = evidenceOf(parts);
        for (const auto& [part, suspect] : parts.suspects) {
            if (isCause(evidence, part, suspect))
                causes.push_back(part);
        }
        quarantine(parts, causes);
    }

    /// Drops many at once, so that a full map costs little for each part that is added.
    void dropWeakestSuspects(CrashingParts& parts)
    {
        using Strength = std::tuple<std::size_t, bool, SteadyTime, PromptPart>;
        std::vector<Strength> strengths;
        strengths.reserve(parts.suspects.size());
        for (const auto& [part, suspect] : parts.suspects)
            strengths.emplace_back(suspect.crashes.size(), answersOf(parts.answered, part) == 0, suspect.changedAt, part);
        auto kept = strengths.begin() + suspectsDroppedAtOnce;
        std::nth_element(strengths.begin(), kept, strengths.end());
        for (auto weakest = strengths.begin(); weakest != kept; ++weakest) {
            PromptPart part = std::get<PromptPart>(*weakest);
            parts.suspects.erase(part);
            std::erase(parts.quarantined, part);
        }
    }

    SuspectPart& suspectOf(CrashingParts& parts, PromptPart part, SteadyTime now)
    {
        auto found = parts.suspects.find(part);
        if (found != parts.suspects.end())
            return found->second;
        if (parts.suspects.size() >= maxSuspects)
            dropWeakestSuspects(parts);
        return parts.suspects.emplace(part, SuspectPart { .changedAt = now }).first->second;
    }

    /// The parts that the crash makes suspect, each one once.
    PromptParts suspectedParts(const CrashingParts& parts, const std::vector<PromptParts>& requests)
    {
        PromptParts all;
        for (const PromptParts& request : requests)
            all.insert(all.end(), request.begin(), request.end());
        std::sort(all.begin(), all.end());
        all.erase(std::unique(all.begin(), all.end()), all.end());
        auto isKnownCause = [&](PromptPart part) { return isQuarantined(parts, part); };
        if (std::any_of(all.begin(), all.end(), isKnownCause))
            std::erase_if(all, [&](PromptPart part) { return !isKnownCause(part); });
        return all;
    }

    void addCrashes(SuspectReport& report, const std::vector<TargetCrash>& crashes, SteadyTime now)
    {
        for (const TargetCrash& crash : crashes)
            report.crashes.push_back({ .id = crash.id, .age = now - crash.at });
    }

    SuspectReport reportOf(PromptPart part, const SuspectPart& suspect, SteadyTime now)
    {
        SuspectReport report { .part = part, .clearings = suspect.clearings, .otherAnswers = suspect.otherAnswers, .isQuarantined = suspect.isQuarantined };
        addCrashes(report, suspect.crashes, now);
        return report;
    }

    /// Counts an answer for the parts that are still suspected; false where it is evidence for none of them.
    bool countAnswerForOthers(CrashingParts& parts)
    {
        if (parts.answersToCount == 0)
            return false;
        --parts.answersToCount;
        bool isEvidence = false;
        for (auto& [part, suspect] : parts.suspects) {
            if (suspect.crashes.empty() || suspect.otherAnswers >= minOtherAnswers)
                continue;
            ++suspect.otherAnswers;
            isEvidence = true;
        }
        return isEvidence;
    }

    bool wasAnswered(const CrashingParts& parts, PromptPart part, const SuspectPart& suspect) { return suspect.clearings > 0 || answersOf(parts.answered, part) > 0; }

    /// The parts without an answer that are at almost all crashes.
    PromptParts findCommonSuspects(const CrashingParts& parts)
    {
        std::size_t most = 0;
        std::vector<std::pair<PromptPart, std::size_t>> candidates;
        for (const auto& [part, suspect] : parts.suspects) {
            std::size_t crashes = countCrashes(suspect);
            if (suspect.isQuarantined || crashes < minCrashesToProbe || wasAnswered(parts, part, suspect))
                continue;
            candidates.emplace_back(part, crashes);
            most = std::max(most, crashes);
        }
        PromptParts common;
        for (const auto& [part, crashes] : candidates) {
            if (static_cast<double>(crashes) >= minShareOfCrashes * static_cast<double>(most))
                common.push_back(part);
        }
        return common;
    }

    void updateCommonSuspects(CrashingParts& parts)
    {
        if (!std::exchange(parts.areCommonSuspectsOutdated, false))
            return;
        PromptParts common = findCommonSuspects(parts);
        if (common != parts.commonSuspects)
            parts.probedAt.reset();
        parts.commonSuspects = std::move(common);
        parts.hasCrashedBeforeAnswers &= !hasEnoughAnswers(parts) || !parts.commonSuspects.empty();
    }

    void recordChange(CrashingParts& parts, bool isCrash)
    {
        parts.hasCrashedBeforeAnswers |= isCrash && !hasEnoughAnswers(parts);
        parts.areCommonSuspectsOutdated |= parts.hasCrashedBeforeAnswers;
    }

    /// Whether requests without the crashing part are answered, here or at a peer.
    bool areOthersAnswered(const CrashingParts& parts)
    {
        return parts.answers > 0 || std::any_of(parts.suspects.begin(), parts.suspects.end(), [](const auto& entry) { return entry.second.clearings > 0; });
    }

    /// The time without a crash after which a request with all common suspects is sent.
    Duration allSuspectsInterval(const CrashingParts& parts, std::size_t crashes)
    {
        if (crashes <= maxEarlyCrashes && !areOthersAnswered(parts))
            return firstAllSuspectsInterval;
        Duration interval = firstTrialInterval;
        for (std::size_t i = maxEarlyCrashes + 1; i < crashes; ++i)
            interval = std::min<Duration>(interval * trialIntervalFactor, maxTrialInterval);
        return interval;
    }

    bool wasObservedLately(const SuspectPart& suspect, SteadyTime now) { return suspect.observedAt && now - *suspect.observedAt < reportTime; }

} // namespace

void recordCrash(CrashingParts& parts, const TargetCrash& crash, const std::vector<PromptParts>& requests)
{
    PromptParts suspected = suspectedParts(parts, requests);
    if (std::none_of(suspected.begin(), suspected.end(), [&](PromptPart part) { return isQuarantined(parts, part); }))
        addRecentCrash(parts, crash);
    for (PromptPart part : suspected) {
        SuspectPart& suspect = suspectOf(parts, part, crash.at);
        if (!addCrash(suspect, crash))
            continue;
        suspect.changedAt = crash.at;
        suspect.observedAt = crash.at;
        parts.answersToCount = minOtherAnswers;
    }
    decideQuarantines(parts);
    recordChange(parts, true);
}

PromptParts recordAnswer(CrashingParts& parts, const PromptParts& answered, SteadyTime now)
{
    PromptParts cleared;
    ++parts.answers;
    for (PromptPart part : answered) {
        countAnswer(parts.answered, part);
        auto suspect = parts.suspects.find(part);
        if (suspect == parts.suspects.end() || suspect->second.crashes.empty())
            continue;
        clear(parts, part, suspect->second, suspect->second.clearings + 1, now);
        suspect->second.observedAt = now;
        cleared.push_back(part);
    }
    bool hasNewEvidence = !cleared.empty();
    hasNewEvidence |= countAnswerForOthers(parts);
    if (hasNewEvidence) {
        decideQuarantines(parts);
        recordChange(parts, false);
    }
    return cleared;
}

std::optional<PromptPart> findQuarantined(const CrashingParts& parts, const PromptParts& requested)
{
    if (parts.quarantined.empty())
        return std::nullopt;
    auto found = std::find_if(requested.begin(), requested.end(), [&](PromptPart part) { return isQuarantined(parts, part); });
    return found == requested.end() ? std::nullopt : std::optional(*found);
}

bool hasCrashed(const CrashingParts& parts, PromptPart part)
{
    auto found = parts.suspects.find(part);
    return found != parts.suspects.end() && !found->second.crashes.empty();
}

Duration timeToTrial(const CrashingParts& parts, PromptPart part, int turn, SteadyTime now)
{
    auto found = parts.suspects.find(part);
    if (found == parts.suspects.end())
        return Duration::zero();
    const SuspectPart& suspect = found->second;
    Duration interval = firstTrialInterval;
    std::size_t crashes = std::max(suspect.crashes.size(), std::min(countCrashes(suspect), minCrashes + 1));
    for (std::size_t i = minCrashes; i < crashes; ++i)
        interval = std::min<Duration>(interval * trialIntervalFactor, maxTrialInterval);
    SteadyTime last = lastCrashAt(suspect);
    if (suspect.triedAt)
        last = std::max(last, *suspect.triedAt);
    return last + interval + turn * trialTurn - now;
}

void recordTrial(CrashingParts& parts, PromptPart part, SteadyTime now)
{
    if (auto found = parts.suspects.find(part); found != parts.suspects.end())
        found->second.triedAt = now;
}

std::size_t crashRisk(CrashingParts& parts, const PromptParts& requested)
{
    if (!parts.hasCrashedBeforeAnswers || isGuardDisabled(GuardId::CrashingPartsRefused))
        return 0;
    updateCommonSuspects(parts);
    PromptParts suspected;
    std::copy_if(requested.begin(), requested.end(), std::back_inserter(suspected),
        [&](PromptPart part) { return std::binary_search(parts.commonSuspects.begin(), parts.commonSuspects.end(), part); });
    std::sort(suspected.begin(), suspected.end());
    suspected.erase(std::unique(suspected.begin(), suspected.end()), suspected.end());
    std::size_t risk = 0;
    for (PromptPart part : suspected)
        risk += countCrashes(parts.suspects.at(part));
    return risk;
}

ProbePermission probePermission(CrashingParts& parts, const PromptParts& requested, const ProbeTurn& turn, SteadyTime now)
{
    std::size_t risk = crashRisk(parts, requested);
    if (risk == 0)
        return {};
    SteadyTime last {};
    std::size_t crashes = 0;
    for (PromptPart part : parts.commonSuspects) {
        const SuspectPart& suspect = parts.suspects.at(part);
        last = std::max(last, lastCrashAt(suspect));
        crashes = std::max(crashes, countCrashes(suspect));
    }
    if (risk == crashRisk(parts, parts.commonSuspects))
        return { .isAllowed = now >= std::max(last, parts.probedAt.value_or(last)) + allSuspectsInterval(parts, crashes) + turn.turn * allSuspectsTurn };
    if (parts.probedAt && now < *parts.probedAt + probeTime)
        return { .isAllowed = false };
    int targets = std::max(turn.targets, 1);
    int atOnce = crashes <= maxEarlyCrashes ? targets : 1;
    int groups = (turn.instances + atOnce - 1) / atOnce;
    auto slot = static_cast<int>((now - last) / probeTime);
    return { .isAllowed = turn.turn / atOnce == slot % groups, .target = (turn.turn + slot / groups) % targets };
}

void recordProbe(CrashingParts& parts, const PromptParts& requested, SteadyTime now)
{
    if (crashRisk(parts, requested) > 0)
        parts.probedAt = now;
}

std::vector<SuspectReport> suspectsToReport(CrashingParts& parts, ReportScope scope, SteadyTime now)
{
    std::vector<std::pair<const PromptPart, SuspectPart>*> candidates;
    for (auto& entry : parts.suspects) {
        bool isRepeated = (scope == ReportScope::All && entry.second.crashes.size() >= minCrashesToRepeat) || (parts.hasCrashedBeforeAnswers && countCrashes(entry.second) >= minCrashesToRepeat);
        if (isRepeated || wasObservedLately(entry.second, now))
            candidates.push_back(&entry);
    }
    // Parts of one long prompt are equally suspect, and each of them has to reach the peers.
    // While any common suspect may be the crashing part, they take turns: otherwise those at the most crashes would fill every update.
    auto isFirst = [&](const auto* a, const auto* b) {
        if (parts.hasCrashedBeforeAnswers)
            return std::tuple(a->second.reportedAt, a->first) < std::tuple(b->second.reportedAt, b->first);
        return std::tuple(countCrashes(b->second), a->second.reportedAt, a->first) < std::tuple(countCrashes(a->second), b->second.reportedAt, b->first);
    };
    std::sort(candidates.begin(), candidates.end(), isFirst);
    candidates.resize(std::min(candidates.size(), maxReports));
    std::vector<SuspectReport> reports;
    for (auto* candidate : candidates) {
        auto& [part, suspect] = *candidate;
        suspect.reportedAt = now;
        reports.push_back(reportOf(part, suspect, now));
        addCrashes(reports.back(), suspect.simultaneousCrashes, now);
    }
    return reports;
}

void mergeSuspect(CrashingParts& parts, const SuspectReport& report, SteadyTime now)
{
    auto known = parts.suspects.find(report.part);
    bool isUnknown = known == parts.suspects.end();
    if (isUnknown && report.crashes.empty())
        return;
    if (!isUnknown && report.clearings < known->second.clearings) {
        known->second.observedAt = now; // The peer has missed the clearing, so it is reported again.
        return;
    }
    SuspectPart& suspect = suspectOf(parts, report.part, now);
    if (report.clearings > suspect.clearings)
        clear(parts, report.part, suspect, report.clearings, now);
    suspect.otherAnswers = std::max(suspect.otherAnswers, std::min(report.otherAnswers, minOtherAnswers));
    for (const SuspectReport::Crash& reported : report.crashes) {
        if (reported.age < Duration::zero() || reported.age >= suspicionLifetime)
            continue;
        TargetCrash crash { .id = reported.id, .at = now - reported.age };
        if (!suspect.isQuarantined && isExplained(parts, report.part, crash))
            continue;
        if (!suspect.isQuarantined)
            addRecentCrash(parts, crash);
        if (addCrash(suspect, crash)) {
            suspect.changedAt = now;
            parts.answersToCount = minOtherAnswers;
        }
    }
    recordChange(parts, !suspect.crashes.empty());
    if (suspect.isQuarantined || suspect.crashes.empty())
        return;
    // A peer may have seen crashes that this instance hasn't; only an answer here speaks against its decision.
    bool isTakenOver = report.isQuarantined && (!hasEnoughAnswers(parts) || answersOf(parts.answered, report.part) == 0);
    // With few answers the reports of all parts count, and this is one of them.
    if (isTakenOver || (hasEnoughAnswers(parts) && isCause(evidenceOf(parts), report.part, suspect)))
        quarantine(parts, { report.part });
}

void mergeStoredSuspect(CrashingParts& parts, const SuspectReport& report, SteadyTime now)
{
    mergeSuspect(parts, report, now);
    if (auto found = parts.suspects.find(report.part); found != parts.suspects.end())
        found->second.storedCrashes = report.crashes.size();
}

PromptParts storedParts(const CrashingParts& parts)
{
    PromptParts stored;
    for (const auto& [part, suspect] : parts.suspects) {
        if (suspect.storedCrashes)
            stored.push_back(part);
    }
    return stored;
}

void recordLostRow(CrashingParts& parts, PromptPart part)
{
    auto found = parts.suspects.find(part);
    if (found == parts.suspects.end())
        return;
    found->second.storedCrashes = 0;
    found->second.isRowLost = true;
}

std::vector<SuspectRowChange> takeRowChanges(CrashingParts& parts, SteadyTime now)
{
    std::vector<SuspectRowChange> changes;
    for (auto& [part, suspect] : parts.suspects) {
        bool isCleared = suspect.crashes.empty();
        bool isForThisInstance = isCleared || (suspect.isQuarantined && (suspect.observedAt || suspect.isRowLost));
        if (!isForThisInstance || suspect.storedCrashes == suspect.crashes.size())
            continue;
        suspect.storedCrashes = suspect.crashes.size();
        suspect.isRowLost = false;
        changes.push_back({ .report = reportOf(part, suspect, now), .isCleared = isCleared });
    }
    return changes;
}

void expireSuspects(CrashingParts& parts, SteadyTime now)
{
    std::erase_if(parts.suspects, [now](const auto& entry) { return now - entry.second.changedAt > suspicionLifetime; });
    std::erase_if(parts.quarantined, [&](PromptPart part) { return !parts.suspects.contains(part); });
}

} // namespace limpetpond
