#pragma once

/// Leases with fencing numbers, for commands to model engines.
///
/// One instance at a time sends commands to the engines of a pool: the holder of the pool's lease, a row in the table
/// service. Each new holder raises the fencing number; engines that check it reject older commands. For engines that
/// ignore it, the holder stops by its own clock before its lease ends, and the next holder waits for the longest command
/// to end. Commands name the desired state, so that a repetition has no effect. No instance compares its clock with
/// another's. See docs/design/leases.md.

#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace limpetpond {

/// The row of a lease in the table service.
struct LeaseRow {
    LeaseId id;
    InstanceId holder;
    FencingNumber number; ///< Raised by each new holder.
    std::uint64_t renewals { 0 }; ///< Raised by each renewal, which shows other instances that the holder is running.
    bool operator==(const LeaseRow&) const = default;
};

/// Time limits of leases.
struct LeaseOptions {
    Duration term { std::chrono::seconds(10) }; ///< A row that has not changed for this time may be taken over.
    Duration safetyMargin { std::chrono::seconds(2) }; ///< The holder sends no commands in this last part of its term.
    Duration renewAfter { std::chrono::seconds(3) }; ///< Between the start of the last successful write and the next renewal.
    Duration maxCommandDuration { std::chrono::seconds(30) }; ///< From the sending of a command to its last effect.
    Duration operationTimeout { std::chrono::seconds(2) }; ///< Time after which an operation counts as unanswered.
    Duration readPeriod { std::chrono::seconds(1) }; ///< Between reads while another instance holds the lease.
};

/// An operation on the row of a lease.
enum class LeaseOperation {
    None,
    Read,
    Write, ///< Under the condition that the stored row equals `LeaseStep::expected`; none for an absent row.
};

/// The next operation that the caller has to start.
struct LeaseStep {
    LeaseOperation operation { LeaseOperation::None };
    std::optional<LeaseRow> expected;
    LeaseRow row; ///< The row to write.
};

/// The result of an operation on the row of a lease.
enum class LeaseAnswer {
    Done, ///< The stored row is returned; none for an absent row.
    ConditionFailed, ///< The write had no effect; the stored row is returned.
    NoAnswer, ///< The operation may have taken effect.
};

/// The state of one lease at one instance; changed only by the functions below.
struct LeaseState {
    LeaseId id;
    InstanceId self;
    std::optional<LeaseRow> seen; ///< The row as last read or written.
    bool isRowKnown { false }; ///< `seen` is the result of the last operation; false after an unanswered one.
    SteadyTime unchangedSince; ///< The end of the first operation that returned the row in `seen`.
    std::optional<SteadyTime> heldSince; ///< The end of the write that made this instance the holder.
    SteadyTime renewedAt; ///< The start of the last successful write.
    LeaseOperation outstanding { LeaseOperation::None };
    SteadyTime operationStartedAt;
    LeaseRow written; ///< The row of the last write.
    SteadyTime writtenSince; ///< The start of the first write of `written`.
    bool mayHaveWritten { false }; ///< `written` may have taken effect, or may yet do so.
    SteadyTime nextReadAt;
};

/// Makes the state of a lease that this instance doesn't hold.
LeaseState makeLease(LeaseId, InstanceId self, SteadyTime now);

/// The next operation on the row, if one is due. `isWanted` is true when this instance has commands to send.
///
///     LeaseStep step = nextLeaseStep(lease, options, true, now);
///     if (step.operation == LeaseOperation::Write) writeLease(step);
LeaseStep nextLeaseStep(LeaseState&, const LeaseOptions&, bool isWanted, SteadyTime now);

/// Handles the result of the outstanding operation. For a write that succeeded, the row is the written one.
void handleLeaseAnswered(LeaseState&, LeaseOperation, LeaseAnswer, const std::optional<LeaseRow>&, SteadyTime now);

/// The fencing number and the latest sending time of a command.
struct CommandFence {
    FencingNumber number;
    SteadyTime notAfter; ///< The sender must not start later than this by its own clock.
};

/// Whether this instance may send a command now. For an engine that ignores fencing numbers, a new holder first waits
/// until every command of the previous holder has ended.
///
///     if (maySendCommand(lease, options, target.checksFencing, now)) send(desired, makeCommandFence(lease, options));
bool maySendCommand(const LeaseState&, const LeaseOptions&, bool checksFencing, SteadyTime now);

/// Makes the fence of a command; this instance must hold the lease.
CommandFence makeCommandFence(const LeaseState&, const LeaseOptions&);

} // namespace limpetpond
