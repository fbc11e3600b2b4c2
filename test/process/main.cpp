#include <csignal>
#include <sys/resource.h>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace {

/// Tests with many callers need more descriptors than a shell usually allows; the system's own limit is far above.
void raiseDescriptorLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit))
        return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace

int main(int argc, char** argv)
{
    raiseDescriptorLimit();
    std::signal(SIGPIPE, SIG_IGN);
    // Caches of the libraries outlive single tests and would count as leaks.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
