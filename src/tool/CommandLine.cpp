#include "tool/CommandLine.h"

#include <absl/flags/reflection.h>
#include <algorithm>
#include <array>
#include <charconv>

namespace limpetpond::tool {

namespace detail {

    namespace {

        constexpr std::array commonFlags { "instances", "operator_secret", "operator_secret_file", "json" };

        struct CommandHelp {
            std::string_view name; ///< Such as `settings set`.
            std::string_view arguments;
            std::string_view summary;
            std::string_view flags; ///< Separated by spaces.
            std::string_view example;
        };

        constexpr std::array commands {
            CommandHelp { "settings get", "[PATH [FIELD]]", "print the values set at a branch, or the value in force of one field", "", "limpetpond settings get pool/drafts maxWait" },
            CommandHelp { "settings set", "PATH FIELD=VALUE...", "set fields of a branch, in one change", "dry_run author change_id read_version", "limpetpond settings set pool/drafts maxWait=30s maxWaiting=200" },
            CommandHelp { "settings unset", "PATH [FIELD...]", "remove fields, so that inherited values count, or the whole branch", "dry_run author change_id read_version", "limpetpond settings unset pool/drafts maxWait" },
            CommandHelp { "settings diff", "FILE | VERSION VERSION", "show what an import would change, or what differs between two versions", "replace", "limpetpond settings diff 12 15" },
            CommandHelp { "settings history", "", "list accepted changes, oldest first", "after", "limpetpond settings history --after 12" },
            CommandHelp { "settings explain", "[PATH]", "show each value in force, the branch it comes from, and who set it when", "", "limpetpond settings explain target/engine-1" },
            CommandHelp { "settings export", "[PATH]", "print the branches at and below a path as JSON", "output", "limpetpond settings export --output settings.json" },
            CommandHelp { "settings import", "FILE", "bring the branches to what an export holds, in one change", "replace dry_run author change_id", "limpetpond settings import settings.json --dry-run" },
            CommandHelp { "settings raise-store", "", "bring a table service that was restored to an older state back up to the settings in force", "author change_id", "limpetpond settings raise-store" },
            CommandHelp { "settings schema", "", "print every field with its unit, range, default and meaning", "", "limpetpond settings schema" },
            CommandHelp { "target leave", "NAME", "mark a target as leaving, so that it gets no new work", "wait timeout period author change_id", "limpetpond target leave engine-1 --wait" },
            CommandHelp { "target return", "NAME", "return a target to service", "author change_id", "limpetpond target return engine-1" },
            CommandHelp { "target status", "[NAME]", "show how far a target's leaving has got", "", "limpetpond target status engine-1" },
            CommandHelp { "status", "", "show instances, versions, pools, targets and alarms", "watch period", "limpetpond status --watch" },
            CommandHelp { "explain", "REQUEST FILE...", "tell from gateways' logs what became of a request, and why", "", "limpetpond explain 7a9b3fda006ccdcd front-1.log front-2.log" },
            CommandHelp { "timeline", "", "merge the events of all instances in causal order", "request target instance html chrome_trace output", "limpetpond timeline --request r-1 --html --output path.html" },
        };

        boost::leaf::error_id invalid(std::string name, std::string value, std::string allowed)
        {
            return boost::leaf::new_error(InvalidSetting { .name = std::move(name), .value = std::move(value), .allowed = std::move(allowed) });
        }

        bool startsWithWords(std::string_view command, const std::vector<std::string>& words)
        {
            std::string prefix;
            for (const std::string& word : words)
                prefix += prefix.empty() ? word : " " + word;
            return prefix.empty() || command == prefix || command.starts_with(prefix + " ");
        }

        std::string flagLine(const std::string& name)
        {
            const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
            std::string flagText = "--" + name;
            std::ranges::replace(flagText, '_', '-');
            flagText.resize(std::max<std::size_t>(flagText.size() + 1, 24), ' ');
            return "  " + flagText + (flag ? flag->Help() : std::string()) + "\n";
        }

        std::vector<std::string> splitWords(std::string_view text)
        {
            std::vector<std::string> words;
            while (!text.empty()) {
                auto space = std::min(text.find(' '), text.size());
                if (space)
                    words.emplace_back(text.substr(0, space));
                text.remove_prefix(std::min(space + 1, text.size()));
            }
            return words;
        }

        std::string commandHelp(const CommandHelp& command)
        {
            std::string text = "Usage: limpetpond " + std::string(command.name) + " " + std::string(command.arguments) + " [FLAGS]\n\n" + std::string(command.summary) + "\n\nFlags:\n";
            for (const std::string& flag : splitWords(command.flags))
                text += flagLine(flag);
            for (const char* flag : commonFlags)
                text += flagLine(flag);
            return text + "\nExample: " + std::string(command.example) + "\n";
        }

        std::string overviewHelp(const std::vector<std::string>& words)
        {
            std::string list;
            for (const CommandHelp& command : commands) {
                if (!startsWithWords(command.name, words))
                    continue;
                std::string usage(command.name);
                if (!command.arguments.empty())
                    usage += " " + std::string(command.arguments);
                list += "  " + usage + "\n      " + std::string(command.summary) + "\n";
            }
            if (list.empty())
                return {};
            std::string text = "Usage: limpetpond COMMAND [ARGUMENTS] [FLAGS]\n\nCommands:\n" + list + "\nFlags of every command:\n";
            for (const char* flag : commonFlags)
                text += flagLine(flag);
            text += "  --help                  print help, also after a command\n  --version               print the version\n";
            return text + "\nExit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 conflict with another operator's change,\n4 no instance reachable, 5 outcome unknown (repeat with the printed --change-id).\n";
        }

    } // namespace

} // namespace detail

Result<std::vector<Address>> parseAddresses(const std::string& name, std::string_view text)
{
    std::vector<Address> addresses;
    std::string_view rest = text;
    while (!rest.empty()) {
        auto comma = std::min(rest.find(','), rest.size());
        std::string_view entry = rest.substr(0, comma);
        rest.remove_prefix(std::min(comma + 1, rest.size()));
        auto colon = entry.rfind(':');
        int port = 0;
        bool isComplete = colon != std::string_view::npos && colon > 0
            && std::from_chars(entry.data() + colon + 1, entry.data() + entry.size(), port).ptr == entry.data() + entry.size();
        if (!isComplete || port < 1 || port > 65'535)
            return detail::invalid(name, std::string(entry), "IP:PORT,IP:PORT with ports from 1 to 65535");
        addresses.push_back({ .host = std::string(entry.substr(0, colon)), .port = port });
    }
    if (addresses.empty())
        return detail::invalid(name, std::string(text), "at least one IP:PORT");
    return addresses;
}

bool isToolFlag(const std::string& name)
{
    for (const detail::CommandHelp& command : detail::commands) {
        if (std::ranges::count(detail::splitWords(command.flags), name))
            return true;
    }
    return std::ranges::find(detail::commonFlags, name) != detail::commonFlags.end();
}

std::string helpText(const std::vector<std::string>& words)
{
    for (const detail::CommandHelp& command : detail::commands) {
        std::vector<std::string> nameWords = detail::splitWords(command.name);
        if (words.size() >= nameWords.size() && std::equal(nameWords.begin(), nameWords.end(), words.begin()))
            return detail::commandHelp(command);
    }
    return detail::overviewHelp(words);
}

} // namespace limpetpond::tool
