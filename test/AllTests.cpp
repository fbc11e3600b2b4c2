#include <httplib.h>
#include <thread>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace {

// httplib allocates tables at its first request and keeps them, which CppUTest would report as a leak of the test that sends it.
void warmUpHttpLibrary()
{
    httplib::Server server;
    server.Get("/", [](const httplib::Request&, httplib::Response& response) { response.set_content("", "text/plain"); });
    int port = server.bind_to_any_port("127.0.0.1");
    std::thread thread([&] { server.listen_after_bind(); });
    httplib::Client("127.0.0.1", port).Get("/", { httplib::make_range_header({ { 0, 0 } }) });
    server.stop();
    thread.join();
}

} // namespace

int main(int argc, char** argv)
{
    // Some tests run servers, whose threads allocate memory too.
    MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
    warmUpHttpLibrary();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
