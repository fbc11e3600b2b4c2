#include "tool/Commands.h"

#include "core/SettingsTree.h"
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>

namespace limpetpond::tool {

namespace detail {

    namespace {

        namespace json = boost::json;

        boost::leaf::error_id usageError(std::string detail)
        {
            return boost::leaf::new_error(UsageError { .detail = std::move(detail) });
        }

        /// The time in UTC, to the second; `-` for 0.
        std::string timeText(std::int64_t milliseconds)
        {
            if (!milliseconds)
                return "-";
            std::time_t seconds = milliseconds / 1'000;
            std::tm parts {};
            gmtime_r(&seconds, &parts);
            char text[32];
            std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%SZ", &parts);
            return text;
        }

        Result<SettingsTree> readTree(CommandContext& context, const std::string& path)
        {
            BOOST_LEAF_AUTO(text, context.client.tree(path));
            return treeFromJson(text);
        }

        /// The version that an edit is based on: --read-version, else the branch's current version, which is 0 if the
        /// branch doesn't exist. Errors: those of OperatorClient.
        Result<std::int64_t> branchVersion(CommandContext& context, const std::string& path)
        {
            if (context.options.readVersion)
                return *context.options.readVersion;
            std::optional<rpc::OperatorRefused> refused;
            Result<SettingsTree> tree = boost::leaf::try_handle_some(
                [&] { return readTree(context, path); },
                [&](const rpc::OperatorRefused& error) -> Result<SettingsTree> {
                    refused = error;
                    return SettingsTree();
                });
            if (!tree)
                return tree.error();
            if (refused && refused->code != "not_found")
                return boost::leaf::new_error(*refused);
            auto branch = tree->branches.find(path);
            return branch == tree->branches.end() ? 0 : static_cast<std::int64_t>(branch->second.version.value());
        }

        bool isListType(FieldType type)
        {
            return type == FieldType::NameList || type == FieldType::MethodList || type == FieldType::PathList || type == FieldType::HashList;
        }

        bool isNumberType(FieldType type)
        {
            return type == FieldType::Count || type == FieldType::Share || type == FieldType::Flag;
        }

        json::array splitToJson(const std::string& text)
        {
            json::array list;
            std::stringstream stream(text);
            for (std::string item; std::getline(stream, item, ',');)
                list.emplace_back(item);
            return list;
        }

        /// Converts a value from the command line to JSON. 30s, 64, a,b and ["a","b"] need no quotes.
        std::string jsonFromArgument(const std::string& path, const std::string& field, const std::string& text)
        {
            json::error_code error;
            json::value parsed = json::parse(text, error);
            std::optional<BranchKind> kind = kindOfPath(path);
            const FieldSchema* schema = kind ? findField(*kind, field) : nullptr;
            if (!error && (!schema || isNumberType(schema->type) || parsed.is_string() || parsed.is_array()))
                return text;
            if (schema && isListType(schema->type))
                return json::serialize(splitToJson(text));
            return json::serialize(json::value(text));
        }

        Result<ExitCode> sendChange(CommandContext& context, std::vector<rpc::Edit> edits)
        {
            rpc::ChangeRequest request = makeChange(context.options, std::move(edits));
            BOOST_LEAF_AUTO(reply, context.client.change(request));
            printChange(context, request, reply);
            return ExitCode::Done;
        }

        Result<ExitCode> set(CommandContext& context, const std::vector<std::string>& arguments)
        {
            if (arguments.size() < 2)
                return usageError("settings set needs PATH FIELD=VALUE...");
            const std::string& path = arguments.front();
            BOOST_LEAF_AUTO(version, branchVersion(context, path));
            std::vector<rpc::Edit> edits;
            for (std::size_t i = 1; i < arguments.size(); ++i) {
                auto equals = arguments[i].find('=');
                if (equals == std::string::npos || !equals)
                    return usageError("settings set: \"" + arguments[i] + "\" is not FIELD=VALUE");
                rpc::Edit edit;
                edit.path = path;
                edit.field = arguments[i].substr(0, equals);
                edit.value = jsonFromArgument(path, edit.field, arguments[i].substr(equals + 1));
                edit.readVersion = version;
                edits.push_back(std::move(edit));
            }
            return sendChange(context, std::move(edits));
        }

