#include "core/Lease.h"

#include "core/Guard.h"
#include "core/Invariant.h"
#include <utility>

namespace limpetpond {

static LeaseStep beginRead(LeaseState& lease, const LeaseOptions& options, SteadyTime now)
{
    lease.outstanding = LeaseOperation::Read;
    lease.operationStartedAt = now;
    lease.nextReadAt = now + options.readPeriod;
    return { .operation = LeaseOperation::Read };
}

static LeaseStep beginWrite(LeaseState& lease, LeaseRow row, SteadyTime now)
{
    bool isRepetition = lease.mayHaveWritten && lease.written == row;
    if (!isRepetition)
        lease.writtenSince = now;
    lease.written = std::move(row);
    lease.mayHaveWritten = true;
    lease.outstanding = LeaseOperation::Write;
    lease.operationStartedAt = now;
    return { LeaseOperation::Write, lease.seen, lease.written };
}

static LeaseRow makeTakeoverRow(const LeaseState& lease)
{
    std::uint64_t last = lease.seen ? lease.seen->number.value() : 0;
    bool isRaised = !isGuardDisabled(GuardId::FencingNumberRaised) || !last;
    return { lease.id, lease.self, FencingNumber { last + isRaised }, 0 };
}

static LeaseRow makeRenewalRow(const LeaseState& lease)
{
    LeaseRow row = *lease.seen;
    ++row.renewals;
    return row;
}

/// Treats an operation whose answer is overdue as unanswered.
static void expireOperation(LeaseState& lease, const LeaseOptions& options, SteadyTime now)
{
    bool isOverdue = now - lease.operationStartedAt >= options.operationTimeout;
    if (lease.outstanding != LeaseOperation::None && isOverdue)
        handleLeaseAnswered(lease, lease.outstanding, LeaseAnswer::NoAnswer, std::nullopt, now);
}

static bool mayTakeOver(const LeaseState& lease, const LeaseOptions& options, SteadyTime now)
{
    return !lease.seen || now - lease.unchangedSince >= options.term;
}

/// Applies the row that is stored in the table service.
static void applyRow(LeaseState& lease, const std::optional<LeaseRow>& row, SteadyTime now)
{
    bool isOwnWrite = lease.mayHaveWritten && row && *row == lease.written;
    if (lease.seen != row)
        lease.unchangedSince = now;
    lease.isRowKnown = true;
    if (isOwnWrite) {
        lease.mayHaveWritten = false;
        lease.renewedAt = lease.writtenSince;
        lease.heldSince = lease.heldSince.value_or(now);
    } else if (lease.seen != row) {
        lease.heldSince.reset();
    }
    lease.seen = row;
}

static SteadyTime commandsEndAt(const LeaseState& lease, const LeaseOptions& options)
{
    return lease.renewedAt + options.term - options.safetyMargin;
}

LeaseState makeLease(LeaseId id, InstanceId self, SteadyTime now)
{
    LeaseState lease;
    lease.id = std::move(id);
    lease.self = std::move(self);
    lease.nextReadAt = now;
    return lease;
}

LeaseStep nextLeaseStep(LeaseState& lease, const LeaseOptions& options, bool isWanted, SteadyTime now)
{
    expireOperation(lease, options, now);
    if (lease.outstanding != LeaseOperation::None || !isWanted)
        return {};
    if (lease.isRowKnown && lease.heldSince) {
        if (now - lease.renewedAt >= options.renewAfter)
            return beginWrite(lease, makeRenewalRow(lease), now);
        return {};
    }
    if (lease.isRowKnown && mayTakeOver(lease, options, now))
        return beginWrite(lease, makeTakeoverRow(lease), now);
    if (now >= lease.nextReadAt)
        return beginRead(lease, options, now);
    return {};
}

void handleLeaseAnswered(LeaseState& lease, LeaseOperation operation, LeaseAnswer answer, const std::optional<LeaseRow>& row, SteadyTime now)
{
    if (operation == LeaseOperation::None || lease.outstanding != operation)
        return;
    lease.outstanding = LeaseOperation::None;
    // A late answer of an earlier write, which counted as unanswered, doesn't show the result of the outstanding write.
    bool isOtherWrite = operation == LeaseOperation::Write && answer == LeaseAnswer::Done && row != lease.written;
    if (answer == LeaseAnswer::NoAnswer || isOtherWrite) {
        lease.isRowKnown = false;
        return;
    }
    applyRow(lease, row, now);
}

bool maySendCommand(const LeaseState& lease, const LeaseOptions& options, bool checksFencing, SteadyTime now)
{
    if (!lease.heldSince)
        return false;
    if (now >= commandsEndAt(lease, options) && !isGuardDisabled(GuardId::HolderStopsEarly))
        return false;
    bool hasWaited = now - *lease.heldSince >= options.maxCommandDuration;
    return checksFencing || hasWaited || isGuardDisabled(GuardId::LongestOrderWaitedOut);
}

CommandFence makeCommandFence(const LeaseState& lease, const LeaseOptions& options)
{
    checkInvariant(lease.heldSince.has_value(), InvariantId::OneOrderingHolder);
    CommandFence fence;
    fence.number = lease.seen ? lease.seen->number : FencingNumber {};
    fence.notAfter = commandsEndAt(lease, options);
    if (isGuardDisabled(GuardId::HolderStopsEarly))
        fence.notAfter = SteadyTime::max();
    return fence;
}

} // namespace limpetpond
