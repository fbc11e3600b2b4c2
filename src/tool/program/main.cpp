/// The operators' command-line tool.

#include "tool/Commands.h"
#include "tool/program/ParseToolCommand.h"

#include <iostream>
#include <thrift/TOutput.h>

extern char** environ;

namespace {

std::map<std::string, std::string> environmentVariables()
{
    std::map<std::string, std::string> variables;
    for (char** entry = environ; entry && *entry; ++entry) {
        std::string_view text = *entry;
        auto equals = text.find('=');
        if (equals != std::string_view::npos)
            variables.emplace(text.substr(0, equals), text.substr(equals + 1));
    }
    return variables;
}

int runOrPrintHelp(const limpetpond::tool::ToolCommand& command)
{
    using namespace limpetpond::tool;
    if (command.version) {
        std::cout << "limpetpond " LIMPETPOND_VERSION "\n";
        return static_cast<int>(ExitCode::Done);
    }
    if (!command.help)
        return runTool(command, std::cout, std::cerr);
    std::string help = helpText(command.arguments);
    if (help.empty()) {
        std::cerr << "limpetpond: usage: there is no such command; see limpetpond --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
    std::cout << help;
    return static_cast<int>(ExitCode::Done);
}

} // namespace

int main(int argc, char** argv)
{
    using namespace limpetpond;
    // Thrift would also print connection failures, which the commands report.
    apache::thrift::GlobalOutput.setOutputFunction([](const char*) {});
    return boost::leaf::try_handle_all(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(command, tool::parseToolCommand(argc, argv, environmentVariables()));
            return runOrPrintHelp(command);
        },
        [](const InvalidSetting& error) {
            std::cerr << "limpetpond: " << error.name << ": \"" << error.value << "\" is refused; allowed is " << error.allowed << "\n";
            return static_cast<int>(tool::ExitCode::Usage);
        },
        [] {
            std::cerr << "limpetpond: an unknown failure\n";
            return static_cast<int>(tool::ExitCode::Refused);
        });
}
