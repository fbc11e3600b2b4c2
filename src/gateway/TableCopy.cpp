#include "gateway/TableCopy.h"

#include "gateway/ThriftBytes.h"
#include "gen/instance_state_types.h"
#include <algorithm>

namespace limpetpond {

void noteRows(TableCopy& copy, const TableNews& news)
{
    copy.version = std::max(copy.version, news.version);
    if (news.isWholeTable)
        copy.rows.clear();
    for (const platform::Row& row : news.rows) {
        if (row.isDeleted)
            copy.rows.erase(row.key);
        else
            copy.rows[row.key] = row.value;
    }
}

std::string encodeTable(const TableCopy& copy)
{
    rpc::TableState wire;
    wire.version = static_cast<std::int64_t>(copy.version);
    for (const auto& [key, value] : copy.rows) {
        wire.rows.emplace_back();
        wire.rows.back().key = key;
        wire.rows.back().value = value;
    }
    return compactBytes(wire);
}

std::optional<TableCopy> decodeTable(std::string_view bytes)
{
    std::optional<rpc::TableState> wire = fromCompactBytes<rpc::TableState>(bytes);
    if (!wire)
        return std::nullopt;
    TableCopy copy { .version = static_cast<std::uint64_t>(wire->version) };
    for (const rpc::StateRow& row : wire->rows)
        copy.rows[row.key] = row.value;
    return copy;
}

TableNews newsOf(const TableCopy& copy)
{
    TableNews news { .isWholeTable = true, .version = copy.version };
    for (const auto& [key, value] : copy.rows)
        news.rows.push_back({ .key = key, .value = value });
    return news;
}

} // namespace limpetpond
