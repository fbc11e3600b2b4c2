#include <csignal>
#include <vector>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    // The libraries' caches outlive single tests.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    // An exception fails its test and ends the programs that it started.
    std::vector<const char*> arguments(argv, argv + argc);
    arguments.push_back("-e");
    return CommandLineTestRunner::RunAllTests(static_cast<int>(arguments.size()), arguments.data());
}
