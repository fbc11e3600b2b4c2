#include "store/ClaimStore.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>
#include <set>

namespace limpetpond {

namespace {

    constexpr std::string_view sortKey = "claim";
    constexpr std::string_view stateName = "state";
    constexpr std::string_view attemptName = "attempt";
    constexpr std::string_view generationName = "generation";

    struct StateCode {
        ClaimState state;
        std::string_view code;
    };

    constexpr std::array<StateCode, 4> stateCodes = { {
        { ClaimState::Claimed, "claimed" },
        { ClaimState::Completed, "completed" },
        { ClaimState::Closed, "closed" },
        { ClaimState::Lost, "lost" },
    } };

    std::string codeOf(ClaimState state)
    {
        for (const StateCode& entry : stateCodes) {
            if (entry.state == state)
                return std::string(entry.code);
        }
        return {};
    }

    std::optional<ClaimState> stateOf(std::string_view code)
    {
        for (const StateCode& entry : stateCodes) {
            if (entry.code == code)
                return entry.state;
        }
        return std::nullopt;
    }

    // The length of the account separates it from the key, so that no two pairs of account and key share a row.
    TableKey keyOf(const ClientAccountId& account, const IdempotencyKey& key)
    {
        std::string partition = "claim#" + std::to_string(account.value().size()) + '#' + account.value() + '#' + key.value();
        return { .partition = std::move(partition), .sort = std::string(sortKey) };
    }

    std::vector<TableCondition> conditionsOf(const WriteClaim& write)
    {
        auto state = [](ClaimState wanted) { return TableCondition { TableConditionKind::Equal, std::string(stateName), codeOf(wanted) }; };
        switch (write.condition) {
        case ClaimCondition::Absent:
            return { { .kind = TableConditionKind::RowAbsent } };
        case ClaimCondition::OwnedByAttempt:
            return { state(ClaimState::Claimed), { TableConditionKind::Equal, std::string(attemptName), write.row.attempt.value() } };
        case ClaimCondition::ClosedAtGeneration:
            break;
        }
        auto previous = static_cast<std::int64_t>(write.row.generation) - 1;
        return { state(ClaimState::Closed), { TableConditionKind::Equal, std::string(generationName), previous } };
    }

    TableWrite tableWrite(const WriteClaim& write)
    {
        return { .kind = TableWriteKind::Put, .item = claimItem(write.row), .conditions = conditionsOf(write) };
    }

    std::optional<ClaimRow> existingRow(const std::optional<TableItem>& item)
    {
        if (!item)
            return std::nullopt;
        return boost::leaf::try_handle_all(
            [&]() -> Result<std::optional<ClaimRow>> {
                BOOST_LEAF_ASSIGN(ClaimRow row, claimRow(*item));
                return std::optional(std::move(row));
            },
            [] { return std::optional<ClaimRow>(); });
    }

    StoreAnswer answerOf(const CallError& error)
    {
        switch (error.failure) {
        case CallFailure::NotSent:
        case CallFailure::Refused:
        case CallFailure::Throttled:
            return StoreAnswer::NotSent;
        case CallFailure::NoAnswer:
        case CallFailure::Malformed:
            break;
        }
        return StoreAnswer::NoAnswer;
    }

    // The result of one transaction: the answer, and the result of each row when the transaction was cancelled.
    struct BatchResult {
        StoreAnswer answer { StoreAnswer::Done };
        std::vector<RowResult> rows; ///< Empty unless the transaction was cancelled.
    };

    BatchResult transactClaims(TableClient& table, const std::vector<TableWrite>& writes)
    {
        return boost::leaf::try_handle_all(
            [&]() -> Result<BatchResult> {
                BOOST_LEAF_ASSIGN(TransactionResult result, table.transact(writes));
                return BatchResult { .answer = StoreAnswer::Done, .rows = std::move(result.rows) };
            },
            [](const CallError& error) { return BatchResult { .answer = answerOf(error) }; },
            [] { return BatchResult { .answer = StoreAnswer::NoAnswer }; });
    }

    // Removes from `waiting`, in order, the writes that may share a transaction: no two of the same row.
    std::vector<std::size_t> nextBatch(const std::vector<WriteClaim>& writes, std::vector<std::size_t>& waiting)
    {
        std::set<TableKey> keys;
        std::vector<std::size_t> batch;
        std::vector<std::size_t> rest;
        for (std::size_t i : waiting) {
            bool fits = batch.size() < maxTransactionWrites && keys.insert(keyOf(writes[i].row.account, writes[i].row.key)).second;
            (fits ? batch : rest).push_back(i);
        }
        waiting = std::move(rest);
        return batch;
    }

