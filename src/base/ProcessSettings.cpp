#include "base/ProcessSettings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <fstream>
#include <limits>
#include <sstream>

namespace limpetpond {

namespace {

    constexpr std::int64_t kibibyte = 1024;
    constexpr std::int64_t mebibyte = 1024 * kibibyte;
    constexpr std::int64_t gibibyte = 1024 * mebibyte;
    constexpr std::int64_t millisecondsPerSecond = 1000;
    constexpr std::int64_t millisecondsPerMinute = 60 * millisecondsPerSecond;
    constexpr std::int64_t millisecondsPerHour = 60 * millisecondsPerMinute;
    constexpr std::size_t minSecretLength = 16;
    constexpr std::size_t maxNameLength = 64;
    constexpr std::string_view variablePrefix = "LIMPETPOND_";

    enum class SettingKind {
        Name,
        OptionalIp,
        Ip,
        Port,
        OptionalPort,
        Count,
        Duration,
        Bytes,
        Endpoint,
        OptionalEndpoint,
        Peers,
        Secret,
        LogLevel,
    };

// field, flag, kind, default, min and max (a count, milliseconds or bytes), help
#define LIMPETPOND_PROCESS_SETTINGS(X)                                                                                                                 \
    X(instanceId, instance_id, Name, "", 0, 0, "the id of this instance, unique among all")                                                            \
    X(failureDomain, failure_domain, Name, "default", 0, 0, "the failure domain that this instance runs in")                                           \
    X(region, region, Name, "default", 0, 0, "the region that this instance runs in")                                                                  \
    X(callerHost, caller_host, Ip, "127.0.0.1", 0, 0, "where the callers' API listens")                                                                \
    X(callerPort, caller_port, Port, "8080", 1, 65535, "the port of the callers' API")                                                                 \
    X(adminHost, admin_host, OptionalIp, "", 0, 0, "where health and metrics listen; empty for the caller's address")                                  \
    X(adminPort, admin_port, OptionalPort, "0", 0, 65535, "a port of its own for health and metrics; 0 for the callers' listener")                     \
    X(peerHost, peer_host, Ip, "127.0.0.1", 0, 0, "where instances and operators reach this one (Thrift)")                                             \
    X(peerPort, peer_port, Port, "9090", 1, 65535, "the port for instances and operators")                                                             \
    X(peers, peers, Peers, "", 0, 0, "other instances, used until the instance list answers")                                                          \
    X(tableEndpoint, table_endpoint, Endpoint, "", 0, 0, "the platform's table service")                                                               \
    X(objectStoreEndpoint, object_store_endpoint, OptionalEndpoint, "", 0, 0, "the platform's object store")                                           \
    X(instanceListEndpoint, instance_list_endpoint, OptionalEndpoint, "", 0, 0, "the platform's instance list")                                        \
    X(peerSecret, peer_secret, Secret, "", 0, 0, "the secret that instances show each other")                                                          \
    X(operatorSecret, operator_secret, Secret, "", 0, 0, "the secret that operators show")                                                             \
    X(trafficThreads, traffic_threads, Count, "640", 8, 20000, "connections of callers that are served at once")                                       \
    X(ioThreads, io_threads, Count, "8", 4, 256, "threads for calls to the platform and to instances")                                                 \
    X(maxOpenStreams, max_open_streams, Count, "600", 1, 20000, "requests in progress or waiting at once; more are shed")                              \
    X(maxWaitingRequests, max_waiting_requests, Count, "1024", 1, 100000, "requests that wait for a target at once; more are shed")                    \
    X(maxBody, max_body, Bytes, "4MiB", kibibyte, 256 * mebibyte, "the largest body of a request")                                                     \
    X(maxAnswer, max_answer, Bytes, "16MiB", kibibyte, gibibyte, "the largest whole answer of a target")                                               \
    X(maxHeaders, max_headers, Bytes, "32KiB", kibibyte, mebibyte, "the largest request line and headers together")                                    \
    X(maxPeerMessage, max_peer_message, Bytes, "8MiB", 64 * kibibyte, 64 * mebibyte, "the largest Thrift message")                                     \
    X(maxStreamBuffer, max_stream_buffer, Bytes, "1MiB", 16 * kibibyte, 64 * mebibyte, "bytes of a stream held back for a slow caller")                \
    X(readTimeout, read_timeout, Duration, "15s", 10, 10 * millisecondsPerMinute, "the longest pause while a request is read")                         \
    X(writeTimeout, write_timeout, Duration, "15s", 10, 10 * millisecondsPerMinute, "the longest pause while an answer is written")                    \
    X(keepAliveTimeout, keep_alive_timeout, Duration, "30s", 10, millisecondsPerHour, "how long an idle connection of a caller stays open")            \
    X(connectTimeout, connect_timeout, Duration, "500ms", 10, millisecondsPerMinute, "the limit for a connection to a target")                         \
    X(peerTimeout, peer_timeout, Duration, "500ms", 10, millisecondsPerMinute, "the limit for a call to another instance")                             \
    X(platformTimeout, platform_timeout, Duration, "2s", 10, millisecondsPerMinute, "the limit for a call to the platform")                            \
    X(drainLimit, drain_limit, Duration, "60s", 0, millisecondsPerHour, "how long running requests may take after SIGTERM")                            \
    X(tickPeriod, tick_period, Duration, "20ms", 1, 100, "between ticks of the control thread")                                                        \
    X(loadReportPeriod, load_report_period, Duration, "250ms", 10, millisecondsPerMinute, "between reads of an engine's load report and cache events") \
    X(instanceListPeriod, instance_list_period, Duration, "2s", 10, millisecondsPerMinute, "between reads of the instance list")                       \
    X(timelineEvents, timeline_events, Count, "20000", 100, 1000000, "events of the time line that are kept in memory")                                \
    X(logLevel, log_level, LogLevel, "info", 0, 0, "the least severity that is logged")

