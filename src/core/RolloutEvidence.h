#pragma once

/// Whether the new version of a pool in a rollout is sound, by comparison with the old versions.
///
/// Load pattern: a version of which a part of the answers fail or are several times slower, at once, later, under load or on
/// one route only; and a sound version beside trouble of all targets (a burst), of some targets (crashes, failures) or of
/// some requests. Counts are kept by route, and for the new version by target too, and only since the order, so that both
/// sides are seen in the same time. The worst quarter of the new targets is left out: failures of single targets don't
/// count against the version.
///
/// Each instance counts its own answers since the order. Its counts travel as a whole, so that a lost or repeated update
/// changes nothing.

#include "limpetpond/Clock.h"
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace limpetpond {

/// What an attempt that has ended says about its target's version. Attempts that ended for other reasons, such as a
/// caller that left or a connection that could not be established, aren't recorded.
struct RolloutAnswer {
    std::uint32_t route { 0 }; ///< `shortHash` of the route's name.
    std::optional<std::uint32_t> newTarget; ///< `shortHash` of the target's id if it is of the new version.
    Duration time { 0 }; ///< From sending to the end of the answer, or until it was given up.
    bool isFailure { false }; ///< The target answered with an error.
    bool isGivenUp { false }; ///< The answer had not ended when the request's time was over.
};

/// Counts of the answers of one route, from one new target or all old ones.
struct RolloutCount {
    std::uint32_t route { 0 };
    std::uint32_t target { 0 }; ///< Of the new version; 0 for all targets of old versions.
    std::uint32_t answers { 0 };
    std::uint32_t failures { 0 };
    std::uint32_t slow { 0 }; ///< Took several times the median of the old versions, or were given up.
    std::uint32_t verySlow { 0 }; ///< Those of `slow` that took far longer than nearly all answers of the old versions, or were given up.
    bool operator==(const RolloutCount&) const = default;
};

/// The answers that one instance has seen since the order.
struct RolloutCounts {
    /// Times of a route's answers from old targets, in a histogram with logarithmic buckets.
    struct Times {
        std::array<std::uint32_t, 40> buckets {};
        std::uint32_t count { 0 };
    };
    std::map<std::uint32_t, Times> oldTimes; ///< By route.
    std::vector<RolloutCount> counts; ///< In ascending order of route and target; bounded.
};

/// Records an answer. Its time is compared with those of old targets on its route, or on all routes where the route has few; it doesn't
/// count as slow before enough of them are known. An answer that was given up counts as slow at once. A failure never does.
void recordAnswer(RolloutCounts&, const RolloutAnswer&);

/// The counts of all instances, as far as this one has heard of them.
struct RolloutEvidence {
    struct Instance {
        std::uint64_t incarnation { 0 };
        std::uint64_t answers { 0 }; ///< Sum of its counts; a report with fewer is outdated.
        std::vector<RolloutCount> counts;
    };
    std::map<std::uint32_t, Instance> instances; ///< By `shortHash` of the id.
    std::vector<RolloutCount> totals; ///< Of all instances and their earlier incarnations, in ascending order of route and target.
    std::vector<std::vector<RolloutCount>> snapshots; ///< Earlier totals. What has been added since shows a version that turns bad later; bounded.
    std::uint64_t snapshotInterval { 0 }; ///< Answers of the new version between two snapshots; 0 before the first.
};

/// Takes over an instance's counts, unless they are older than what is known. Those of an earlier incarnation stay in the totals.
void mergeCounts(RolloutEvidence&, std::uint32_t instance, std::uint64_t incarnation, const std::vector<RolloutCount>&);

enum class RolloutVerdict {
    Undecided, ///< Not enough answers.
    Bad,
    Sound, ///< Enough answers on each route with traffic, and no evidence against the version.
};

/// The verdict and the counts behind it, for the log.
struct RolloutJudgement {
    RolloutVerdict verdict { RolloutVerdict::Undecided };
    std::uint32_t route { 0 }; ///< With the strongest evidence against the version; 0 if that is of all routes together.
    std::uint32_t newAnswers { 0 }; ///< Of all routes, without the targets that were left out.
    std::uint32_t newFailures { 0 };
    std::uint32_t newSlow { 0 };
    std::uint32_t oldAnswers { 0 };
    std::uint32_t oldFailures { 0 };
    std::uint32_t oldSlow { 0 };
};

/// Compares the versions. It may be called as often as counts arrive: the error rates hold for all calls of a rollout together.
///
///     if (judge(evidence).verdict == RolloutVerdict::Bad) stop();
RolloutJudgement judge(const RolloutEvidence&);

} // namespace limpetpond
