#include "gateway/TableCopy.h"

#include "gateway/ThriftBytes.h"
#include "gen/instance_state_types.h"
#include <algorithm>
#include <iterator>

namespace limpetpond {

namespace {

    constexpr std::ptrdiff_t maxTombstones = 1000;

    /// Drops the older half of the tombstones once there are too many. Instances with an older version then get the whole table.
    void dropOldTombstones(TableCopy& copy)
    {
        std::vector<std::uint64_t> versions;
        for (const auto& [key, row] : copy.rows) {
            if (row.isDeleted)
                versions.push_back(row.version);
        }
        if (std::ssize(versions) <= maxTombstones)
            return;
        auto middle = versions.begin() + std::ssize(versions) / 2;
        std::nth_element(versions.begin(), middle, versions.end());
        copy.completeAfter = std::max(copy.completeAfter, *middle);
        std::erase_if(copy.rows, [&](const auto& entry) { return entry.second.isDeleted && entry.second.version <= copy.completeAfter; });
    }

} // namespace

void recordRow(TableCopy& copy, const std::string& key, TableRow row)
{
    copy.version = std::max(copy.version, row.version);
    bool isTombstone = row.isDeleted;
    copy.rows[key] = std::move(row);
    if (isTombstone)
        dropOldTombstones(copy);
}

TableDelta changesAfter(const TableCopy& copy, std::uint64_t version)
{
    bool isWhole = !version || version < copy.completeAfter;
    TableDelta delta { .version = copy.version, .isWhole = isWhole };
    for (const auto& [key, row] : copy.rows) {
        if (isWhole ? !row.isDeleted : row.version > version)
            delta.rows.emplace(key, row);
    }
    return delta;
}

std::string encodeDelta(const TableDelta& delta)
{
    rpc::TableState wire;
    wire.version = static_cast<std::int64_t>(delta.version);
    wire.isWhole = delta.isWhole;
    for (const auto& [key, row] : delta.rows) {
        rpc::StateRow& to = wire.rows.emplace_back();
        to.key = key;
        to.value = row.value;
        to.version = static_cast<std::int64_t>(row.version);
        to.deleted = row.isDeleted;
        to.afterOutage = row.afterOutage;
    }
    return compactBytes(wire);
}

std::optional<TableDelta> decodeDelta(std::string_view bytes)
{
    std::optional<rpc::TableState> wire = fromCompactBytes<rpc::TableState>(bytes);
    if (!wire)
        return std::nullopt;
    TableDelta delta { .version = static_cast<std::uint64_t>(wire->version), .isWhole = wire->isWhole };
    for (const rpc::StateRow& row : wire->rows) {
        delta.rows[row.key] = { .value = row.value,
            .version = static_cast<std::uint64_t>(row.version),
            .isDeleted = row.deleted,
            .afterOutage = row.afterOutage };
    }
    return delta;
}

} // namespace limpetpond
