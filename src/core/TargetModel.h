#pragma once

/// One target as this instance sees it: its limits, learned rates, load and health.

#include "core/Messages.h"
#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include "limpetpond/Settings.h"
#include "limpetpond/Units.h"
#include <array>
#include <cstdint>

namespace limpetpond {

/// Own work at a target at one time, kept to subtract it from load reports that lag behind.
struct WorkSample {
    SteadyTime at;
    TokenCount tokens;
    int requests { 0 };
};

constexpr std::size_t workSampleCount = 64;

/// The state of one target at this instance.
struct TargetModel {
    TargetSettings settings;
    std::uint64_t idHash { 0 }; ///< The same at every instance.
    bool isListed { false }; ///< The settings in force list the target for this pool.

    // Own work in progress.
    int requests { 0 };
    int unstartedRequests { 0 };
    TokenCount tokens;
    TokenCount unstartedPrompt; ///< Prompt tokens to compute for requests without a first token.

    // Work of other instances: as the peers sent it, and as the target's report less own work at that time.
    TokenCount peerTokens;
    int peerRequests { 0 };
    TokenCount reportedOthers;
    int reportedOtherRequests { 0 };
    SteadyTime reportedAt;
    std::array<WorkSample, workSampleCount> samples;
    std::size_t nextSample { 0 };

    // Learned rates.
    double prefillRate { 1 }; ///< Prompt tokens per second.
    double decodeRate { 1 }; ///< Answer tokens per second of one stream.
    double firstTokenBase { 0.02 }; ///< Seconds to the first token without the time to compute the prompt.
    double cacheTrust { 1 }; ///< Moving average of cached tokens reported over cached tokens expected.
    SteadyTime learnedAt;

    // Health.
    int consecutiveFailures { 0 };
    bool isEjected { false };
    SteadyTime ejectedUntil;
    Duration ejectionTime { 0 };
    SteadyTime readmittedAt;
    double weight { 1 }; ///< Share of its limits in use: 0 while ejected, growing after readmission.
};

/// Applies a target's settings. A learned rate is kept unless its configured value changed.
///
///     applyTargetSettings(model, settings.targets.at(id));
///     model.isListed == true;
void applyTargetSettings(TargetModel&, const TargetSettings&);

/// Adds own work that starts (positive) or ends (negative) at the target.
///
///     addOwnWork(model, TokenCount(900), 1, now);
///     addOwnWork(model, TokenCount(-900), -1, now);
void addOwnWork(TargetModel&, TokenCount, int requests, SteadyTime now);

/// Applies a load report: the work of others is the reported work less own work when it was measured.
/// Ignores failed reports and those older than the last one.
///
///     applyReport(model, report);
///     model.reportedOthers;
void applyReport(TargetModel&, const TargetReported&);

/// Work in progress from all instances, as far as it has been reported.
///
///     TokenCount load = tokensInProgress(model);
TokenCount tokensInProgress(const TargetModel&);
int requestsInProgress(const TargetModel&);

/// Updates the prefill rate, or for short prompts the base time, from the time to a first token.
/// `work` is the number of prompt tokens computed before it, those of other requests included.
///
///     learnFirstToken(model, 2000, std::chrono::milliseconds(250), now);
///     model.prefillRate;
void learnFirstToken(TargetModel&, double work, Duration elapsed, SteadyTime now);

/// Lowers the prefill rate for an overdue first token: the rate is at most `work` over `elapsed`.
///
///     learnOverdue(model, 2000, std::chrono::seconds(4), now);
///     model.prefillRate <= 500;
void learnOverdue(TargetModel&, double work, Duration elapsed, SteadyTime now);

/// Updates the decode rate of one stream from a complete answer.
///
///     learnDecode(model, TokenCount(200), std::chrono::seconds(5), now);
///     model.decodeRate;
void learnDecode(TargetModel&, TokenCount answer, Duration elapsed, SteadyTime now);

/// Moves learned rates toward the configured ones if nothing was learned for a while, so that
/// a target that was slow is selected again. `step` is the time since the last call.
///
///     decayLearnedRates(model, step, now);
///     model.prefillRate;
void decayLearnedRates(TargetModel&, Duration step, SteadyTime now);

/// Records a failure or a success. `recordFailure` returns true if the target is to be ejected.
///
///     if (recordFailure(model)) eject(model, now);
///     recordSuccess(model);
bool recordFailure(TargetModel&);
void recordSuccess(TargetModel&);

/// Sets the target's weight to 0 for a time that doubles with each consecutive ejection, up to a maximum.
///
///     eject(model, now);
///     model.weight == 0;
void eject(TargetModel&, SteadyTime now);

/// Readmits an ejected target when its ejection ends, and raises its weight gradually after that.
///
///     updateWeight(model, now);
///     model.weight > 0;
void updateWeight(TargetModel&, SteadyTime now);

} // namespace limpetpond