    struct SettingSpec {
        std::string_view flag;
        SettingKind kind;
        std::string_view defaultText;
        std::int64_t min;
        std::int64_t max;
        std::string_view help;
    };

#define LIMPETPOND_SPEC(field, flag, kind, defaultText, min, max, help) \
    SettingSpec { #flag, SettingKind::kind, defaultText, min, max, help },
    constexpr std::array specs { LIMPETPOND_PROCESS_SETTINGS(LIMPETPOND_SPEC) };
#undef LIMPETPOND_SPEC

    const SettingSpec* findSpec(std::string_view flag)
    {
        const auto* found = std::find_if(specs.begin(), specs.end(), [&](const SettingSpec& spec) { return spec.flag == flag; });
        return found == specs.end() ? nullptr : found;
    }

    std::string variableName(std::string_view flag)
    {
        std::string name(variablePrefix);
        for (char c : flag)
            name += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
        return name;
    }

    std::optional<std::int64_t> parseCount(std::string_view text)
    {
        std::int64_t value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc {} || end != text.data() + text.size() || text.empty())
            return std::nullopt;
        return value;
    }

    struct UnitScale {
        std::string_view unit;
        std::int64_t scale;
    };

    std::optional<std::int64_t> parseWithUnit(std::string_view text, std::initializer_list<UnitScale> units)
    {
        std::size_t digits = 0;
        while (digits < text.size() && std::isdigit(static_cast<unsigned char>(text[digits])))
            ++digits;
        auto number = parseCount(text.substr(0, digits));
        if (!number)
            return std::nullopt;
        for (const UnitScale& entry : units) {
            if (text.substr(digits) != entry.unit)
                continue;
            if (*number > std::numeric_limits<std::int64_t>::max() / entry.scale)
                return std::nullopt;
            return *number * entry.scale;
        }
        return std::nullopt;
    }

    bool isIpAddress(const std::string& text)
    {
        std::array<unsigned char, sizeof(in6_addr)> address {};
        return inet_pton(AF_INET, text.c_str(), address.data()) == 1 || inet_pton(AF_INET6, text.c_str(), address.data()) == 1;
    }

    bool isName(std::string_view text)
    {
        if (text.empty() || text.size() > maxNameLength)
            return false;
        return std::all_of(text.begin(), text.end(), [](char c) {
            return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
        });
    }

