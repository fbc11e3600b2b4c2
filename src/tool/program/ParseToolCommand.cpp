#include "tool/program/ParseToolCommand.h"

#include "core/SettingsSchema.h"
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <algorithm>
#include <charconv>
#include <fstream>

ABSL_FLAG(std::string, instances, "", "instances to ask, as IP:PORT,IP:PORT (LIMPETPOND_INSTANCES)");
ABSL_FLAG(std::string, operator_secret, "", "the operators' secret (LIMPETPOND_OPERATOR_SECRET)");
ABSL_FLAG(std::string, operator_secret_file, "", "a file whose first line is the secret (LIMPETPOND_OPERATOR_SECRET_FILE)");
ABSL_FLAG(std::string, author, "", "who makes the change; USER when not given");
ABSL_FLAG(std::string, change_id, "", "the id of the change; give the same one to repeat a change whose outcome is unknown");
ABSL_FLAG(std::int64_t, read_version, -1, "the version of the branch that the edit is based on; read now when not given");
ABSL_FLAG(std::int64_t, after, 0, "only what came after this version or sequence number");
ABSL_FLAG(std::string, request, "", "only events of this request");
ABSL_FLAG(std::string, target, "", "only events of this target");
ABSL_FLAG(std::string, instance, "", "only events of this instance");
ABSL_FLAG(std::string, output, "", "the file to write; the standard output when not given");
ABSL_FLAG(std::string, timeout, "10m", "how long to wait, in ms, s, m or h");
ABSL_FLAG(std::string, period, "1s", "between two looks, in ms, s, m or h");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(bool, dry_run, false, "show what would change, and change nothing");
ABSL_FLAG(bool, wait, false, "wait until it is done");
ABSL_FLAG(bool, watch, false, "show again and again until interrupted");
ABSL_FLAG(bool, replace, false, "also remove what the file doesn't name");
ABSL_FLAG(bool, html, false, "print a self-contained HTML page");
ABSL_FLAG(bool, chrome_trace, false, "print Chrome trace JSON");

namespace limpetpond::tool {

namespace detail {

    namespace {

        using TextMap = std::map<std::string, std::string>;

        boost::leaf::error_id invalid(std::string name, std::string value, std::string allowed)
        {
            return boost::leaf::new_error(InvalidSetting { .name = std::move(name), .value = std::move(value), .allowed = std::move(allowed) });
        }

        std::string valueOr(const TextMap& map, const std::string& name, const std::string& fallback)
        {
            auto found = map.find(name);
            return found == map.end() ? fallback : found->second;
        }

        bool isBooleanFlag(const std::string& name)
        {
            const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
            return flag && flag->IsOfType<bool>();
        }

        /// Rewrites flags as `--name=value` with underscores in the name, for Abseil, and sets `help` and `version`.
        /// Errors: InvalidSetting for an unknown flag or a missing value.
        Result<std::vector<std::string>> normalizedArguments(int argc, char** argv, ToolCommand& command)
        {
            std::vector<std::string> arguments { argc ? argv[0] : "limpetpond" };
            for (int i = 1; i < argc; ++i) {
                std::string argument = argv[i];
                if (argument == "--help" || argument == "-h") {
                    command.help = true;
                    continue;
                }
                if (argument == "--version") {
                    command.version = true;
                    continue;
                }
                if (!argument.starts_with("--") || argument == "--") {
                    arguments.push_back(argument);
                    continue;
                }
                auto equals = argument.find('=');
                std::string name = argument.substr(2, equals == std::string::npos ? equals : equals - 2);
                std::ranges::replace(name, '-', '_');
                if (!isToolFlag(name))
                    return invalid("--" + name, argument, "a flag that limpetpond --help lists");
                bool hasValue = equals != std::string::npos;
                if (!hasValue && !isBooleanFlag(name)) {
                    if (i + 1 == argc)
                        return invalid("--" + name, "", "a value after the flag");
                    arguments.push_back("--" + name + "=" + argv[++i]);
                    continue;
                }
                std::string value = hasValue ? argument.substr(equals + 1) : "true";
                if (isBooleanFlag(name) && value != "true" && value != "false")
                    return invalid("--" + name, value, "true or false");
                std::string flag = "--" + name;
                flag.append("=").append(value);
                arguments.push_back(std::move(flag));
            }
            return arguments;
        }