        Result<ExitCode> unset(CommandContext& context, const std::vector<std::string>& arguments)
        {
            if (arguments.empty())
                return usageError("settings unset needs PATH [FIELD...]");
            const std::string& path = arguments.front();
            BOOST_LEAF_AUTO(version, branchVersion(context, path));
            std::vector<std::string> fields(arguments.begin() + 1, arguments.end());
            if (fields.empty())
                fields.emplace_back();
            std::vector<rpc::Edit> edits;
            for (const std::string& field : fields) {
                rpc::Edit edit;
                edit.path = path;
                edit.field = field;
                edit.readVersion = version;
                edits.push_back(std::move(edit));
            }
            return sendChange(context, std::move(edits));
        }

        void printBranch(std::ostream& out, const std::string& path, const Branch& branch)
        {
            out << path << "  (version " << branch.version.value() << ")\n";
            for (const auto& [name, stored] : branch.fields)
                out << "  " << name << " = " << valueToJson(stored.value) << "\n";
        }

        Result<ExitCode> getField(CommandContext& context, const std::string& path, const std::string& field)
        {
            BOOST_LEAF_AUTO(values, context.client.explain(path));
            for (const rpc::ExplainedValue& value : values) {
                if (value.field != field)
                    continue;
                context.out << value.value << "\n";
                return ExitCode::Done;
            }
            return boost::leaf::new_error(InvalidSetting { .name = path + " " + field, .value = "", .allowed = "a field of the branch; see limpetpond settings schema" });
        }

        Result<ExitCode> get(CommandContext& context, const std::vector<std::string>& arguments)
        {
            if (arguments.size() > 2)
                return usageError("settings get takes [PATH [FIELD]]");
            if (arguments.size() == 2)
                return getField(context, arguments[0], arguments[1]);
            BOOST_LEAF_AUTO(text, context.client.tree(arguments.empty() ? "" : arguments[0]));
            if (context.options.json) {
                context.out << text << "\n";
                return ExitCode::Done;
            }
            BOOST_LEAF_AUTO(tree, treeFromJson(text));
            context.out << "# version " << tree.version.value() << "\n";
            for (const auto& [path, branch] : tree.branches)
                printBranch(context.out, path, branch);
            return ExitCode::Done;
        }

        json::object toJson(const rpc::ExplainedValue& value)
        {
            return { { "path", value.path }, { "field", value.field }, { "value", json::parse(value.value) }, { "inheritedFrom", value.inheritedFrom }, { "version", value.version }, { "author", value.author }, { "acceptedAtMs", value.acceptedAtMs } };
        }

        std::string originText(const rpc::ExplainedValue& value)
        {
            if (value.inheritedFrom.empty())
                return "default";
            return value.inheritedFrom + ", version " + std::to_string(value.version) + " by " + value.author + " at " + timeText(value.acceptedAtMs);
        }

        Result<ExitCode> explain(CommandContext& context, const std::vector<std::string>& arguments)
        {
            if (arguments.size() > 1)
                return usageError("settings explain takes [PATH]");
            BOOST_LEAF_AUTO(values, context.client.explain(arguments.empty() ? "" : arguments[0]));
            json::array list;
            std::string path;
            for (const rpc::ExplainedValue& value : values) {
                if (context.options.json) {
                    list.push_back(toJson(value));
                    continue;
                }
                if (value.path != path)
                    context.out << value.path << "\n";
                path = value.path;
                context.out << "  " << value.field << " = " << value.value << "\n      from " << originText(value) << "\n";
            }
            if (context.options.json)
                context.out << json::serialize(list) << "\n";
            return ExitCode::Done;
        }

        Result<ExitCode> history(CommandContext& context, const std::vector<std::string>& arguments)
        {
            if (!arguments.empty())
                return usageError("settings history takes no arguments");
            BOOST_LEAF_AUTO(changes, context.client.history(context.options.after));
            json::array list;
            for (const rpc::SettingsChange& change : changes) {
                if (context.options.json) {
                    list.push_back(json::object { { "version", change.version }, { "changeId", change.changeId }, { "author", change.author }, { "acceptedAtMs", change.acceptedAtMs }, { "edits", json::parse(change.body) } });
                    continue;
                }
                context.out << change.version << "  " << timeText(change.acceptedAtMs) << "  " << change.author << "  " << change.changeId << "\n";
                BOOST_LEAF_AUTO(edits, editsFromJson(change.body));
                for (const SettingsEdit& edit : edits)
                    context.out << "    " << edit.path << (edit.field.empty() ? "" : " " + edit.field) << (edit.value ? " = " + json::serialize(*edit.value) : " removed") << "\n";
            }
            if (context.options.json)
                context.out << json::serialize(list) << "\n";
            return ExitCode::Done;
        }

