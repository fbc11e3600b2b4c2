#pragma once

/// Parses the flags of the tool. Kept apart from the commands, so that tests can link the commands without the flags.

#include "tool/CommandLine.h"
#include <map>
#include <string>

namespace limpetpond::tool {

/// Parses the command line with Abseil; an environment variable applies where its flag is not given.
/// Hyphens and underscores in flag names are equivalent. Errors: InvalidSetting.
///
///     Result<ToolCommand> command = parseToolCommand(argc, argv, { { "LIMPETPOND_INSTANCES", "127.0.0.1:9090" } });
Result<ToolCommand> parseToolCommand(int argc, char** argv, const std::map<std::string, std::string>& environment);

} // namespace limpetpond::tool
