#pragma once

/// The command line of `limpetpond`: commands, flags and their help.

#include "limpetpond/Errors.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetpond::tool {

/// The exit code of the tool.
enum class ExitCode {
    Done = 0,
    Refused = 1, ///< The instance refused, or the command didn't reach its goal.
    Usage = 2,
    Conflict = 3, ///< The branch changed after the version that the edit is based on.
    Unreachable = 4, ///< No instance answered.
    Unknown = 5, ///< The change may have taken effect; repeat it with its change id.
};

/// The address at which an instance serves operators.
struct Address {
    std::string host;
    int port { 0 };
    bool operator==(const Address&) const = default;
};

/// The options from flags and environment variables.
struct ToolOptions {
    std::vector<Address> instances;
    std::string secret;
    std::string author;
    std::string changeId; ///< Empty for a new id.
    std::optional<std::int64_t> readVersion;
    std::int64_t after { 0 };
    std::string request;
    std::string target;
    std::string instance;
    std::string output; ///< A file name; empty for standard output.
    std::chrono::milliseconds timeout { 600'000 };
    std::chrono::milliseconds period { 1'000 };
    bool json { false };
    bool dryRun { false };
    bool wait { false };
    bool watch { false };
    bool replace { false };
    bool html { false };
    bool chromeTrace { false };
};

/// A parsed command line.
struct ToolCommand {
    std::vector<std::string> arguments; ///< Positional arguments, the names of the command first.
    ToolOptions options;
    bool help { false };
    bool version { false };
};

/// Parses `IP:PORT,IP:PORT`. Errors: InvalidSetting.
Result<std::vector<Address>> parseAddresses(const std::string& name, std::string_view text);

/// Whether any command has this flag; the name has underscores and no leading dashes.
bool isToolFlag(const std::string& name);

/// The help of a command such as `settings set`, or the list of commands of a group; empty for an unknown command.
std::string helpText(const std::vector<std::string>& words);

} // namespace limpetpond::tool
