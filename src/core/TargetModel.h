#pragma once

/// What this instance knows of one target: its limits, learned speed, load and health.

#include "core/Messages.h"
#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include "limpetpond/Settings.h"
#include "limpetpond/Units.h"
#include <array>
#include <cstdint>

namespace limpetpond {

/// Own work at a target at one time, kept to read lagging reports against.
struct WorkSample {
    SteadyTime at;
    TokenCount tokens;
    int requests { 0 };
};

constexpr std::size_t workSampleCount = 64;

/// One target as this instance sees it. Its place in the pool's list never changes.
struct TargetModel {
    TargetSettings settings;
    std::uint64_t idHash { 0 }; ///< The same in every instance.
    bool isListed { false }; ///< In the pool by the settings in force.

    // Own work in progress.
    int requests { 0 };
    int unstartedRequests { 0 };
    TokenCount tokens;
    TokenCount unstartedPrompt; ///< Prompt tokens to compute that have shown no first token yet.

    // Work of others: from peers' update, and from the target's report less own work then.
    TokenCount peerTokens;
    int peerRequests { 0 };
    TokenCount reportedOthers;
    int reportedOtherRequests { 0 };
    SteadyTime reportedAt;
    std::array<WorkSample, workSampleCount> samples;
    std::size_t nextSample { 0 };

    // Learned speed.
    double prefillRate { 1 }; ///< Prompt tokens a second.
    double decodeRate { 1 }; ///< Answer tokens a second of one stream.
    double firstTokenBase { 0.02 }; ///< Seconds to the first token besides computing the prompt.
    double cacheTrust { 1 }; ///< Cached tokens reported over cached tokens expected.
    SteadyTime learnedAt;

    // Health.
    int consecutiveFailures { 0 };
    bool isEjected { false };
    SteadyTime ejectedUntil;
    Duration ejectionTime { 0 };
    SteadyTime readmittedAt;
    double weight { 1 }; ///< The part of its limits in use: 0 while ejected, growing after the return.
};

/// Takes over a target's settings; learned values are kept unless the expected speeds changed.
///
///     applyTargetSettings(model, settings.targets.at(id));
///     model.isListed == true;
void applyTargetSettings(TargetModel&, const TargetSettings&);

/// Counts own work that begins (positive) or ends (negative) at the target.
///
///     addOwnWork(model, TokenCount(900), 1, now);
///     addOwnWork(model, TokenCount(-900), -1, now);
void addOwnWork(TargetModel&, TokenCount, int requests, SteadyTime now);

/// Takes in a lagging report: work of others is what was reported less own work at that time.
///
///     applyReport(model, report);
///     model.reportedOthers;
void applyReport(TargetModel&, const TargetReported&);

/// Work in progress by all instances, as far as known.
///
///     TokenCount load = tokensInProgress(model);
TokenCount tokensInProgress(const TargetModel&);
int requestsInProgress(const TargetModel&);

/// Learns from the time to a first token: `work` prompt tokens had to be computed before it, own and others'.
///
///     learnFirstToken(model, 2000, std::chrono::milliseconds(250), now);
///     model.prefillRate;
void learnFirstToken(TargetModel&, double work, Duration elapsed, SteadyTime now);

/// Learns from a first token that is overdue: the speed is at most `work` over `elapsed`.
///
///     learnOverdue(model, 2000, std::chrono::seconds(4), now);
///     model.prefillRate <= 500;
void learnOverdue(TargetModel&, double work, Duration elapsed, SteadyTime now);

/// Learns the speed of one stream from an answer.
///
///     learnDecode(model, TokenCount(200), std::chrono::seconds(5), now);
///     model.decodeRate;
void learnDecode(TargetModel&, TokenCount answer, Duration elapsed, SteadyTime now);

/// Lets learned speeds drift back to the expected ones where nothing was learned for long,
/// so that a target that was slow is tried again.
///
///     decayLearnedRates(model, now);
///     model.prefillRate;
void decayLearnedRates(TargetModel&, Duration step, SteadyTime now);

/// Counts a failure or a success; true where the failures ask for ejection.
///
///     if (recordFailure(model)) eject(model, now);
///     recordSuccess(model);
bool recordFailure(TargetModel&);
void recordSuccess(TargetModel&);

/// Takes the target out of use for a time that doubles with each ejection in a row.
///
///     eject(model, now);
///     model.weight == 0;
void eject(TargetModel&, SteadyTime now);

/// Brings an ejected target back when its time is over and lets its weight grow.
///
///     updateWeight(model, now);
///     model.weight > 0;
void updateWeight(TargetModel&, SteadyTime now);

} // namespace limpetpond