    std::string durationText(std::int64_t milliseconds)
    {
        for (const UnitScale& entry : { UnitScale { "h", millisecondsPerHour }, { "m", millisecondsPerMinute }, { "s", millisecondsPerSecond } }) {
            if (milliseconds && milliseconds % entry.scale == 0)
                return std::to_string(milliseconds / entry.scale) + std::string(entry.unit);
        }
        return std::to_string(milliseconds) + "ms";
    }

    std::string bytesText(std::int64_t bytes)
    {
        for (const UnitScale& entry : { UnitScale { "GiB", gibibyte }, { "MiB", mebibyte }, { "KiB", kibibyte } }) {
            if (bytes && bytes % entry.scale == 0)
                return std::to_string(bytes / entry.scale) + std::string(entry.unit);
        }
        return std::to_string(bytes) + "B";
    }

    std::string rangeText(const SettingSpec& spec)
    {
        switch (spec.kind) {
        case SettingKind::Name:
            return "1 to 64 letters, digits, '-', '_' or '.'";
        case SettingKind::Ip:
            return "an IP number";
        case SettingKind::OptionalIp:
            return "an IP number, or empty";
        case SettingKind::Port:
        case SettingKind::OptionalPort:
        case SettingKind::Count:
            return "a whole number from " + std::to_string(spec.min) + " to " + std::to_string(spec.max);
        case SettingKind::Duration:
            return "a time with unit (ms, s, m, h) from " + durationText(spec.min) + " to " + durationText(spec.max);
        case SettingKind::Bytes:
            return "a size with unit (B, KiB, MiB, GiB) from " + bytesText(spec.min) + " to " + bytesText(spec.max);
        case SettingKind::Endpoint:
            return "IP:PORT";
        case SettingKind::OptionalEndpoint:
            return "IP:PORT, or empty";
        case SettingKind::Peers:
            return "ID=IP:PORT, separated by commas, or empty";
        case SettingKind::Secret:
            return "at least 16 characters, from the environment variable, or from a file named by the variable or flag with _file";
        case SettingKind::LogLevel:
            return "debug, info, warning or error";
        }
        return "";
    }

    template <typename T>
    Result<T> checked(const SettingSpec& spec, const std::string& name, const std::string& text, std::optional<T> value)
    {
        if (value)
            return *value;
        return boost::leaf::new_error(InvalidSetting { name, text, rangeText(spec) });
    }

    std::optional<std::int64_t> inRange(const SettingSpec& spec, std::optional<std::int64_t> value)
    {
        if (!value || *value < spec.min || *value > spec.max)
            return std::nullopt;
        return value;
    }

    std::optional<std::vector<PeerAddress>> parsePeers(std::string_view text)
    {
        std::vector<PeerAddress> peers;
        while (!text.empty()) {
            std::string_view entry = text.substr(0, text.find(','));
            text.remove_prefix(std::min(text.size(), entry.size() + 1));
            auto equals = entry.find('=');
            if (equals == std::string_view::npos || !isName(entry.substr(0, equals)))
                return std::nullopt;
            auto endpoint = parseEndpoint(entry.substr(equals + 1));
            if (!endpoint)
                return std::nullopt;
            peers.push_back({ InstanceId { std::string(entry.substr(0, equals)) }, *endpoint });
        }
        return peers;
    }

    bool isValidText(const SettingSpec& spec, const std::string& text)
    {
        switch (spec.kind) {
        case SettingKind::Name:
            return isName(text);
        case SettingKind::Ip:
            return isIpAddress(text);
        case SettingKind::OptionalIp:
            return text.empty() || isIpAddress(text);
        case SettingKind::LogLevel:
            return text == "debug" || text == "info" || text == "warning" || text == "error";
        default:
            return true;
        }
    }

    Result<void> assign(const SettingSpec& spec, const std::string& name, const std::string& text, std::string& field)
    {
        BOOST_LEAF_ASSIGN(field, checked(spec, name, text, isValidText(spec, text) ? std::optional(text) : std::nullopt));
        return {};
    }

    Result<void> assign(const SettingSpec& spec, const std::string& name, const std::string& text, int& field)
    {
        BOOST_LEAF_AUTO(value, checked(spec, name, text, inRange(spec, parseCount(text))));
        field = static_cast<int>(value);
        return {};
    }

