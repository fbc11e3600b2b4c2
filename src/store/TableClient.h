#pragma once

/// The platform's transactional table service, by the DynamoDB JSON protocol (version 20120810).
///
/// A small part of the protocol is used: GetItem with ConsistentRead, Query by partition and
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

/// The text of an attribute; empty when it is absent or a number.
///
///     std::string owner = textOf(item, "owner");
std::string textOf(const TableItem&, std::string_view name);

/// The number of an attribute; `fallback` when it is absent or text.
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

/// One part of a write's condition; all parts must hold.
struct TableCondition {
    TableConditionKind kind { TableConditionKind::RowAbsent };
    std::string attribute; ///< Unused by RowAbsent and RowPresent.
    TableValue value;
};

enum class TableWriteKind {
    Put, ///< Replaces the whole row.
    Delete,
    Check, ///< Writes nothing; its condition must hold.
};

struct TableWrite {
    TableWriteKind kind { TableWriteKind::Put };
    TableItem item; ///< Delete and Check use only the key.
    std::vector<TableCondition> conditions;
};

/// What became of one write of a cancelled transaction.
enum class CancellationReason {
    None, ///< No fault of this write.
    ConditionFailed,
    Conflict, ///< Another transaction was under way at the row.
    Throttled,
};

struct RowResult {
    CancellationReason reason { CancellationReason::None };
    std::optional<TableItem> existing; ///< ConditionFailed: the row that stands, if there is one.
};

/// A transaction takes effect whole or not at all.
struct TransactionResult {
    bool committed { false };
    std::vector<RowResult> rows; ///< Not committed: one for each write, in their order.
};

struct TableQuery {
    std::string partition;
    std::string firstSort; ///< Inclusive.
    std::string lastSort; ///< Inclusive; empty for no upper bound.
    int limit { 0 }; ///< Rows at most; 0 for all.
};

struct TableClientOptions {
    HttpEndpoint endpoint;
    std::string table { "limpetpond" };
    HttpTimeouts timeouts { .connect = std::chrono::milliseconds(500), .read = std::chrono::milliseconds(2'000), .write = std::chrono::milliseconds(1'000) };
};

/// The most writes that one transaction may hold.
constexpr std::size_t maxTransactionWrites = 100;

/// A thread-safe client of one table. Failures are `CallError`: NotSent and Throttled had no
/// effect; NoAnswer may have taken effect; Refused is a request that the service rejects.
/// It never retries.
///
///     TableClient table({ .endpoint = { "127.0.0.1", 8000 } });
///     Result<std::optional<TableItem>> row = table.get({ "settings", "head" });
class TableClient {
public:
    explicit TableClient(TableClientOptions);

    /// Reads a row with strong consistency; no value when there is none.
    Result<std::optional<TableItem>> get(const TableKey&);

    /// Reads the rows of one partition in the order of their sort keys, following pages.
    Result<std::vector<TableItem>> query(const TableQuery&);

    /// Commits all writes or none. No two may name the same row. A repeat with the same
    /// non-empty `token` within ten minutes reports the first call's success and writes nothing.
    Result<TransactionResult> transact(const std::vector<TableWrite>&, const std::string& token = {});

private:
    Result<std::string> post(std::string_view operation, std::string body);

    std::string m_table;
    HttpPool m_pool;
};

} // namespace limpetpond
