#pragma once

/// The table service's rows and its part of the DynamoDB JSON protocol.

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

/// All tables in memory; each call is one atomic step.
class TableService {
public:
    /// Runs one operation, such as `GetItem`.
    TableReply run(std::string_view operation, const json::object& request);

    /// Keeps the rows as they are, and goes back to them.
    void keepSnapshot();
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
    json::object reasonOf(const json::object& operation) const;
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

/// An error in the protocol's form.
TableReply tableError(std::string_view type, int status = 400);

} // namespace limpetpond::fakes
