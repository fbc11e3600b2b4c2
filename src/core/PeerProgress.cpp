#include "core/PeerProgress.h"

#include <algorithm>

namespace limpetpond {

namespace {

    constexpr Duration timeUntilAsked = std::chrono::seconds(1); ///< Most peers have sent their next request by then.
    constexpr Duration minSilence = std::chrono::seconds(2);
    constexpr Duration answerTime = std::chrono::milliseconds(200); ///< The acknowledgement of the newest send may be on its way.
    constexpr Duration lateReaderPause = std::chrono::seconds(4); ///< A late caller that takes nothing for longer has stopped reading.

    bool isUnanswered(const TransmitFacts& facts)
    {
        return facts.unansweredProbes > 0 || (facts.isInFlight && facts.sinceAcknowledged > facts.sinceSent);
    }

    /// The kernel doubles its interval with each repetition, so that the last ones have begun one interval before the newest.
    SteadyTime firstUnansweredSend(const PeerProgress& progress, const TransmitFacts& facts, SteadyTime now)
    {
        if (facts.unansweredProbes > 0)
            return now; // Probes don't count as bytes sent.
        SteadyTime sentAt = now - facts.sinceSent;
        SteadyTime acknowledgedAt = now - facts.sinceAcknowledged;
        bool isPreviousUnanswered = acknowledgedAt < sentAt - facts.resendInterval / 2;
        return isPreviousUnanswered ? std::max({ progress.takenAt, acknowledgedAt, sentAt - facts.resendInterval }) : sentAt;
    }

} // namespace

bool areTimesKnown(const TransmitFacts& facts) { return facts.sinceSent > Duration::zero() || facts.sinceAcknowledged > Duration::zero(); }

void recordWriteBegin(PeerProgress& progress, SteadyTime now)
{
    if (!hasUntakenBytes(progress))
        progress.takenAt = now;
}

bool mustAskKernel(const PeerProgress& progress, SteadyTime now) { return progress.unansweredSince || now - progress.takenAt >= timeUntilAsked; }

void recordFacts(PeerProgress& progress, const TransmitFacts& facts, SteadyTime now)
{
    std::uint64_t taken = progress.writtenBytes - std::min<std::uint64_t>(facts.queuedBytes, progress.writtenBytes);
    if (taken > progress.takenBytes) {
        progress.takenBytes = taken;
        progress.takenAt = now;
    }
    if (!isUnanswered(facts) || (progress.unansweredSince && now - facts.sinceAcknowledged > *progress.unansweredSince))
        progress.unansweredSince.reset();
    if (!progress.unansweredSince && isUnanswered(facts))
        progress.unansweredSince = firstUnansweredSend(progress, facts, now);
}

bool isSilent(const PeerProgress& progress, const TransmitFacts& facts, SteadyTime now)
{
    if (!progress.unansweredSince || now - *progress.unansweredSince < minSilence)
        return false;
    // A single one may be lost, and the longer a peer takes nothing, the rarer they are.
    bool isRepeated = now - facts.sinceSent > *progress.unansweredSince && facts.sinceSent >= answerTime;
    return facts.unansweredProbes > 1 || isRepeated;
}

bool isOverdue(const PeerProgress& progress, const AnswerTimes& times, SteadyTime now)
{
    if (now <= times.deadline)
        return false;
    return now - progress.takenAt > lateReaderPause || now - times.deadline > times.idleLimit;
}

} // namespace limpetpond
