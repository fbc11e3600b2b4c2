/// `limpetpond-gateway` reads its boot file and serves until SIGTERM or SIGINT, then finishes the requests in progress and
/// exits.
///
/// `limpetpond-gateway --check` only validates the boot file and prints its main settings.

#include "base/BootTimeClock.h"
#include "core/Guard.h"
#include "gateway/GatewayInstance.h"
#include "platform/BootSettings.h"
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>
#include <string_view>

namespace {

constexpr int exitFailure = 1;
constexpr int exitInvalidSetting = 2;
constexpr int largeAllocationBytes = 262144;

int check(const limpetpond::platform::BootSettings& boot)
{
    std::cout << "boot settings are valid: instance " << boot.instance.value() << " in " << boot.failureDomain.value() << ", callers at "
              << boot.callerAddress << ", store at " << boot.storeAddress << '\n';
    return 0;
}

int run(bool isCheck)
{
    using namespace limpetpond;
    const char* path = std::getenv(platform::bootFileVariable);
    if (!path)
        throw platform::BootSettingsError(std::string("boot settings: the environment variable ") + platform::bootFileVariable + " is not set; allowed: the path of a YAML file");
    platform::BootSettings boot = platform::readBootFile(path);
    if (isCheck)
        return check(boot);
    disableGuardOfEnvironment();
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, largeAllocationBytes); // Otherwise the memory of large buffers mostly stays with the process.
    BootTimeClock clock;
    boost::asio::io_context context(1);
    GatewayInstance instance(context, clock, boot);
    if (std::optional<std::string> error = instance.start()) {
        std::cerr << "limpetpond-gateway: can't listen on " << *error << '\n';
        return exitFailure;
    }
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    bool isCheck = argc == 2 && std::string_view(argv[1]) == "--check";
    if (argc > 1 && !isCheck) {
        std::cerr << "limpetpond-gateway: unknown argument \"" << argv[1] << "\"; allowed: --check, or none\n";
        return exitInvalidSetting;
    }
    try {
        return run(isCheck);
    } catch (const limpetpond::platform::BootSettingsError& error) {
        std::cerr << error.what() << '\n';
        return exitInvalidSetting;
    } catch (const std::exception& error) {
        std::cerr << "limpetpond-gateway: " << error.what() << '\n';
        return exitFailure;
    }
}
