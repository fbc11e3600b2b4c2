/// Clients that aren't controlled send many chunked bodies of legal size at once, stop just short of their end and stay open.
/// The stand-in of the platform ends a process that exceeds the memory of its machine and starts it again.
///
///     bodies FOLDER

#include "Stage.h"
#include <algorithm>

using namespace stage;

namespace {

// The machines of the site: 0.5 cores, 520 MB, 8,200 descriptors.
constexpr Machine machine { .memoryMegabytes = 520, .descriptors = 8200 };
constexpr int instances = 2;
constexpr int rounds = 3; ///< Ends of a process by itself that make a fault of the day.
constexpr int channels = 5900; ///< To each instance, fewer than its descriptors.
constexpr std::size_t cookieBytes = 8000; ///< A head of half the size that is allowed.
constexpr std::size_t chunkBytes = 8192;
constexpr int chunks = 9; ///< 72 KB, and half a chunk that is sent in part: 76 KB for each chunked body.

std::string configuration()
{
    json::object document { { "version", 7 },
        { "routes",
            json::array { json::object { { "name", "consulta-estado" }, { "host", "h.example" }, { "prefix", "/read/" }, { "kind", "idempotent" }, { "service", "tramites-app" }, { "timeoutMs", 1200 }, { "goalMs", 150 }, { "priority", 2 }, { "attempts", 2 }, { "public", false } } } },
        { "services", json::array { json::object { { "name", "tramites-app" }, { "healthPath", "/healthz" }, { "maxConns", 110 } } } },
        { "limits", json::object { { "headerBytes", 16384 }, { "bodyBytes", 4194304 }, { "headerMs", 3000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants", json::array { json::object { { "name", "t1" }, { "apiKeys", json::array { "k1" } }, { "perS", 0 }, { "burst", 0 } } } } };
    return json::serialize(document);
}

std::string headOf(const std::string& id, const std::string& framing)
{
    return "POST /read/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 2500\r\nAuthorization: Token k1\r\n" + framing + "\r\n\r\n";
}

/// Opens the channels and sends a body on each, but for its end. Returns how many were sent whole; all stay open until the end of the process.
int openCrowd(const Gateway& gateway)
{
    std::string chunk = "2000\r\n" + std::string(chunkBytes, 'x') + "\r\n";
    std::string body;
    for (int i = 0; i < chunks; ++i)
        body += chunk;
    body += chunk.substr(0, chunk.size() / 2);
    sockaddr_in address = addressOf(gateway.ip(), gateway.frontPort());
    std::vector<int> sockets;
    int sent = 0;
    for (int i = 0; i < channels; ++i) {
        int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        timeval limit { .tv_sec = 2, .tv_usec = 0 };
        ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        if (socket < 0 || ::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address))
            break;
        sent += sendAll(socket, headOf("crowd" + std::to_string(i), "Transfer-Encoding: chunked\r\nCookie: " + std::string(cookieBytes, 'c')) + body);
        sockets.push_back(socket);
        if (sockets.size() % 100 == 0)
            sleepFor(0.04); // The instance accepts what has come so far.
    }
    return sent;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        cannotRun("usage: bodies FOLDER");
    ::signal(SIGPIPE, SIG_IGN);
    rlimit descriptors {};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    if (descriptors.rlim_cur < 8200)
        cannotRun("fewer than 8,200 descriptors are allowed");
    Record record(std::string(argv[1]) + "/record.txt");
    now();
    Store store;
    Worker worker([&](Call& call) {
        sleepFor(0.03);
        return call.answer(200, "done");
    });
    store.put("servers", "i-1", workerEntry("tramites-app", worker.address(), 6));
    store.put("op", "config", configuration());
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 0; i < instances; ++i) {
        gateways.push_back(std::make_unique<Gateway>("front-" + std::to_string(i + 1), "127.0.0." + std::to_string(i + 1), store.port(), machine, std::vector<std::string> {}));
        gateways.back()->start();
    }
    for (const auto& gateway : gateways)
        waitUntilReady(*gateway);
    record.line("the instances are ready");

    std::vector<int> ends(instances, 0);
    std::vector<pid_t> crowds;
    std::vector<std::thread> machines;
    std::mutex mutex;
    for (int i = 0; i < instances; ++i) {
        machines.emplace_back([&, i] {
            Gateway& gateway = *gateways[i];
            for (int round = 0; round < rounds; ++round) {
                Seen calm = ask(gateway.ip(), gateway.frontPort(), headOf("calm" + std::to_string(i) + "-" + std::to_string(round), "Content-Length: 0"), 2.5);
                record.line(gateway.name() + " before the crowd: an ordinary client got " + (calm.status.empty() ? "no answer" : calm.status) + ", memory " + std::to_string(gateway.memory()) + " MB");
                std::thread crowd;
                int reports[2];
                if (::pipe(reports))
                    cannotRun("no pipe");
                pid_t pid = 0;
                if (hasTrouble()) {
                    pid = ::fork();
                    if (!pid) {
                        int sent = openCrowd(gateway);
                        (void)!::write(reports[1], &sent, sizeof sent);
                        ::pause();
                        std::_Exit(0);
                    }
                    std::lock_guard lock(mutex);
                    crowds.push_back(pid);
                }
                double from = now();
                double peak = 0;
                bool isOver = false;
                while (now() < from + 13 && !isOver) {
                    peak = std::max(peak, gateway.memory());
                    isOver = peak > machine.memoryMegabytes || !gateway.isRunning();
                    sleepFor(0.01);
                }
                int sent = -1;
                pollfd watched { .fd = reports[0], .events = POLLIN, .revents = 0 };
                if (::poll(&watched, 1, 0) > 0)
                    (void)!::read(reports[0], &sent, sizeof sent);
                record.line(gateway.name() + " round " + std::to_string(round + 1) + ": memory " + std::to_string(peak) + " MB at most, of " + std::to_string(machine.memoryMegabytes) + " MB; bodies sent but for their end " + (sent < 0 ? "not known yet" : std::to_string(sent)));
                record.line(gateway.name() + " states " + metricOf(gateway, "limpetpond_caller_connections") + " channels of clients, " + metricOf(gateway, "limpetpond_request_body_bytes") + " bytes of bodies, " + metricOf(gateway, "limpetpond_refused_bodies_total") + " bodies refused");
                if (isOver) {
                    ++ends[i];
                    record.line("the platform ends " + gateway.name() + ", which exceeds its memory");
                    gateway.stop();
                }
                if (pid) {
                    ::kill(pid, SIGKILL);
                    ::waitpid(pid, nullptr, 0);
                }
                ::close(reports[0]);
                ::close(reports[1]);
                if (isOver) {
                    sleepFor(1);
                    gateway.start();
                    waitUntilReady(gateway);
                }
            }
        });
    }
    for (std::thread& thread : machines)
        thread.join();
    bool broken = std::all_of(ends.begin(), ends.end(), [](int count) { return count >= rounds; });
    for (int i = 0; i < instances; ++i) {
        record.line(gateways[i]->name() + " ended for its memory " + std::to_string(ends[i]) + " times");
        gateways[i]->stop();
    }
    record.line(broken ? "BROKEN" : "held");
    std::cout << (broken ? "broken" : "held") << std::endl;
    gateways.clear();
    std::_Exit(broken ? exitBroken : exitHeld);
}