    Result<void> assign(const SettingSpec& spec, const std::string& name, const std::string& text, std::chrono::milliseconds& field)
    {
        auto parsed = parseDuration(text);
        BOOST_LEAF_AUTO(value, checked(spec, name, text, inRange(spec, parsed ? std::optional(static_cast<std::int64_t>(parsed->count())) : std::nullopt)));
        field = std::chrono::milliseconds(value);
        return {};
    }

    Result<void> assign(const SettingSpec& spec, const std::string& name, const std::string& text, ByteCount& field)
    {
        auto parsed = parseByteCount(text);
        BOOST_LEAF_AUTO(value, checked(spec, name, text, inRange(spec, parsed ? std::optional(parsed->count()) : std::nullopt)));
        field = ByteCount { value };
        return {};
    }

    Result<void> assign(const SettingSpec& spec, const std::string& name, const std::string& text, Endpoint& field)
    {
        if (text.empty() && spec.kind == SettingKind::OptionalEndpoint)
            return {};
        BOOST_LEAF_ASSIGN(field, checked(spec, name, text, parseEndpoint(text)));
        return {};
    }

    Result<void> assign(const SettingSpec& spec, const std::string& name, const std::string& text, std::vector<PeerAddress>& field)
    {
        BOOST_LEAF_ASSIGN(field, checked(spec, name, text, parsePeers(text)));
        return {};
    }

    Result<void> assign(const SettingSpec& spec, const std::string& name, const std::string& text, Secret& field)
    {
        if (text.empty())
            return {};
        if (text.size() < minSecretLength)
            return boost::leaf::new_error(InvalidSetting { name, "(hidden)", rangeText(spec) });
        field = Secret { text };
        return {};
    }

    std::string displayText(const SettingSpec&, const std::string& value) { return value; }
    std::string displayText(const SettingSpec&, int value) { return std::to_string(value); }
    std::string displayText(const SettingSpec&, std::chrono::milliseconds value) { return durationText(value.count()); }
    std::string displayText(const SettingSpec&, ByteCount value) { return bytesText(value.count()); }
    std::string displayText(const SettingSpec&, const Secret& value) { return value.isSet() ? "(set)" : "(not set)"; }

    std::string displayText(const SettingSpec&, const Endpoint& value)
    {
        return value.isSet() ? value.host + ":" + std::to_string(value.port) : "";
    }

    std::string displayText(const SettingSpec& spec, const std::vector<PeerAddress>& value)
    {
        std::string text;
        for (const PeerAddress& peer : value)
            text += (text.empty() ? "" : ",") + peer.instance.value() + "=" + displayText(spec, peer.endpoint);
        return text;
    }

    Result<std::string> readSecretFile(const std::string& name, const std::string& path)
    {
        std::ifstream file(path);
        std::string line;
        if (!file || !std::getline(file, line))
            return boost::leaf::new_error(InvalidSetting { name, path, "a readable file whose first line is the secret" });
        return line;
    }

    struct SettingSource {
        std::string name;
        std::string text;
    };

    using TextMap = std::map<std::string, std::string>;

    std::optional<SettingSource> findSource(std::string_view flag, const TextMap& flags, const TextMap& variables)
    {
        if (auto found = flags.find(std::string(flag)); found != flags.end())
            return SettingSource { "--" + found->first, found->second };
        if (auto found = variables.find(variableName(flag)); found != variables.end())
            return SettingSource { found->first, found->second };
        return std::nullopt;
    }

    Result<SettingSource> resolveSource(const SettingSpec& spec, const TextMap& flags, const TextMap& variables)
    {
        if (spec.kind == SettingKind::Secret) {
            if (auto file = findSource(std::string(spec.flag) + "_file", flags, variables)) {
                BOOST_LEAF_AUTO(secret, readSecretFile(file->name, file->text));
                return SettingSource { file->name, secret };
            }
        }
        if (auto found = findSource(spec.flag, flags, variables))
            return *found;
        return SettingSource { "--" + std::string(spec.flag), std::string(spec.defaultText) };
    }

    bool isSecretFile(std::string_view flag)
    {
        constexpr std::string_view suffix = "_file";
        if (!flag.ends_with(suffix))
            return false;
        const SettingSpec* spec = findSpec(flag.substr(0, flag.size() - suffix.size()));
        return spec && spec->kind == SettingKind::Secret;
    }

