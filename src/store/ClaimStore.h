#pragma once

/// Stores the claims of non-idempotent calls as rows of the table service.

#include "core/Messages.h"
#include "store/TableClient.h"
#include <vector>

namespace limpetpond {

/// Writes a claim under its condition, in one transaction. A write that may have taken effect is never retried.
///
///     ClaimAnswered answer = writeClaim(table, write);
///     if (answer.answer == StoreAnswer::ConditionFailed) inspect(answer.row);
ClaimAnswered writeClaim(TableClient&, const WriteClaim&);

/// Writes several claims in few transactions. A row whose condition fails is reported on its own
/// and the other rows are committed without it. The answers are in the order of the writes.
///
///     std::vector<ClaimAnswered> answers = writeClaims(table, writes);
std::vector<ClaimAnswered> writeClaims(TableClient&, const std::vector<WriteClaim>&);

/// Reads the claim of an idempotency key with strong consistency.
///
///     std::optional<ClaimRow> row = readClaim(table, read).row;
ClaimAnswered readClaim(TableClient&, const ReadClaim&);

/// Converts a claim to its row of the table service.
///
///     TableItem item = claimItem(row);
TableItem claimItem(const ClaimRow&);

/// Converts a row to its claim. Fails with `CallError` Malformed when a field is missing or out of range.
///
///     Result<ClaimRow> row = claimRow(item);
Result<ClaimRow> claimRow(const TableItem&);

} // namespace limpetpond
