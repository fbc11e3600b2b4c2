#pragma once

/// An in-memory table service with the part of the DynamoDB JSON protocol that limpetpond uses.

#include "test/fakes/common/FakeServer.h"
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace limpetpond::fakes {

struct TableReply {
    int status { 200 };
    json::object body;
};

/// Holds all tables. Each call is atomic.
class TableService {
public:
    /// Executes one operation, such as `GetItem`.
    TableReply execute(std::string_view operation, const json::object& request);

    /// Saves a copy of all rows; restores the saved copy.
    void saveSnapshot();
    void restoreSnapshot();

    /// The rows whose partition key starts with the prefix.
    json::array rows(const std::string& partitionPrefix);

    json::object counts();

private:
    using RowKey = std::pair<std::string, std::string>;
    using Table = std::map<RowKey, json::object>;

    TableReply get(const json::object& request);
    TableReply query(const json::object& request);
    TableReply transact(const json::object& request);
    json::object cancellationReason(const json::object& operation) const;
    void apply(const json::object& operation);

    std::mutex m_mutex;
    std::map<std::string, Table> m_tables;
    std::map<std::string, Table> m_snapshot;
    std::set<std::string> m_committedTokens;
    std::int64_t m_reads { 0 };
    std::int64_t m_commits { 0 };
    std::int64_t m_cancelled { 0 };
    std::int64_t m_rowsWritten { 0 };
};

/// An error reply in the format of the protocol.
TableReply tableError(std::string_view type, int status = 400);

} // namespace limpetpond::fakes
