#include "tool/Commands.h"

#include "core/SettingsTree.h"
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <iomanip>
#include <thread>

namespace limpetpond::tool {

namespace detail {

    namespace {

        boost::leaf::error_id usageError(std::string detail)
        {
            return boost::leaf::new_error(UsageError { .detail = std::move(detail) });
        }

        std::string joinNames(const std::vector<std::string>& names)
        {
            std::string text;
            for (const std::string& name : names)
                text += (text.empty() ? "" : ", ") + name;
            return text;
        }

        boost::json::object toJson(const rpc::TargetStatus& status)
        {
            boost::json::array missing;
            for (const std::string& instance : status.notConfirmed)
                missing.emplace_back(instance);
            return { { "target", status.target }, { "pool", status.pool }, { "mark", status.mark }, { "requestsInProgress", status.requestsInProgress }, { "tokensInProgress", status.tokensInProgress }, { "notConfirmed", std::move(missing) }, { "detail", status.detail } };
        }

        void print(CommandContext& context, const rpc::TargetStatus& status)
        {
            if (context.options.json) {
                context.out << boost::json::serialize(toJson(status)) << "\n";
                return;
            }
            context.out << status.target << ": " << status.mark << ", " << status.requestsInProgress << " requests and " << status.tokensInProgress << " tokens in progress";
            if (!status.notConfirmed.empty())
                context.out << "; not confirmed by " << joinNames(status.notConfirmed);
            context.out << "; " << status.detail << "\n";
        }

        /// Waits until the target is empty and prints its status when that changes. Exit code 1 if --timeout passes first.
        Result<ExitCode> waitUntilEmpty(CommandContext& context, const std::string& target)
        {
            auto deadline = std::chrono::steady_clock::now() + context.options.timeout;
            std::string printed;
            while (true) {
                BOOST_LEAF_AUTO(status, context.client.targetStatus(target));
                std::string progress = status.mark + status.detail + std::to_string(status.requestsInProgress);
                if (progress != printed)
                    print(context, status);
                printed = progress;
                context.out.flush();
                if (status.mark == "empty")
                    return ExitCode::Done;
                if (std::chrono::steady_clock::now() >= deadline) {
                    context.out << target << " is not empty after the time of --timeout; it stays marked as leaving\n";
                    return ExitCode::Refused;
                }
                std::this_thread::sleep_for(context.options.period);
            }
        }

        Result<ExitCode> setMark(CommandContext& context, const std::string& target, const std::string& value)
        {
            // Reading the branch fails for a target that doesn't exist, so that the mark can't create its branch.
            BOOST_LEAF_AUTO(text, context.client.tree(branchPath(BranchKind::Target, target)));
            BOOST_LEAF_AUTO(tree, treeFromJson(text));
            rpc::Edit edit;
            edit.path = branchPath(BranchKind::Target, target);
            edit.field = "mark";
            edit.value = "\"" + value + "\"";
            edit.readVersion = static_cast<std::int64_t>(tree.branches.at(edit.path).version.value());
            rpc::ChangeRequest request = makeChange(context.options, { edit });
            BOOST_LEAF_AUTO(reply, context.client.change(request));
            printChange(context, request, reply);
            return ExitCode::Done;
        }

        Result<ExitCode> leave(CommandContext& context, const std::string& target)
        {
            BOOST_LEAF_AUTO(code, setMark(context, target, "leaving"));
            if (code != ExitCode::Done || !context.options.wait)
                return code;
            return waitUntilEmpty(context, target);
        }

        Result<ExitCode> printAll(CommandContext& context)
        {
            BOOST_LEAF_AUTO(text, context.client.tree("target"));
            BOOST_LEAF_AUTO(tree, treeFromJson(text));
            for (const auto& [path, branch] : tree.branches) {
                BOOST_LEAF_AUTO(status, context.client.targetStatus(path.substr(path.find('/') + 1)));
                print(context, status);
            }
            return ExitCode::Done;
        }

    } // namespace

} // namespace detail

Result<ExitCode> runTarget(CommandContext& context, const std::vector<std::string>& arguments)
{
    if (arguments.empty())
        return detail::usageError("target needs a command; see limpetpond target --help");
    const std::string& command = arguments.front();
    if (command == "status" && arguments.size() == 1)
        return detail::printAll(context);
    if (arguments.size() != 2)
        return detail::usageError("target " + command + " needs one NAME");
    const std::string& target = arguments[1];
    if (!isValidName(target))
        return detail::usageError("\"" + target + "\" is not a valid target name");
    if (command == "leave")
        return detail::leave(context, target);
    if (command == "return")
        return detail::setMark(context, target, "serving");
    if (command != "status")
        return detail::usageError("target has no command \"" + command + "\"; see limpetpond target --help");
    BOOST_LEAF_AUTO(status, context.client.targetStatus(target));
    detail::print(context, status);
    return ExitCode::Done;
}

} // namespace limpetpond::tool
