#include "gateway/TableCopy.h"

#include "gateway/ThriftBytes.h"
#include "gen/instance_state_types.h"
#include <algorithm>
#include <charconv>
#include <iterator>

namespace limpetpond {

namespace {

    constexpr std::ptrdiff_t maxTombstones = 1000;

    /// Drops the older half of the tombstones once there are too many. Instances with an older version then get the whole table.
    void dropOldTombstones(TableCopy& copy)
    {
        std::vector<TableVersion> versions;
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

void replaceRows(TableCopy& copy, const TableVersion& readAt, std::map<std::string, TableRow> rows)
{
    copy = { .version = { .epoch = readAt.epoch }, .completeAfter = readAt, .rows = std::move(rows) };
    for (const auto& [key, row] : copy.rows)
        copy.version = std::max(copy.version, row.version);
}

TableDelta changesAfter(const TableCopy& copy, const TableVersion& version)
{
    bool isWhole = !version.number || version.epoch != copy.version.epoch || version < copy.completeAfter;
    TableDelta delta { .version = copy.version, .isWhole = isWhole };
    for (const auto& [key, row] : copy.rows) {
        // Deletions that are known need no time in which the row may come back.
        bool isNeeded = isWhole ? !row.isDeleted || version.number > 0 : row.version > version;
        if (isNeeded)
            delta.rows.emplace(key, row);
    }
    return delta;
}

std::string versionText(const TableVersion& version)
{
    return std::to_string(version.number) + "." + std::to_string(version.epoch.value());
}

std::optional<TableVersion> parseVersion(std::string_view text, StoreEpoch ownEpoch)
{
    const char* end = text.data() + text.size();
    TableVersion version { .epoch = ownEpoch };
    auto number = std::from_chars(text.data(), end, version.number);
    if (number.ec != std::errc())
        return std::nullopt;
    if (number.ptr == end)
        return version;
    std::uint64_t epoch = 0;
    if (*number.ptr != '.' || std::from_chars(number.ptr + 1, end, epoch).ec != std::errc())
        return std::nullopt;
    version.epoch = StoreEpoch(epoch);
    return version;
}

std::string encodeDelta(const TableDelta& delta)
{
    rpc::TableState wire;
    wire.version = static_cast<std::int64_t>(delta.version.number);
    wire.__set_epoch(static_cast<std::int64_t>(delta.version.epoch.value()));
    wire.isWhole = delta.isWhole;
    for (const auto& [key, row] : delta.rows) {
        rpc::StateRow& to = wire.rows.emplace_back();
        to.key = key;
        to.value = row.value;
        to.version = static_cast<std::int64_t>(row.version.number);
        to.deleted = row.isDeleted;
        to.afterOutage = row.afterOutage;
    }
    return compactBytes(wire);
}

std::optional<TableDelta> decodeDelta(std::string_view bytes, StoreEpoch ownEpoch)
{
    std::optional<rpc::TableState> wire = fromCompactBytes<rpc::TableState>(bytes);
    if (!wire)
        return std::nullopt;
    StoreEpoch epoch = wire->__isset.epoch ? StoreEpoch(static_cast<std::uint64_t>(wire->epoch)) : ownEpoch;
    TableDelta delta { .version = { .epoch = epoch, .number = static_cast<std::uint64_t>(wire->version) }, .isWhole = wire->isWhole };
    for (const rpc::StateRow& row : wire->rows) {
        delta.rows[row.key] = { .value = row.value,
            .version = { .epoch = epoch, .number = static_cast<std::uint64_t>(row.version) },
            .isDeleted = row.deleted,
            .afterOutage = row.afterOutage };
    }
    return delta;
}

} // namespace limpetpond
