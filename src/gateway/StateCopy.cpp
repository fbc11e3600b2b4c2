#include "gateway/StateCopy.h"

#include "gateway/ThriftBytes.h"
#include "gen/instance_state_types.h"

namespace limpetpond {

namespace {

    std::vector<rpc::StateRow> toWire(const std::map<std::string, std::string>& rows)
    {
        std::vector<rpc::StateRow> wire;
        for (const auto& [key, value] : rows) {
            wire.emplace_back();
            wire.back().key = key;
            wire.back().value = value;
        }
        return wire;
    }

    std::map<std::string, std::string> fromWire(const std::vector<rpc::StateRow>& wire)
    {
        std::map<std::string, std::string> rows;
        for (const rpc::StateRow& row : wire)
            rows[row.key] = row.value;
        return rows;
    }

} // namespace

void noteRows(std::map<std::string, std::string>& rows, const TableNews& news)
{
    if (news.isWholeTable)
        rows.clear();
    for (const platform::Row& row : news.rows) {
        if (row.isDeleted)
            rows.erase(row.key);
        else
            rows[row.key] = row.value;
    }
}

std::string encodeState(const StateCopy& state)
{
    rpc::InstanceState wire;
    wire.settings = toWire(state.settings);
    wire.targets = toWire(state.targets);
    return compactBytes(wire);
}

std::optional<StateCopy> decodeState(std::string_view bytes)
{
    std::optional<rpc::InstanceState> wire = fromCompactBytes<rpc::InstanceState>(bytes);
    if (!wire)
        return std::nullopt;
    return StateCopy { .settings = fromWire(wire->settings), .targets = fromWire(wire->targets) };
}

TableNews newsOf(const std::map<std::string, std::string>& rows)
{
    TableNews news { .isWholeTable = false, .afterOutage = true };
    for (const auto& [key, value] : rows)
        news.rows.push_back({ .key = key, .value = value });
    return news;
}

} // namespace limpetpond