    /// Variables that the command-line tool and the build read; they may be set in the daemon's environment too.
    constexpr std::array<std::string_view, 2> otherProgramsVariables { "LIMPETPOND_INSTANCES", "LIMPETPOND_PRESET" };

    Result<void> rejectUnknownVariables(const TextMap& variables)
    {
        for (const auto& [name, value] : variables) {
            if (std::find(otherProgramsVariables.begin(), otherProgramsVariables.end(), name) != otherProgramsVariables.end())
                continue;
            std::string flag = name.substr(variablePrefix.size());
            std::transform(flag.begin(), flag.end(), flag.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            if (!findSpec(flag) && !isSecretFile(flag))
                return boost::leaf::new_error(InvalidSetting { name, value, "a variable that --help lists" });
        }
        return {};
    }

    Result<void> checkCombinations(const ProcessSettings& settings)
    {
        if (settings.maxOpenStreams > settings.trafficThreads)
            return boost::leaf::new_error(InvalidSetting { "--max_open_streams", std::to_string(settings.maxOpenStreams),
                "at most --traffic_threads, which is " + std::to_string(settings.trafficThreads) });
        return {};
    }

    bool isBooleanFlag(std::string_view name) { return name == "help" || name == "check" || name == "version"; }

    bool isValueFlag(std::string_view name)
    {
        const SettingSpec* spec = findSpec(name);
        return (spec && spec->kind != SettingKind::Secret) || isSecretFile(name);
    }

    // On an unknown flag, Abseil ends the process with its own exit code and text, so every argument is checked first.
    Result<void> rejectUnknownArguments(int argc, char** argv)
    {
        for (int i = 1; i < argc; ++i) {
            std::string_view argument = argv[i];
            std::string_view name = argument.substr(0, argument.find('='));
            bool hasValue = name.size() < argument.size();
            bool hasDashes = name.starts_with("--");
            if (hasDashes)
                name.remove_prefix(2);
            if (hasDashes && isBooleanFlag(name) && !hasValue)
                continue;
            if (const SettingSpec* spec = findSpec(name); hasDashes && spec && spec->kind == SettingKind::Secret)
                return boost::leaf::new_error(InvalidSetting { "--" + std::string(name), "(hidden)", rangeText(*spec) });
            if (!hasDashes || !isValueFlag(name))
                return boost::leaf::new_error(InvalidSetting { std::string(argument.substr(0, argument.find('='))), hasValue ? std::string(argument.substr(argument.find('=') + 1)) : "", "a flag that --help lists" });
            if (!hasValue && ++i >= argc)
                return boost::leaf::new_error(InvalidSetting { "--" + std::string(name), "", "a value after the flag" });
        }
        return {};
    }

} // namespace

} // namespace limpetpond

#define LIMPETPOND_FLAG(field, flag, kind, defaultText, min, max, help) \
    ABSL_FLAG(std::optional<std::string>, flag, std::nullopt, help);
LIMPETPOND_PROCESS_SETTINGS(LIMPETPOND_FLAG)
#undef LIMPETPOND_FLAG
ABSL_FLAG(std::optional<std::string>, peer_secret_file, std::nullopt, "a file whose first line is the secret of instances");
ABSL_FLAG(std::optional<std::string>, operator_secret_file, std::nullopt, "a file whose first line is the secret of operators");
ABSL_FLAG(bool, check, false, "check the settings and exit");

namespace limpetpond {

namespace {

    void addIfSet(TextMap& flags, const char* name, const std::optional<std::string>& value)
    {
        if (value)
            flags[name] = *value;
    }