        Result<std::string> readFile(const std::string& name)
        {
            std::ifstream file(name);
            std::stringstream text;
            if (name == "-")
                text << std::cin.rdbuf();
            else if (!file)
                return boost::leaf::new_error(InvalidSetting { .name = "file", .value = name, .allowed = "a file that can be read" });
            else
                text << file.rdbuf();
            return text.str();
        }

        Result<std::vector<rpc::Edit>> importEditsOf(CommandContext& context, const std::string& file)
        {
            BOOST_LEAF_AUTO(text, readFile(file));
            BOOST_LEAF_AUTO(tree, readTree(context, ""));
            ImportScope scope = context.options.replace ? ImportScope::WholeTree : ImportScope::ListedBranches;
            BOOST_LEAF_AUTO(edits, importEdits(tree, text, scope));
            std::vector<rpc::Edit> rpcEdits;
            for (const SettingsEdit& edit : edits) {
                rpc::Edit rpcEdit;
                rpcEdit.path = edit.path;
                rpcEdit.value = edit.value ? json::serialize(*edit.value) : "";
                rpcEdit.readVersion = static_cast<std::int64_t>(edit.readVersion->value());
                rpcEdits.push_back(std::move(rpcEdit));
            }
            return rpcEdits;
        }

        Result<ExitCode> import(CommandContext& context, const std::vector<std::string>& arguments)
        {
            if (arguments.size() != 1)
                return usageError("settings import needs FILE, or - for the standard input");
            BOOST_LEAF_AUTO(edits, importEditsOf(context, arguments[0]));
            if (edits.empty()) {
                context.out << "nothing to change\n";
                return ExitCode::Done;
            }
            return sendChange(context, std::move(edits));
        }

        Result<ExitCode> exportTree(CommandContext& context, const std::vector<std::string>& arguments)
        {
            if (arguments.size() > 1)
                return usageError("settings export takes [PATH]");
            BOOST_LEAF_AUTO(tree, readTree(context, arguments.empty() ? "" : arguments[0]));
            std::string text = exportBranches(tree, "") + "\n";
            if (context.options.output.empty()) {
                context.out << text;
                return ExitCode::Done;
            }
            std::ofstream file(context.options.output);
            file << text;
            if (!file.flush())
                return boost::leaf::new_error(InvalidSetting { .name = "--output", .value = context.options.output, .allowed = "a file that can be written" });
            return ExitCode::Done;
        }

        std::string textOrNone(const std::optional<json::value>& value)
        {
            return value ? valueToJson(*value) : "(none)";
        }

        void printEffects(std::ostream& out, const std::vector<SettingsEffect>& list)
        {
            for (const SettingsEffect& effect : list)
                out << "  " << effect.path << " " << effect.field << ": " << textOrNone(effect.before) << " -> " << textOrNone(effect.after) << "\n";
        }

        std::optional<std::uint64_t> parseVersion(const std::string& text)
        {
            std::uint64_t number = 0;
            auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
            if (error != std::errc() || end != text.data() + text.size())
                return std::nullopt;
            return number;
        }

        /// The tree at a version, made by replaying all changes up to it. Errors: InvalidSetting for a version that doesn't exist.
        Result<SettingsTree> treeAt(const std::vector<rpc::SettingsChange>& changes, std::uint64_t version)
        {
            SettingsTree tree;
            for (const rpc::SettingsChange& rpcChange : changes) {
                if (static_cast<std::uint64_t>(rpcChange.version) > version)
                    break;
                BOOST_LEAF_AUTO(edits, editsFromJson(rpcChange.body));
                AcceptedChange change { .version = SettingsVersion(static_cast<std::uint64_t>(rpcChange.version)), .edits = std::move(edits) };
                tree = replayChange(tree, change);
            }
            if (tree.version.value() != version)
                return boost::leaf::new_error(InvalidSetting { .name = "version", .value = std::to_string(version), .allowed = "a version from 0 to " + std::to_string(tree.version.value()) });
            return tree;
        }

