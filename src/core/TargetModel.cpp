#include "core/TargetModel.h"

#include "core/Hash.h"
#include <algorithm>
#include <chrono>

namespace limpetpond {

namespace {

    using std::chrono::duration;

    constexpr double firstTokenGain = 0.15; // of the moving averages of `prefillRate` and `firstTokenBase`
    constexpr double decodeGain = 0.1; // of the moving average of `decodeRate`
    constexpr double minPromptForRate = 500; // tokens; shorter prompts update `firstTokenBase` instead
    constexpr double minRateFactor = 0.02; // of the configured rate
    constexpr double maxRateFactor = 5; // of the configured rate
    constexpr Duration rateMemory = std::chrono::seconds(20); // time without samples before rates decay, and time constant of the decay
    constexpr Duration minElapsed = std::chrono::milliseconds(1);
    constexpr int failuresBeforeEjection = 2;
    constexpr Duration firstEjection = std::chrono::seconds(1);
    constexpr Duration maxEjection = std::chrono::seconds(30);
    constexpr Duration readmissionRamp = std::chrono::seconds(10);
    constexpr double readmissionWeight = 0.1; // at the start of the ramp

    /// At least `minElapsed`, so that a rate is never divided by zero.
    double clampedSeconds(Duration time)
    {
        return toSeconds(std::max(time, minElapsed));
    }

    double clampRate(double rate, double expected)
    {
        return std::clamp(rate, expected * minRateFactor, expected * maxRateFactor);
    }

    WorkSample ownWorkAt(const TargetModel& target, SteadyTime at)
    {
        WorkSample best;
        for (const WorkSample& sample : target.samples) {
            if (sample.at <= at && sample.at >= best.at)
                best = sample;
        }
        return best;
    }

} // namespace

void applyTargetSettings(TargetModel& target, const TargetSettings& settings)
{
    bool isNew = target.settings.id != settings.id;
    if (isNew || target.settings.prefillRate != settings.prefillRate)
        target.prefillRate = settings.prefillRate.perSecond;
    if (isNew || target.settings.decodeRate != settings.decodeRate)
        target.decodeRate = settings.decodeRate.perSecond;
    target.settings = settings;
    target.idHash = stableHash(settings.id.value());
    target.isListed = true;
}

void addOwnWork(TargetModel& target, TokenCount tokens, int requests, SteadyTime now)
{
    target.tokens += tokens;
    target.requests += requests;
    target.samples[target.nextSample] = { .at = now, .tokens = target.tokens, .requests = target.requests };
    target.nextSample = (target.nextSample + 1) % workSampleCount;
}

void applyReport(TargetModel& target, const TargetReported& report)
{
    if (report.failed || report.measuredAt < target.reportedAt)
        return;
    WorkSample own = ownWorkAt(target, report.measuredAt);
    target.reportedAt = report.measuredAt;
    target.reportedOthers = std::max(TokenCount(0), report.tokensInProgress - own.tokens);
    target.reportedOtherRequests = std::max(0, report.runningRequests + report.waitingRequests - own.requests);
}

TokenCount tokensInProgress(const TargetModel& target)
{
    return target.tokens + std::max(target.peerTokens, target.reportedOthers);
}

int requestsInProgress(const TargetModel& target)
{
    return target.requests + std::max(target.peerRequests, target.reportedOtherRequests);
}

void learnFirstToken(TargetModel& target, double work, Duration elapsed, SteadyTime now)
{
    double expected = target.settings.prefillRate.perSecond;
    double time = clampedSeconds(elapsed);
    if (work < minPromptForRate) {
        double base = std::max(0.0, time - work / target.prefillRate);
        target.firstTokenBase += firstTokenGain * (base - target.firstTokenBase);
        return;
    }
    double rate = clampRate(work / std::max(time - target.firstTokenBase, time / 4), expected);
    target.prefillRate += firstTokenGain * (rate - target.prefillRate);
    target.learnedAt = now;
}

void learnOverdue(TargetModel& target, double work, Duration elapsed, SteadyTime now)
{
    double rate = clampRate(std::max(work, minPromptForRate) / clampedSeconds(elapsed), target.settings.prefillRate.perSecond);
    if (rate >= target.prefillRate)
        return;
    target.prefillRate += firstTokenGain * (rate - target.prefillRate);
    target.learnedAt = now;
}

void learnDecode(TargetModel& target, TokenCount answer, Duration elapsed, SteadyTime now)
{
    double rate = clampRate(static_cast<double>(answer.count()) / clampedSeconds(elapsed), target.settings.decodeRate.perSecond);
    target.decodeRate += decodeGain * (rate - target.decodeRate);
    target.learnedAt = now;
}

void decayLearnedRates(TargetModel& target, Duration step, SteadyTime now)
{
    if (now - target.learnedAt < rateMemory)
        return;
    double share = std::min(1.0, clampedSeconds(step) / clampedSeconds(rateMemory));
    target.prefillRate += share * (target.settings.prefillRate.perSecond - target.prefillRate);
    target.decodeRate += share * (target.settings.decodeRate.perSecond - target.decodeRate);
}

bool recordFailure(TargetModel& target)
{
    target.consecutiveFailures += 1;
    return target.consecutiveFailures >= failuresBeforeEjection && !target.isEjected;
}

void recordSuccess(TargetModel& target)
{
    target.consecutiveFailures = 0;
}

void eject(TargetModel& target, SteadyTime now)
{
    target.ejectionTime = target.ejectionTime.count() ? std::min(target.ejectionTime * 2, maxEjection) : firstEjection;
    target.ejectedUntil = now + target.ejectionTime;
    target.isEjected = true;
    target.weight = 0;
}

void updateWeight(TargetModel& target, SteadyTime now)
{
    if (target.isEjected) {
        if (now < target.ejectedUntil)
            return;
        target.isEjected = false;
        target.consecutiveFailures = failuresBeforeEjection - 1;
        target.readmittedAt = now;
        target.weight = readmissionWeight;
        return;
    }
    if (target.weight >= 1)
        return;
    if (target.consecutiveFailures)
        return;
    double share = clampedSeconds(now - target.readmittedAt) / clampedSeconds(readmissionRamp);
    target.weight = std::clamp(share, readmissionWeight, 1.0);
    if (target.weight >= 1)
        target.ejectionTime = Duration(0);
}

} // namespace limpetpond
