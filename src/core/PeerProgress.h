#pragma once

/// Tells a peer that is slow from one that has fallen silent, and a late caller from one that no longer reads.
///
/// Load pattern: callers and targets read in spells that are seconds apart, while other machines are cut off or lose power.
/// A closed receive window only says that the peer reads slowly; a peer that acknowledges is alive, however slow it is.

#include "limpetpond/Clock.h"
#include <cstddef>
#include <cstdint>
#include <optional>

namespace limpetpond {

/// What the kernel states about the bytes that were written to a connection.
struct TransmitFacts {
    std::size_t queuedBytes { 0 }; ///< Written, but not acknowledged by the peer.
    bool isInFlight { false }; ///< Some of them were sent.
    int unansweredProbes { 0 }; ///< Of a closed window, since the last acknowledgement.
    Duration sinceSent { 0 }; ///< Since bytes were last sent, for the first time or again.
    Duration sinceAcknowledged { 0 }; ///< Since the peer last acknowledged anything.
    Duration resendInterval { 0 }; ///< Until the kernel next repeats what stays unanswered.
};

/// How far a peer has come with what was written to it.
struct PeerProgress {
    std::uint64_t writtenBytes { 0 };
    std::uint64_t takenBytes { 0 }; ///< Acknowledged, by the last facts.
    SteadyTime takenAt; ///< When it was last seen to have taken some, or to have nothing left to take.
    std::optional<SteadyTime> unansweredSince; ///< Nothing was acknowledged since a send at this time.
};

/// Whether the kernel states when it last sent and when the peer last acknowledged. One that doesn't states 0 for both.
bool areTimesKnown(const TransmitFacts&);

/// True while bytes that the kernel has accepted may not have reached the peer.
inline bool hasUntakenBytes(const PeerProgress& progress) { return progress.takenBytes < progress.writtenBytes; }

/// Records that bytes are about to be written.
void recordWriteBegin(PeerProgress&, SteadyTime now);

/// Records bytes that the kernel has accepted.
inline void recordWritten(PeerProgress& progress, std::size_t bytes) { progress.writtenBytes += bytes; }

/// Whether it is time to ask the kernel for facts: the peer wasn't seen to take anything for a while.
///
///     if (mustAskKernel(progress, now)) recordFacts(progress, facts, now);
bool mustAskKernel(const PeerProgress&, SteadyTime now);

/// Records what the kernel states now. Without known times a peer never counts as silent.
void recordFacts(PeerProgress&, const TransmitFacts&, SteadyTime now);

/// Whether the peer has acknowledged none of several sends for so long that it must be gone. Call it after `recordFacts()`.
///
///     recordFacts(progress, facts, now);
///     if (isSilent(progress, facts, now)) close();
bool isSilent(const PeerProgress&, const TransmitFacts&, SteadyTime now);

/// Until when a caller may take an answer.
struct AnswerTimes {
    SteadyTime deadline; ///< Of the request.
    Duration idleLimit { 0 }; ///< How long a connection may be unused.
};

/// Whether a caller may no longer take the rest of its answer: its deadline has passed, and it has either stopped reading or
/// is late by more than a connection may be unused.
bool isOverdue(const PeerProgress&, const AnswerTimes&, SteadyTime now);

} // namespace limpetpond