    bool removeFlag(std::vector<char*>& arguments, std::string_view name)
    {
        auto last = std::remove_if(arguments.begin(), arguments.end(), [&](char* argument) { return name == argument; });
        bool found = last != arguments.end();
        arguments.erase(last, arguments.end());
        return found;
    }

} // namespace

Result<CommandLine> parseCommandLine(int argc, char** argv)
{
    BOOST_LEAF_CHECK(rejectUnknownArguments(argc, argv));
    std::vector<char*> arguments(argv, argv + argc);
    CommandLine line;
    line.help = removeFlag(arguments, "--help");
    line.version = removeFlag(arguments, "--version");
    line.check = removeFlag(arguments, "--check");
    absl::ParseCommandLine(static_cast<int>(arguments.size()), arguments.data());
#define LIMPETPOND_ADD_FLAG(field, flag, kind, defaultText, min, max, help) addIfSet(line.flags, #flag, absl::GetFlag(FLAGS_##flag));
    LIMPETPOND_PROCESS_SETTINGS(LIMPETPOND_ADD_FLAG)
#undef LIMPETPOND_ADD_FLAG
    addIfSet(line.flags, "peer_secret_file", absl::GetFlag(FLAGS_peer_secret_file));
    addIfSet(line.flags, "operator_secret_file", absl::GetFlag(FLAGS_operator_secret_file));
    return line;
}

std::map<std::string, std::string> limpetpondVariables(char** environment)
{
    TextMap variables;
    for (char** entry = environment; entry && *entry; ++entry) {
        std::string_view text = *entry;
        auto equals = text.find('=');
        if (equals == std::string_view::npos || !text.starts_with(variablePrefix))
            continue;
        variables.emplace(text.substr(0, equals), text.substr(equals + 1));
    }
    return variables;
}

Result<ProcessSettings> resolveProcessSettings(const TextMap& flags, const TextMap& variables)
{
    BOOST_LEAF_CHECK(rejectUnknownVariables(variables));
    ProcessSettings settings;
#define LIMPETPOND_ASSIGN(field, flag, kind, defaultText, min, max, help)         \
    {                                                                             \
        const SettingSpec& spec = *findSpec(#flag);                               \
        BOOST_LEAF_AUTO(source, resolveSource(spec, flags, variables));           \
        BOOST_LEAF_CHECK(assign(spec, source.name, source.text, settings.field)); \
    }
    LIMPETPOND_PROCESS_SETTINGS(LIMPETPOND_ASSIGN)
#undef LIMPETPOND_ASSIGN
    BOOST_LEAF_CHECK(checkCombinations(settings));
    return settings;
}

std::string processSettingsHelp()
{
    std::ostringstream text;
    text << "Usage: limpetpondd [--check] [--help] [--version] [--FLAG=VALUE]...\n\n"
         << "Each flag is also an environment variable: --caller_port is LIMPETPOND_CALLER_PORT.\n"
         << "A flag wins over its variable. --check checks the settings and exits.\n\n";
    for (const SettingSpec& spec : specs) {
        if (spec.kind == SettingKind::Secret)
            text << "  " << variableName(spec.flag) << ", --" << spec.flag << "_file=PATH\n";
        else
            text << "  --" << spec.flag << "=VALUE\n";
        text << "      " << spec.help << "; " << rangeText(spec);
        if (spec.defaultText.empty())
            text << "; no default\n";
        else
            text << "; default " << spec.defaultText << "\n";
    }
    text << "\nExit codes: 0 ended as asked, 2 a setting was refused, 1 another failure.\n";
    return text.str();
}

std::vector<EffectiveSetting> effectiveSettings(const ProcessSettings& settings)
{
    std::vector<EffectiveSetting> list;
#define LIMPETPOND_SHOW(field, flag, kind, defaultText, min, max, help) list.push_back({ #flag, displayText(*findSpec(#flag), settings.field) });
    LIMPETPOND_PROCESS_SETTINGS(LIMPETPOND_SHOW)
#undef LIMPETPOND_SHOW
    return list;
}

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    auto value = parseWithUnit(text, { { "ms", 1 }, { "s", millisecondsPerSecond }, { "m", millisecondsPerMinute }, { "h", millisecondsPerHour } });
    if (!value)
        return std::nullopt;
    return std::chrono::milliseconds(*value);
}

std::optional<ByteCount> parseByteCount(std::string_view text)
{
    auto value = parseWithUnit(text, { { "B", 1 }, { "KiB", kibibyte }, { "MiB", mebibyte }, { "GiB", gibibyte } });
    if (!value)
        return std::nullopt;
    return ByteCount { *value };
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    constexpr std::int64_t maxPort = 65535;
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    auto port = parseCount(text.substr(colon + 1));
    if (!isIpAddress(host) || !port || *port < 1 || *port > maxPort)
        return std::nullopt;
    return Endpoint { host, static_cast<int>(*port) };
}

} // namespace limpetpond
