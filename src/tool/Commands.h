#pragma once

/// The commands of the tool. Each prints its result and returns the exit code.

#include "tool/CommandLine.h"
#include "tool/OperatorClient.h"
#include <ostream>
#include <string>
#include <vector>

namespace limpetpond::tool {

/// The options, client and output of a command.
struct CommandContext {
    const ToolOptions& options;
    OperatorClient& client;
    std::ostream& out;
};

/// Invalid arguments of a command.
struct UsageError {
    std::string detail;
};

/// `settings ...`; `arguments` are those after the command's name. Errors: UsageError, InvalidSetting and those of OperatorClient.
Result<ExitCode> runSettings(CommandContext&, const std::vector<std::string>& arguments);

/// `target ...`.
Result<ExitCode> runTarget(CommandContext&, const std::vector<std::string>& arguments);

/// `status`.
Result<ExitCode> runStatus(CommandContext&);

/// `timeline`.
Result<ExitCode> runTimeline(CommandContext&);

/// `explain REQUEST FILE...`. Errors: UsageError.
Result<ExitCode> runExplain(CommandContext&, const std::vector<std::string>& arguments);

/// Runs a parsed command, prints a failure to `errors` and returns the exit code.
///
///     return runTool(command, std::cout, std::cerr);
int runTool(const ToolCommand&, std::ostream& out, std::ostream& errors);

/// Makes a change request with the change id of the options, or with a new one.
rpc::ChangeRequest makeChange(const ToolOptions&, std::vector<rpc::Edit>);

/// Prints the version and effects of a change.
void printChange(CommandContext&, const rpc::ChangeRequest&, const rpc::ChangeReply&);

} // namespace limpetpond::tool
