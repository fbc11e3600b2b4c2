/// `limpetpond-gateway`: reads its boot file, serves until SIGTERM, ends what is in progress and stops.

#include "base/BootTimeClock.h"
#include "gateway/Node.h"
#include "platform/BootSettings.h"
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

constexpr int exitFailure = 1;
constexpr int exitInvalidSetting = 2;

int run()
{
    using namespace limpetpond;
    const char* path = std::getenv(platform::bootFileVariable);
    if (!path)
        throw platform::BootSettingsError(std::string("boot settings: the environment variable ") + platform::bootFileVariable + " is not set; allowed: the path of a YAML file");
    platform::BootSettings boot = platform::readBootFile(path);
    std::signal(SIGPIPE, SIG_IGN);
    BootTimeClock clock;
    boost::asio::io_context context(1);
    Node node(context, clock, boot);
    if (std::optional<std::string> error = node.start()) {
        std::cerr << "limpetpond-gateway: can't listen on " << *error << '\n';
        return exitFailure;
    }
    context.run();
    return 0;
}

} // namespace

int main()
{
    try {
        return run();
    } catch (const limpetpond::platform::BootSettingsError& error) {
        std::cerr << error.what() << '\n';
        return exitInvalidSetting;
    } catch (const std::exception& error) {
        std::cerr << "limpetpond-gateway: " << error.what() << '\n';
        return exitFailure;
    }
}
