#include "core/PeerProgress.h"

#include <algorithm>

namespace limpetpond {

namespace {

    constexpr Duration minSilence = std::chrono::seconds(2);
    constexpr Duration lateReaderPause = std::chrono::seconds(4); ///< A late caller that takes nothing for longer has stopped reading.

    bool isUnanswered(const TransmitFacts& facts)
    {
        return facts.unansweredProbes > 0 || (facts.isInFlight && facts.sinceAcknowledged > facts.sinceSent);
    }

} // namespace

bool areTimesKnown(const TransmitFacts& facts) { return facts.sinceSent > Duration::zero() || facts.sinceAcknowledged > Duration::zero(); }

void recordWritten(PeerProgress& progress, std::size_t bytes, SteadyTime now)
{
    if (!hasUntakenBytes(progress))
        progress.takenAt = now;
    progress.writtenBytes += bytes;
}

void recordFacts(PeerProgress& progress, const TransmitFacts& facts, SteadyTime now)
{
    std::uint64_t taken = progress.writtenBytes - std::min<std::uint64_t>(facts.queuedBytes, progress.writtenBytes);
    if (taken > progress.takenBytes) {
        progress.takenBytes = taken;
        progress.takenAt = now;
    }
    bool isAnsweredSince = progress.unansweredSince && now - facts.sinceAcknowledged > *progress.unansweredSince;
    if (isAnsweredSince || !isUnanswered(facts))
        progress.unansweredSince.reset();
    if (progress.unansweredSince || !isUnanswered(facts))
        return;
    // Probes of a closed window don't count as bytes sent.
    progress.unansweredSince = facts.unansweredProbes > 0 ? now : now - facts.sinceSent;
}

bool isSilent(const PeerProgress& progress, const TransmitFacts& facts, SteadyTime now)
{
    // The longer a window has been closed, the rarer are the probes; a single one may be lost.
    return progress.unansweredSince && now - *progress.unansweredSince >= std::max(minSilence, facts.resendInterval);
}

bool isOverdue(const PeerProgress& progress, const AnswerTimes& times, SteadyTime now)
{
    if (now <= times.deadline)
        return false;
    return now - progress.takenAt > lateReaderPause || now - times.deadline > times.idleLimit;
}

} // namespace limpetpond
