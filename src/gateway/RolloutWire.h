#pragma once

/// Rollouts in updates between instances and in the rows of the store.

#include "core/Rollout.h"
#include "core/RolloutEvidence.h"
#include "core/TargetVersions.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetpond {

namespace rpc {
    class RolloutNews;
}

/// What an instance reports to its peers about one rollout.
struct RolloutReport {
    std::uint32_t pool { 0 }; ///< `shortHash` of the id.
    TableVersion order;
    TargetVersion to;
    Duration time { 0 }; ///< From the order to its deadline.
    Duration orderAge { 0 }; ///< Since the sender learned of the order.
    RolloutPosition position;
    std::uint64_t beatGeneration { 0 }; ///< Of the holder that the sender has heard last; see `recordBeat()`.
    std::uint64_t beat { 0 }; ///< The number of that holder's last update.
    Duration beatAge { 0 }; ///< Since the holder was last known to hold the rollout.
    int oldInProgress { 0 }; ///< Requests of the sender at targets of old versions.
    std::vector<RolloutCount> counts; ///< Of the sender's answers; empty in the updates that don't hold everything.
};

rpc::RolloutNews toWire(const RolloutReport&);
/// Nothing for a message without a version, or with an invalid phase or time.
std::optional<RolloutReport> fromWire(const rpc::RolloutNews&);

/// The row of one rollout, which its holder writes.
struct RolloutRow {
    TableVersion order;
    TargetVersion to;
    Duration time { 0 };
    Duration orderAge { 0 }; ///< Time since the order when the row was written or read.
    RolloutPosition position;
    InstanceId holder;
    std::uint64_t holderIncarnation { 0 };
};

/// Encodes a row's value, and decodes it; nothing for malformed bytes.
///
///     std::optional<RolloutRow> read = decodeRolloutRow(encodeRolloutRow(row, now), now);
std::string encodeRolloutRow(const RolloutRow&, SystemTime now);
std::optional<RolloutRow> decodeRolloutRow(std::string_view bytes, SystemTime now);

/// Encodes the row of a pool's versions, and decodes it; nothing for malformed bytes. The candidate isn't part of it.
///
///     std::optional<TargetVersions> read = decodeVersionsRow(encodeVersionsRow(versions));
std::string encodeVersionsRow(const TargetVersions&);
std::optional<TargetVersions> decodeVersionsRow(std::string_view bytes);

} // namespace limpetpond
