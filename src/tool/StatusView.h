#pragma once

/// The status of all instances on a screen of 80 columns.

#include <optional>
#include <string>
#include <vector>

namespace limpetpond::tool {

/// What one instance answered.
struct InstanceAnswer {
    std::string address;
    std::optional<std::string> status; ///< JSON, as docs/OPERATIONS.md lists it; none when it did not answer.
    std::string failure;
};

constexpr std::size_t screenColumns = 80;

/// The text of `limpetpond status`; no line is longer than `screenColumns`.
///
///     std::cout << statusText({ { .address = "127.0.0.1:9090", .status = json } });
std::string statusText(const std::vector<InstanceAnswer>&);

/// The answers as one JSON object by address.
std::string statusJson(const std::vector<InstanceAnswer>&);

} // namespace limpetpond::tool
