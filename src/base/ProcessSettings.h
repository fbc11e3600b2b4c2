#pragma once

/// The settings of one process: flags, `LIMPETPOND_*` environment variables and their checks.
///
/// A flag wins over its environment variable. One table in the source file gives each setting
/// its flag, kind, range, default and help text; the variable is the flag in capitals after
/// `LIMPETPOND_`, so `--caller_port` is also `LIMPETPOND_CALLER_PORT`.

#include "limpetpond/Errors.h"
#include "limpetpond/Ids.h"
#include "limpetpond/Units.h"
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetpond {

/// An IP number and a port; port 0 stands for "not set".
struct Endpoint {
    std::string host;
    int port { 0 };
    bool isSet() const { return port > 0; }
    bool operator==(const Endpoint&) const = default;
};

/// Another instance, as listed by hand.
struct PeerAddress {
    InstanceId instance;
    Endpoint endpoint;
    bool operator==(const PeerAddress&) const = default;
};

/// A secret text that never prints itself.
class Secret {
public:
    Secret() = default;
    explicit Secret(std::string text)
        : m_text(std::move(text))
    {
    }

    /// The secret itself, for comparing and sending only.
    const std::string& reveal() const { return m_text; }
    bool isSet() const { return !m_text.empty(); }

private:
    std::string m_text;
};

/// All settings of a daemon process. The table in ProcessSettings.cpp documents each.
struct ProcessSettings {
    std::string instanceId;
    std::string failureDomain;
    std::string region;
    std::string callerHost;
    int callerPort { 0 };
    std::string adminHost;
    int adminPort { 0 };
    std::string peerHost;
    int peerPort { 0 };
    std::vector<PeerAddress> peers;
    Endpoint tableEndpoint;
    Endpoint objectStoreEndpoint;
    Endpoint instanceListEndpoint;
    Secret peerSecret;
    Secret operatorSecret;
    int trafficThreads { 0 };
    int ioThreads { 0 };
    int maxOpenStreams { 0 };
    int maxWaitingRequests { 0 };
    ByteCount maxBody;
    ByteCount maxAnswer;
    ByteCount maxHeaders;
    ByteCount maxPeerMessage;
    ByteCount maxStreamBuffer;
    std::chrono::milliseconds readTimeout { 0 };
    std::chrono::milliseconds writeTimeout { 0 };
    std::chrono::milliseconds keepAliveTimeout { 0 };
    std::chrono::milliseconds connectTimeout { 0 };
    std::chrono::milliseconds peerTimeout { 0 };
    std::chrono::milliseconds platformTimeout { 0 };
    std::chrono::milliseconds drainLimit { 0 };
    std::chrono::milliseconds tickPeriod { 0 };
    std::chrono::milliseconds loadReportPeriod { 0 };
    std::chrono::milliseconds instanceListPeriod { 0 };
    int timelineEvents { 0 };
    std::string logLevel;
};

/// What a command line asks for besides settings.
struct CommandLine {
    std::map<std::string, std::string> flags; ///< Flag name to value text, without dashes.
    bool help { false };
    bool check { false };
    bool version { false };
};

/// Parses the flags through Abseil; an unknown flag or a stray argument is an InvalidSetting.
///
///     auto line = parseCommandLine(argc, argv);
///     if (line && line->help) std::cout << processSettingsHelp();
Result<CommandLine> parseCommandLine(int argc, char** argv);

/// Picks the `LIMPETPOND_*` variables out of an environment block such as `environ`.
///
///     auto variables = limpetpondVariables(environ);
///     variables.at("LIMPETPOND_CALLER_PORT");
std::map<std::string, std::string> limpetpondVariables(char** environment);

/// Merges flags over variables over defaults and checks each value; fails with InvalidSetting.
///
///     auto settings = resolveProcessSettings({ { "caller_port", "8081" } }, variables);
///     if (settings) listen(settings->callerPort);
Result<ProcessSettings> resolveProcessSettings(const std::map<std::string, std::string>& flags,
    const std::map<std::string, std::string>& variables);

/// The text of `--help`, made from the table: flag, kind, range, default, meaning.
///
///     std::cout << processSettingsHelp();
std::string processSettingsHelp();

/// One setting's name and effective value; a secret shows as `(set)` or `(not set)`.
struct EffectiveSetting {
    std::string name;
    std::string value;
};

/// The effective settings as text for `status`; secrets are masked.
///
///     for (const auto& setting : effectiveSettings(settings)) print(setting.name);
std::vector<EffectiveSetting> effectiveSettings(const ProcessSettings&);

/// Parses a time with its unit: `250ms`, `5s`, `2m` or `1h`; no value where text is in another form.
///
///     parseDuration("5s") == std::chrono::seconds(5);
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

/// Parses a size with its unit: `512B`, `64KiB`, `4MiB` or `1GiB`.
///
///     parseByteCount("4MiB")->count() == 4194304;
std::optional<ByteCount> parseByteCount(std::string_view text);

/// Parses `IP:PORT`, an IPv6 number in brackets; names are refused.
///
///     parseEndpoint("127.0.0.1:8000")->port == 8000;
std::optional<Endpoint> parseEndpoint(std::string_view text);

} // namespace limpetpond
