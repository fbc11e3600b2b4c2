#pragma once

/// The flags of the tool; apart from its commands, so that tests can link those without the flags.

#include "tool/CommandLine.h"
#include <map>
#include <string>

namespace limpetpond::tool {

/// Parses the command line by Abseil flags, with the environment for what no flag gives.
/// Hyphens and underscores in flag names are the same. Errors: InvalidSetting.
///
///     Result<ToolCommand> command = parseToolCommand(argc, argv, { { "LIMPETPOND_INSTANCES", "127.0.0.1:9090" } });
Result<ToolCommand> parseToolCommand(int argc, char** argv, const std::map<std::string, std::string>& environment);

} // namespace limpetpond::tool