        Result<std::chrono::milliseconds> parseDurationFlag(const std::string& name, const std::string& text)
        {
            std::optional<double> amount = toBaseUnits(FieldType::Duration, boost::json::value(text));
            if (!amount || *amount < 1)
                return invalid("--" + name, text, "a duration of at least 1ms, in ms, s, m or h");
            return std::chrono::milliseconds(static_cast<std::int64_t>(*amount));
        }

        Result<void> checkWholeNumber(const std::vector<std::string>& arguments, const std::string& name)
        {
            const std::string prefix = "--" + name + "=";
            for (const std::string& argument : arguments) {
                if (!argument.starts_with(prefix))
                    continue;
                std::string_view text = std::string_view(argument).substr(prefix.size());
                std::int64_t number = 0;
                auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
                if (error != std::errc() || end != text.data() + text.size() || number < 0)
                    return invalid("--" + name, std::string(text), "a whole number, 0 or more");
            }
            return {};
        }

        Result<std::string> readSecret(const TextMap& environment)
        {
            std::string secret = absl::GetFlag(FLAGS_operator_secret);
            if (secret.empty())
                secret = valueOr(environment, "LIMPETPOND_OPERATOR_SECRET", "");
            std::string file = absl::GetFlag(FLAGS_operator_secret_file);
            if (file.empty() && secret.empty())
                file = valueOr(environment, "LIMPETPOND_OPERATOR_SECRET_FILE", "");
            if (file.empty())
                return secret;
            std::ifstream stream(file);
            if (!std::getline(stream, secret))
                return invalid("--operator_secret_file", file, "a file that can be read and is not empty");
            return secret;
        }

        Result<ToolOptions> collectOptions(const TextMap& environment)
        {
            ToolOptions options;
            std::string instances = absl::GetFlag(FLAGS_instances);
            bool isFromFlag = !instances.empty();
            if (!isFromFlag)
                instances = valueOr(environment, "LIMPETPOND_INSTANCES", "127.0.0.1:9090");
            BOOST_LEAF_ASSIGN(options.instances, parseAddresses(isFromFlag ? "--instances" : "LIMPETPOND_INSTANCES", instances));
            BOOST_LEAF_ASSIGN(options.secret, readSecret(environment));
            BOOST_LEAF_ASSIGN(options.timeout, parseDurationFlag("timeout", absl::GetFlag(FLAGS_timeout)));
            BOOST_LEAF_ASSIGN(options.period, parseDurationFlag("period", absl::GetFlag(FLAGS_period)));
            options.author = absl::GetFlag(FLAGS_author);
            if (options.author.empty())
                options.author = valueOr(environment, "USER", "operator");
            options.changeId = absl::GetFlag(FLAGS_change_id);
            if (absl::GetFlag(FLAGS_read_version) >= 0)
                options.readVersion = absl::GetFlag(FLAGS_read_version);
            options.after = absl::GetFlag(FLAGS_after);
            options.request = absl::GetFlag(FLAGS_request);
            options.target = absl::GetFlag(FLAGS_target);
            options.instance = absl::GetFlag(FLAGS_instance);
            options.output = absl::GetFlag(FLAGS_output);
            options.json = absl::GetFlag(FLAGS_json);
            options.dryRun = absl::GetFlag(FLAGS_dry_run);
            options.wait = absl::GetFlag(FLAGS_wait);
            options.watch = absl::GetFlag(FLAGS_watch);
            options.replace = absl::GetFlag(FLAGS_replace);
            options.html = absl::GetFlag(FLAGS_html);
            options.chromeTrace = absl::GetFlag(FLAGS_chrome_trace);
            return options;
        }

    } // namespace

} // namespace detail

Result<ToolCommand> parseToolCommand(int argc, char** argv, const std::map<std::string, std::string>& environment)
{
    ToolCommand command;
    BOOST_LEAF_AUTO(arguments, detail::normalizedArguments(argc, argv, command));
    BOOST_LEAF_CHECK(detail::checkWholeNumber(arguments, "read_version"));
    BOOST_LEAF_CHECK(detail::checkWholeNumber(arguments, "after"));
    std::vector<char*> pointers;
    pointers.reserve(arguments.size());
    for (std::string& argument : arguments)
        pointers.push_back(argument.data());
    std::vector<char*> positional = absl::ParseCommandLine(static_cast<int>(pointers.size()), pointers.data());
    command.arguments.assign(positional.begin() + 1, positional.end());
    if (command.help || command.version)
        return command;
    BOOST_LEAF_ASSIGN(command.options, detail::collectOptions(environment));
    return command;
}

} // namespace limpetpond::tool
