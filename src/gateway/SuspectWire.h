#pragma once

/// Encodes suspected prompt parts for peers and for rows in the store.

#include "core/CrashingParts.h"
#include "limpetpond/Clock.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpetpond {

namespace rpc {
    class SuspectPart;
}

/// A suspicion with the pool that it is about.
struct PoolSuspect {
    std::uint32_t pool { 0 }; ///< `shortHash` of the id.
    SuspectReport report;
};

/// Converts between a suspicion and its Thrift struct.
rpc::SuspectPart toWire(const PoolSuspect&);
PoolSuspect fromWire(const rpc::SuspectPart&);

/// The key of a suspicion's row in the store.
std::string suspectRowKey(std::uint32_t pool, PromptPart);

/// Encodes a row, and decodes it; nothing for malformed bytes. The ages of the crashes grow by the time that has passed
/// between the two by the system's clock.
///
///     std::optional<PoolSuspect> suspect = decodeSuspectRow(encodeSuspectRow(suspect, clock.systemNow()), clock.systemNow());
std::string encodeSuspectRow(const PoolSuspect&, SystemTime now);
std::optional<PoolSuspect> decodeSuspectRow(std::string_view bytes, SystemTime now);

/// The id as it stands in requests where it is a hexadecimal number of at most 16 digits, and otherwise a hash of it.
PromptPart promptPartOf(std::string_view id);

/// The id for logs; hexadecimal.
std::string promptPartText(PromptPart);

} // namespace limpetpond