        Result<ExitCode> diffVersions(CommandContext& context, std::uint64_t from, std::uint64_t to)
        {
            BOOST_LEAF_AUTO(changes, context.client.history(0));
            BOOST_LEAF_AUTO(before, treeAt(changes, from));
            BOOST_LEAF_AUTO(after, treeAt(changes, to));
            printEffects(context.out, effects(before, after));
            return ExitCode::Done;
        }

        Result<ExitCode> diff(CommandContext& context, const std::vector<std::string>& arguments)
        {
            if (arguments.size() == 2 && parseVersion(arguments[0]) && parseVersion(arguments[1]))
                return diffVersions(context, *parseVersion(arguments[0]), *parseVersion(arguments[1]));
            if (arguments.size() != 1)
                return usageError("settings diff needs FILE, or two versions");
            BOOST_LEAF_AUTO(edits, importEditsOf(context, arguments[0]));
            if (edits.empty())
                return ExitCode::Done;
            rpc::ChangeRequest request = makeChange(context.options, std::move(edits));
            request.dryRun = true;
            BOOST_LEAF_AUTO(reply, context.client.change(request));
            printChange(context, request, reply);
            return ExitCode::Done;
        }

    } // namespace

} // namespace detail

rpc::ChangeRequest makeChange(const ToolOptions& options, std::vector<rpc::Edit> edits)
{
    rpc::ChangeRequest request;
    request.changeId = options.changeId.empty() ? newChangeId() : options.changeId;
    request.author = options.author;
    request.edits = std::move(edits);
    request.dryRun = options.dryRun;
    return request;
}

void printChange(CommandContext& context, const rpc::ChangeRequest& request, const rpc::ChangeReply& reply)
{
    if (context.options.json) {
        boost::json::array effects;
        for (const rpc::ChangeEffect& effect : reply.effects)
            effects.push_back(boost::json::object { { "path", effect.path }, { "field", effect.field }, { "before", effect.before }, { "after", effect.after } });
        context.out << boost::json::serialize(boost::json::object { { "version", reply.version }, { "changeId", request.changeId }, { "dryRun", request.dryRun }, { "effects", std::move(effects) } }) << "\n";
        return;
    }
    if (request.dryRun)
        context.out << "would change:\n";
    else
        context.out << "accepted as version " << reply.version << "\n";
    for (const rpc::ChangeEffect& effect : reply.effects)
        context.out << "  " << effect.path << " " << effect.field << ": " << (effect.before.empty() ? "(none)" : effect.before) << " -> " << (effect.after.empty() ? "(none)" : effect.after) << "\n";
}

namespace detail {

    static Result<ExitCode> raiseStore(CommandContext& context, const std::vector<std::string>& arguments)
    {
        if (!arguments.empty())
            return usageError("settings raise-store takes no arguments");
        rpc::ChangeRequest request = makeChange(context.options, {});
        BOOST_LEAF_AUTO(reply, context.client.raiseStore(request.changeId));
        printChange(context, request, reply);
        return ExitCode::Done;
    }

} // namespace detail

Result<ExitCode> runSettings(CommandContext& context, const std::vector<std::string>& arguments)
{
    if (arguments.empty())
        return detail::usageError("settings needs a command; see limpetpond settings --help");
    std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
    const std::string& command = arguments.front();
    if (command == "get")
        return detail::get(context, rest);
    if (command == "set")
        return detail::set(context, rest);
    if (command == "unset")
        return detail::unset(context, rest);
    if (command == "diff")
        return detail::diff(context, rest);
    if (command == "history")
        return detail::history(context, rest);
    if (command == "explain")
        return detail::explain(context, rest);
    if (command == "export")
        return detail::exportTree(context, rest);
    if (command == "import")
        return detail::import(context, rest);
    if (command == "raise-store")
        return detail::raiseStore(context, rest);
    if (command == "schema") {
        context.out << schemaAsMarkdown();
        return ExitCode::Done;
    }
    return detail::usageError("settings has no command \"" + command + "\"; see limpetpond settings --help");
}

} // namespace limpetpond::tool
