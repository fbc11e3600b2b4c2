#include "tool/Commands.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace limpetpond::tool {

namespace detail {

    namespace {

        Result<ExitCode> runCommand(CommandContext& context, const std::vector<std::string>& arguments)
        {
            if (arguments.empty())
                return boost::leaf::new_error(UsageError { .detail = "a command is needed; see limpetpond --help" });
            std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
            if (arguments.front() == "settings")
                return runSettings(context, rest);
            if (arguments.front() == "target")
                return runTarget(context, rest);
            if (arguments.front() == "explain")
                return runExplain(context, rest);
            bool isView = arguments.front() == "status" || arguments.front() == "timeline";
            if (isView && !rest.empty())
                return boost::leaf::new_error(UsageError { .detail = arguments.front() + " takes no arguments" });
            if (arguments.front() == "status")
                return runStatus(context);
            if (arguments.front() == "timeline")
                return runTimeline(context);
            return boost::leaf::new_error(UsageError { .detail = "there is no command \"" + arguments.front() + "\"; see limpetpond --help" });
        }

        ExitCode reportFailure(const CommandContext& context, std::ostream& errors, ExitCode code, const std::string& kind, const std::string& detail)
        {
            if (context.options.json)
                context.out << boost::json::serialize(boost::json::object { { "error", kind }, { "detail", detail } }) << "\n";
            errors << "limpetpond: " << kind << ": " << detail << "\n";
            return code;
        }

        ExitCode reportRefusal(const CommandContext& context, std::ostream& errors, const rpc::OperatorRefused& refused)
        {
            ExitCode code = refused.code == "conflict" ? ExitCode::Conflict : refused.code == "unknown_outcome" ? ExitCode::Unknown
                                                                                                                : ExitCode::Refused;
            reportFailure(context, errors, code, refused.code, refused.detail);
            if (refused.code == "conflict")
                errors << "  the branch is now " << refused.currentValue << "\n";
            return code;
        }

    } // namespace

} // namespace detail

int runTool(const ToolCommand& command, std::ostream& out, std::ostream& errors)
{
    OperatorClient client(command.options);
    CommandContext context { command.options, client, out };
    ExitCode code = boost::leaf::try_handle_all(
        [&] { return detail::runCommand(context, command.arguments); },
        [&](const UsageError& error) { return detail::reportFailure(context, errors, ExitCode::Usage, "usage", error.detail); },
        [&](const InvalidSetting& error) { return detail::reportFailure(context, errors, ExitCode::Usage, "invalid_setting", error.name + ": " + error.value + " is refused; allowed is " + error.allowed); },
        [&](const rpc::OperatorRefused& refused) { return detail::reportRefusal(context, errors, refused); },
        [&](const ChangeOutcomeUnknown& unknown) { return detail::reportFailure(context, errors, ExitCode::Unknown, "unknown_outcome", unknown.detail + "; repeat with --change-id " + unknown.changeId); },
        [&](const Unreachable& unreachable) { return detail::reportFailure(context, errors, ExitCode::Unreachable, "unreachable", unreachable.detail); },
        [&] { return detail::reportFailure(context, errors, ExitCode::Refused, "failed", "an unknown failure"); });
    return static_cast<int>(code);
}

} // namespace limpetpond::tool
