#pragma once

/// The status of all instances, as text of at most 80 columns and as JSON.

#include <optional>
#include <string>
#include <vector>

namespace limpetpond::tool {

/// The answer of one instance to a status request.
struct InstanceAnswer {
    std::string address;
    std::optional<std::string> status; ///< JSON with the fields listed in docs/OPERATIONS.md; no value if the instance didn't answer.
    std::string failure; ///< Why there is no status.
};

constexpr std::size_t screenColumns = 80;

/// The text of `limpetpond status`; no line is longer than `screenColumns`.
///
///     std::cout << statusText({ { .address = "127.0.0.1:9090", .status = json } });
std::string statusText(const std::vector<InstanceAnswer>&);

/// All answers as one JSON object, keyed by address; null for an instance that didn't answer.
std::string statusJson(const std::vector<InstanceAnswer>&);

} // namespace limpetpond::tool
