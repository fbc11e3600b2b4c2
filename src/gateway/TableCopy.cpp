#include "gateway/TableCopy.h"

#include "gateway/ThriftBytes.h"
#include "gen/instance_state_types.h"
#include <algorithm>
#include <iterator>

namespace limpetpond {

namespace {

    constexpr std::ptrdiff_t mostTraces = 1000;

    /// Forgets the older half of the traces; who knows less than that gets the whole table.
    void forgetOldTraces(TableCopy& copy)
    {
        std::vector<std::uint64_t> versions;
        for (const auto& [key, row] : copy.rows) {
            if (row.isDeleted)
                versions.push_back(row.version);
        }
        if (std::ssize(versions) <= mostTraces)
            return;
        auto middle = versions.begin() + std::ssize(versions) / 2;
        std::nth_element(versions.begin(), middle, versions.end());
        copy.completeAfter = std::max(copy.completeAfter, *middle);
        std::erase_if(copy.rows, [&](const auto& entry) { return entry.second.isDeleted && entry.second.version <= copy.completeAfter; });
    }

} // namespace

void noteRow(TableCopy& copy, const std::string& key, CopiedRow row)
{
    copy.version = std::max(copy.version, row.version);
    bool isTrace = row.isDeleted;
    copy.rows[key] = std::move(row);
    if (isTrace)
        forgetOldTraces(copy);
}

TablePart changesAfter(const TableCopy& copy, std::uint64_t version)
{
    bool isWhole = !version || version < copy.completeAfter;
    TablePart part { .version = copy.version, .isWhole = isWhole };
    for (const auto& [key, row] : copy.rows) {
        if (isWhole ? !row.isDeleted : row.version > version)
            part.rows.emplace(key, row);
    }
    return part;
}

std::string encodePart(const TablePart& part)
{
    rpc::TableState wire;
    wire.version = static_cast<std::int64_t>(part.version);
    wire.isWhole = part.isWhole;
    for (const auto& [key, row] : part.rows) {
        rpc::StateRow& to = wire.rows.emplace_back();
        to.key = key;
        to.value = row.value;
        to.version = static_cast<std::int64_t>(row.version);
        to.deleted = row.isDeleted;
        to.afterOutage = row.afterOutage;
    }
    return compactBytes(wire);
}

std::optional<TablePart> decodePart(std::string_view bytes)
{
    std::optional<rpc::TableState> wire = fromCompactBytes<rpc::TableState>(bytes);
    if (!wire)
        return std::nullopt;
    TablePart part { .version = static_cast<std::uint64_t>(wire->version), .isWhole = wire->isWhole };
    for (const rpc::StateRow& row : wire->rows) {
        part.rows[row.key] = { .value = row.value,
            .version = static_cast<std::uint64_t>(row.version),
            .isDeleted = row.deleted,
            .afterOutage = row.afterOutage };
    }
    return part;
}

} // namespace limpetpond
