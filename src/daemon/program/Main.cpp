/// `limpetpondd`: reads its settings, serves until SIGTERM or SIGINT, drains and exits.

#include "base/Log.h"
#include "base/ProcessSettings.h"
#include "core/Guard.h"
#include "daemon/Daemon.h"
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <pthread.h>
#include <sys/resource.h>
#include <unistd.h>

namespace {

using namespace limpetpond;

constexpr int exitFailure = 1;
constexpr int exitInvalidSetting = 2;
constexpr const char* versionText = "limpetpondd 0.1.0";

/// Raises the limit of open files to its maximum, since every open stream uses several descriptors.
void raiseDescriptorLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit))
        return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

/// Blocks the signals before any thread starts, so that only `waitForShutdown` sees them.
sigset_t blockShutdownSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

void waitForShutdown(const sigset_t& signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
}

Result<int> run(int argc, char** argv)
{
    BOOST_LEAF_AUTO(commandLine, parseCommandLine(argc, argv));
    if (commandLine.help) {
        std::cout << processSettingsHelp();
        return 0;
    }
    if (commandLine.version) {
        std::cout << versionText << '\n';
        return 0;
    }
    BOOST_LEAF_AUTO(settings, resolveProcessSettings(commandLine.flags, limpetpondVariables(environ)));
    if (commandLine.check) {
        std::cout << "settings are valid\n";
        return 0;
    }
    disableGuardOfEnvironment();
    raiseDescriptorLimit();
    sigset_t signals = blockShutdownSignals();
    startLog({ .level = logLevelFromText(settings.logLevel), .instance = settings.instanceId });
    SystemClock clock;
    Daemon daemon(settings, clock);
    BOOST_LEAF_CHECK(daemon.start());
    waitForShutdown(signals);
    daemon.drainAndStop();
    return 0;
}

std::string withoutControlCharacters(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return c < 0x20; }, ' ');
    return text;
}

} // namespace

int main(int argc, char** argv)
{
    int code = boost::leaf::try_handle_all(
        [&] { return run(argc, argv); },
        [](const InvalidSetting& invalid) {
            std::cerr << "limpetpondd: " << withoutControlCharacters(invalid.name) << ": '" << withoutControlCharacters(invalid.value) << "' is refused; allowed: " << invalid.allowed << '\n';
            return exitInvalidSetting;
        },
        [](const boost::leaf::error_info& info) {
            std::cerr << "limpetpondd: unexpected failure: " << info << '\n';
            return exitFailure;
        });
    stopLog();
    return code;
}