    ClaimAnswered answered(const WriteClaim& write, StoreAnswer answer, std::optional<ClaimRow> row)
    {
        return { .request = write.request, .attempt = write.row.attempt, .answer = answer, .row = std::move(row) };
    }

} // namespace

TableItem claimItem(const ClaimRow& row)
{
    return {
        .key = keyOf(row.account, row.key),
        .attributes = {
            { "account", row.account.value() },
            { "key", row.key.value() },
            { "body_hash", std::to_string(row.bodyHash) },
            { std::string(generationName), static_cast<std::int64_t>(row.generation) },
            { std::string(stateName), codeOf(row.state) },
            { "owner", row.owner.value() },
            { std::string(attemptName), row.attempt.value() },
            { "answer", row.storedAnswer },
            { "expires_at", row.expiresAt },
        },
    };
}

Result<ClaimRow> claimRow(const TableItem& item)
{
    auto malformed = [](const char* field) {
        return boost::leaf::new_error(CallError { .failure = CallFailure::Malformed, .detail = std::string("claim row: missing or invalid field ") + field });
    };
    std::optional<ClaimState> state = stateOf(textOf(item, stateName));
    if (!state)
        return malformed("state");
    std::int64_t generation = numberOf(item, generationName);
    if (generation < 1)
        return malformed("generation");
    std::string hash = textOf(item, "body_hash");
    std::uint64_t bodyHash = 0;
    auto [end, error] = std::from_chars(hash.data(), hash.data() + hash.size(), bodyHash);
    if (error != std::errc() || end != hash.data() + hash.size())
        return malformed("body_hash");
    return ClaimRow {
        .account = ClientAccountId(textOf(item, "account")),
        .key = IdempotencyKey(textOf(item, "key")),
        .bodyHash = bodyHash,
        .generation = static_cast<std::uint64_t>(generation),
        .state = *state,
        .owner = InstanceId(textOf(item, "owner")),
        .attempt = AttemptId(textOf(item, attemptName)),
        .storedAnswer = textOf(item, "answer"),
        .expiresAt = numberOf(item, "expires_at"),
    };
}

ClaimAnswered writeClaim(TableClient& table, const WriteClaim& write)
{
    return writeClaims(table, { write }).front();
}

std::vector<ClaimAnswered> writeClaims(TableClient& table, const std::vector<WriteClaim>& writes)
{
    std::vector<ClaimAnswered> answers(writes.size());
    std::vector<std::size_t> waiting(writes.size());
    std::iota(waiting.begin(), waiting.end(), std::size_t { 0 });

    while (!waiting.empty()) {
        std::vector<std::size_t> batch = nextBatch(writes, waiting);
        std::vector<TableWrite> rows;
        rows.reserve(batch.size());
        for (std::size_t i : batch)
            rows.push_back(tableWrite(writes[i]));
        BatchResult end = transactClaims(table, rows);

        std::vector<std::size_t> retried;
        for (std::size_t n = 0; n < batch.size(); ++n) {
            const WriteClaim& write = writes[batch[n]];
            if (end.rows.empty()) {
                bool done = end.answer == StoreAnswer::Done;
                answers[batch[n]] = answered(write, end.answer, done ? std::optional(write.row) : std::nullopt);
            } else if (end.rows[n].reason == CancellationReason::ConditionFailed) {
                answers[batch[n]] = answered(write, StoreAnswer::ConditionFailed, existingRow(end.rows[n].existing));
            } else if (end.rows[n].reason == CancellationReason::None && batch.size() > 1) {
                retried.push_back(batch[n]);
            } else {
                answers[batch[n]] = answered(write, StoreAnswer::NotSent, std::nullopt);
            }
        }
        waiting.insert(waiting.begin(), retried.begin(), retried.end());
    }
    return answers;
}

ClaimAnswered readClaim(TableClient& table, const ReadClaim& read)
{
    ClaimAnswered out { .request = read.request, .attempt = read.attempt, .wasRead = true };
    return boost::leaf::try_handle_all(
        [&]() -> Result<ClaimAnswered> {
            BOOST_LEAF_ASSIGN(std::optional<TableItem> item, table.get(keyOf(read.account, read.key)));
            if (item) {
                BOOST_LEAF_ASSIGN(out.row, claimRow(*item));
            }
            return out;
        },
        [&](const CallError& error) {
            out.answer = answerOf(error);
            return out;
        },
        [&] {
            out.answer = StoreAnswer::NoAnswer;
            return out;
        });
}

} // namespace limpetpond
