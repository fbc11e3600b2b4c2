#pragma once

/// The settings of one process: flags, `LIMPETPOND_*` environment variables and their checks.
///
/// A flag takes precedence over its environment variable. One table in the source file defines the
/// flag, kind, range, default and help text of each setting. The variable is `LIMPETPOND_` and the flag
/// in capitals: `LIMPETPOND_CALLER_PORT` for `--caller_port`.

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

/// An IP address and a port; port 0 means "not set".
struct Endpoint {
    std::string host;
    int port { 0 };
    bool isSet() const { return port > 0; }
    bool operator==(const Endpoint&) const = default;
};

/// Another instance, from the setting `peers`.
struct PeerAddress {
    InstanceId instance;
    Endpoint endpoint;
    bool operator==(const PeerAddress&) const = default;
};

/// A secret text, wrapped so that it isn't printed or logged by accident.
class Secret {
public:
    Secret() = default;
    explicit Secret(std::string text)
        : m_text(std::move(text))
    {
    }

    /// The secret text; only for comparing and sending.
    const std::string& reveal() const { return m_text; }
    bool isSet() const { return !m_text.empty(); }

private:
    std::string m_text;
};

/// All settings of a daemon process, documented in the table in ProcessSettings.cpp.
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

/// The parsed command line of the daemon.
struct CommandLine {
    std::map<std::string, std::string> flags; ///< Flag name to value text, without dashes.
    bool help { false };
    bool check { false };
    bool version { false };
};

/// Parses the flags with Abseil. Errors: InvalidSetting for an unknown flag or an argument that is not a flag.
///
///     auto line = parseCommandLine(argc, argv);
///     if (line && line->help) std::cout << processSettingsHelp();
Result<CommandLine> parseCommandLine(int argc, char** argv);

/// The `LIMPETPOND_*` variables in an environment block such as `environ`.
///
///     auto variables = limpetpondVariables(environ);
///     variables.at("LIMPETPOND_CALLER_PORT");
std::map<std::string, std::string> limpetpondVariables(char** environment);

/// Takes each setting from its flag, else from its variable, else from its default, and checks it. Errors: InvalidSetting.
///
///     auto settings = resolveProcessSettings({ { "caller_port", "8081" } }, variables);
///     if (settings) listen(settings->callerPort);
Result<ProcessSettings> resolveProcessSettings(const std::map<std::string, std::string>& flags,
    const std::map<std::string, std::string>& variables);

/// The text of `--help`: flag, range, default and meaning of each setting.
///
///     std::cout << processSettingsHelp();
std::string processSettingsHelp();

/// The name and effective value of a setting; `(set)` or `(not set)` for a secret.
struct EffectiveSetting {
    std::string name;
    std::string value;
};

/// The effective settings as text, for the operators' status.
///
///     for (const auto& setting : effectiveSettings(settings)) print(setting.name);
std::vector<EffectiveSetting> effectiveSettings(const ProcessSettings&);

/// Parses a duration with its unit, such as `250ms`, `5s`, `2m` or `1h`; no value for another form.
///
///     parseDuration("5s") == std::chrono::seconds(5);
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

/// Parses a size with its unit, such as `512B`, `64KiB`, `4MiB` or `1GiB`; no value for another form.
///
///     parseByteCount("4MiB")->count() == 4194304;
std::optional<ByteCount> parseByteCount(std::string_view text);

/// Parses `IP:PORT`, with an IPv6 address in brackets; no value for host names.
///
///     parseEndpoint("127.0.0.1:8000")->port == 8000;
std::optional<Endpoint> parseEndpoint(std::string_view text);

} // namespace limpetpond
