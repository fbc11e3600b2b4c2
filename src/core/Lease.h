#pragma once

/// Leases with fencing numbers, for orders to model engines.
///
/// One instance at a time gives the engines of a pool orders: the holder of the pool's lease, a row in the
/// table service. Each new holder raises the fencing number; engines that check it refuse older orders. For engines
/// that ignore it, the holder stops by its own clock before its lease ends, and the next one waits out the
/// longest order. Orders name the desired end state, so that a repetition does nothing.
/// No instance compares its clock with another's. See docs/design/leases.md.

#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace limpetpond {

/// A lease as it stands in the table service.
struct LeaseRow {
    LeaseId id;
    InstanceId holder;
    FencingNumber number; ///< Raised by each new holder.
    std::uint64_t renewals { 0 }; ///< Raised by each renewal: shows watchers that the holder lives.
    bool operator==(const LeaseRow&) const = default;
};

struct LeaseOptions {
    Duration term { std::chrono::seconds(10) }; ///< A row that did not change for so long may be taken.
    Duration safetyMargin { std::chrono::seconds(2) }; ///< The holder stops this much before its term ends.
    Duration renewAfter { std::chrono::seconds(3) }; ///< After the start of the last successful write.
    Duration maxCommandDuration { std::chrono::seconds(30) }; ///< From the sending of an order to its last effect.
    Duration operationTimeout { std::chrono::seconds(2) }; ///< After which an operation counts as unanswered.
    Duration readPeriod { std::chrono::seconds(1) }; ///< Between reads while another instance holds the lease.
};

/// An operation on the row of a lease.
enum class LeaseOperation {
    None,
    Read,
    Write, ///< Under the condition that the row stands as `LeaseStep::expected`; none for an absent row.
};

/// What the holder of the state has to do now.
struct LeaseStep {
    LeaseOperation operation { LeaseOperation::None };
    std::optional<LeaseRow> expected;
    LeaseRow row; ///< The row to write.
};

enum class LeaseAnswer {
    Done, ///< `row` is what stands now; none for an absent row.
    ConditionFailed, ///< The write had no effect; `row` is what stands there.
    NoAnswer, ///< The operation may have taken effect.
};

/// The state of one lease at one instance; changed only by the functions below.
struct LeaseState {
    LeaseId id;
    InstanceId self;
    std::optional<LeaseRow> seen; ///< The row when last read.
    bool isRowKnown { false }; ///< `seen` is what a read or write showed last.
    SteadyTime unchangedSince; ///< The end of the first read that showed the row as it is in `seen`.
    std::optional<SteadyTime> heldSince; ///< The end of the write that made this instance the holder.
    SteadyTime renewedAt; ///< The start of the last successful write.
    LeaseOperation outstanding { LeaseOperation::None };
    SteadyTime operationStartedAt;
    LeaseRow written; ///< The row of the last write.
    SteadyTime writtenSince; ///< The start of the first write of `written`.
    bool mayHaveWritten { false }; ///< `written` may have taken effect, or may yet do so.
    SteadyTime nextReadAt;
};

/// Makes the state of a lease that this instance does not hold.
LeaseState makeLease(LeaseId, InstanceId self, SteadyTime now);

/// The next operation on the row, if one is due; `isWanted` tells whether this instance wants to give orders.
///
///     LeaseStep step = nextLeaseStep(lease, options, true, now);
///     if (step.operation == LeaseOperation::Write) writeLease(step);
LeaseStep nextLeaseStep(LeaseState&, const LeaseOptions&, bool isWanted, SteadyTime now);

/// Takes in the end of the outstanding operation. For a write that was done, `row` is the row that it wrote.
void handleLeaseAnswered(LeaseState&, LeaseOperation, LeaseAnswer, const std::optional<LeaseRow>&, SteadyTime now);

/// What an order carries besides its desired end state.
struct CommandFence {
    FencingNumber number;
    SteadyTime notAfter; ///< The sender must not start later, by its own clock.
};

/// Whether this instance may send an order now. For an engine that ignores fencing numbers, a new holder
/// waits out the longest order of the holder before it.
///
///     if (maySendCommand(lease, options, target.checksFencing, now)) send(desired, makeCommandFence(lease, options));
bool maySendCommand(const LeaseState&, const LeaseOptions&, bool checksFencing, SteadyTime now);

/// The fencing number and the latest sending time of an order.
CommandFence makeCommandFence(const LeaseState&, const LeaseOptions&);

} // namespace limpetpond
