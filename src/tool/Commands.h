#pragma once

/// The commands of the tool. Each returns an exit code and prints its result.

#include "tool/CommandLine.h"
#include "tool/OperatorClient.h"
#include <ostream>
#include <string>
#include <vector>

namespace limpetpond::tool {

/// What a command works with.
struct CommandContext {
    const ToolOptions& options;
    OperatorClient& client;
    std::ostream& out;
};

/// Wrong arguments of a command.
struct UsageError {
    std::string detail;
};

/// `settings ...`; `arguments` are those after `settings`. Errors: UsageError, InvalidSetting and those of OperatorClient.
Result<ExitCode> runSettings(CommandContext&, const std::vector<std::string>& arguments);

/// `target ...`.
Result<ExitCode> runTarget(CommandContext&, const std::vector<std::string>& arguments);

/// `status`.
Result<ExitCode> runStatus(CommandContext&);

/// `timeline`.
Result<ExitCode> runTimeline(CommandContext&);

/// `explain REQUEST FILE...`. Errors: UsageError.
Result<ExitCode> runExplain(CommandContext&, const std::vector<std::string>& arguments);

/// Runs a parsed command and prints failures, one line each, to `errors`.
///
///     return runTool(command, std::cout, std::cerr);
int runTool(const ToolCommand&, std::ostream& out, std::ostream& errors);

/// Makes a change request with the options' change id, or a new one.
rpc::ChangeRequest makeChange(const ToolOptions&, std::vector<rpc::Edit>);

/// Prints what a change did.
void printChange(CommandContext&, const rpc::ChangeRequest&, const rpc::ChangeReply&);

} // namespace limpetpond::tool
