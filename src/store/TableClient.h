#pragma once

/// The platform's transactional table service, by the DynamoDB JSON protocol (version 20120810).
///
/// The client uses a small part of the protocol: GetItem with ConsistentRead, Query by partition and
/// sort key range, and TransactWriteItems with Put, Delete and ConditionCheck. Rows have a
/// partition key `pk` and a sort key `sk`, both text; attributes are text (S) or whole numbers (N).

#include "http/HttpClient.h"
#include "limpetpond/Errors.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace limpetpond {

struct TableKey {
    std::string partition;
    std::string sort;
    auto operator<=>(const TableKey&) const = default;
};

using TableValue = std::variant<std::string, std::int64_t>;

struct TableAttribute {
    std::string name;
    TableValue value;
    bool operator==(const TableAttribute&) const = default;
};

/// A row: its key and its other attributes.
struct TableItem {
    TableKey key;
    std::vector<TableAttribute> attributes;
    bool operator==(const TableItem&) const = default;
};

/// Returns the text of an attribute, or an empty string when it is absent or a number.
///
///     std::string owner = textOf(item, "owner");
std::string textOf(const TableItem&, std::string_view name);

/// Returns the number of an attribute, or `fallback` when it is absent or text.
///
///     std::int64_t version = numberOf(item, "version");
std::int64_t numberOf(const TableItem&, std::string_view name, std::int64_t fallback = 0);

enum class TableConditionKind {
    RowAbsent, ///< attribute_not_exists(pk)
    RowPresent, ///< attribute_exists(pk)
    Equal, ///< attribute = value
    NotEqual, ///< attribute <> value
    Less, ///< attribute < value
};

/// One condition of a write. All conditions of a write must hold.
struct TableCondition {
    TableConditionKind kind { TableConditionKind::RowAbsent };
    std::string attribute; ///< Unused by RowAbsent and RowPresent.
    TableValue value;
};

enum class TableWriteKind {
    Put, ///< Replaces the whole row.
    Delete,
    Check, ///< Writes nothing. Its conditions must hold.
};

struct TableWrite {
    TableWriteKind kind { TableWriteKind::Put };
    TableItem item; ///< Delete and Check use the key only.
    std::vector<TableCondition> conditions;
};

/// Why one write cancelled its transaction.
enum class CancellationReason {
    None, ///< This write did not cause the cancellation.
    ConditionFailed,
    Conflict, ///< Another transaction on the row was in progress.
    Throttled,
};

struct RowResult {
    CancellationReason reason { CancellationReason::None };
    std::optional<TableItem> existing; ///< The row as stored, if there is one. Set for ConditionFailed only.
};

/// The result of a transaction, which takes effect as a whole or not at all.
struct TransactionResult {
    bool committed { false };
    std::vector<RowResult> rows; ///< If not committed: one for each write, in their order.
};

struct TableQuery {
    std::string partition;
    std::string firstSort; ///< Inclusive.
    std::string lastSort; ///< Inclusive; empty for no upper bound.
    int limit { 0 }; ///< Maximum number of rows; 0 for all.
};

struct TableClientOptions {
    HttpEndpoint endpoint;
    std::string table { "limpetpond" };
    HttpTimeouts timeouts { .connect = std::chrono::milliseconds(500), .read = std::chrono::milliseconds(2'000), .write = std::chrono::milliseconds(1'000) };
};

/// The maximum number of writes in one transaction.
constexpr std::size_t maxTransactionWrites = 100;

/// A thread-safe client of one table. It never retries. Failures are `CallError`: NotSent and Throttled
/// calls had no effect, NoAnswer calls may have taken effect, and Refused calls were rejected by the service.
///
///     TableClient table({ .endpoint = { "127.0.0.1", 8000 } });
///     Result<std::optional<TableItem>> row = table.get({ "settings", "head" });
class TableClient {
public:
    explicit TableClient(TableClientOptions);

    /// Reads a row with strong consistency; no value when the row does not exist.
    Result<std::optional<TableItem>> get(const TableKey&);

    /// Reads the rows of one partition in the order of their sort keys, following pages.
    Result<std::vector<TableItem>> query(const TableQuery&);

    /// Commits all writes or none. No two writes may name the same row. Repeating a successful call with the same
    /// non-empty `token` within ten minutes reports success again and writes nothing.
    Result<TransactionResult> transact(const std::vector<TableWrite>&, const std::string& token = {});

private:
    Result<std::string> post(std::string_view operation, std::string body);

    std::string m_table;
    HttpConnectionPool m_pool;
};

} // namespace limpetpond
