#pragma once

/// Claims of non-idempotent calls as rows of the table service.

#include "core/Messages.h"
#include "store/TableClient.h"
#include <vector>

namespace limpetpond {

/// Writes a claim under its condition, in one transaction. It never retries a write that may have taken effect.
///
///     ClaimAnswered answer = writeClaim(table, write);
///     if (answer.answer == StoreAnswer::ConditionFailed) inspect(answer.row);
ClaimAnswered writeClaim(TableClient&, const WriteClaim&);

/// Writes many claims in few transactions. A row whose condition fails is reported by itself
/// and the rest is committed without it; answers come in the order of the writes.
///
///     std::vector<ClaimAnswered> answers = writeClaims(table, writes);
std::vector<ClaimAnswered> writeClaims(TableClient&, const std::vector<WriteClaim>&);

/// Reads the row of a key with strong consistency.
///
///     std::optional<ClaimRow> row = readClaim(table, read).row;
ClaimAnswered readClaim(TableClient&, const ReadClaim&);

/// The row of the table service that holds a claim.
///
///     TableItem item = claimItem(row);
TableItem claimItem(const ClaimRow&);

/// The claim that a row holds; fails with `CallError` Malformed where a field is missing or out of range.
///
///     Result<ClaimRow> row = claimRow(item);
Result<ClaimRow> claimRow(const TableItem&);

} // namespace limpetpond
