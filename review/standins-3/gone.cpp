/// Clients that aren't controlled leave many chunked bodies open, while ordinary clients send requests and leave at their
/// deadline: do these requests reach a worker later?
///
///     gone FOLDER

#include "Stage.h"

using namespace stage;

namespace {

constexpr int ordinaryClients = 10;
constexpr double deadlineSeconds = 1.5;
constexpr double stableSeconds = 3.0;
constexpr int channels = 3400; ///< Of the crowd; fewer than the descriptors of the machine.
constexpr double lateSeconds = 0.5;
constexpr int aFew = 5; ///< "more than a few requests"

std::string configuration()
{
    json::object document { { "version", 7 },
        { "routes",
            json::array { json::object { { "name", "tag-register" }, { "host", "h.example" }, { "prefix", "/pay/" }, { "kind", "non_idempotent" }, { "service", "registry-app" }, { "timeoutMs", 1500 }, { "goalMs", 300 }, { "priority", 2 }, { "attempts", 1 }, { "public", false } },
                json::object { { "name", "herd-read" }, { "host", "h.example" }, { "prefix", "/read/" }, { "kind", "idempotent" }, { "service", "registry-app" }, { "timeoutMs", 1500 }, { "goalMs", 300 }, { "priority", 2 }, { "attempts", 2 }, { "public", false } } } },
        { "services", json::array { json::object { { "name", "registry-app" }, { "healthPath", "/healthz" }, { "maxConns", 96 } } } },
        { "limits", json::object { { "headerBytes", 16384 }, { "bodyBytes", 4194304 }, { "headerMs", 3000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants", json::array { json::object { { "name", "t1" }, { "apiKeys", json::array { "k1" } }, { "perS", 0 }, { "burst", 0 } } } } };
    return json::serialize(document);
}

std::string headOf(const std::string& path, const std::string& id, const std::string& framing)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token k1\r\n" + framing + "\r\n\r\n";
}

/// Opens channels and sends a chunked body on each, up to just before its last chunk. All stay open.
class Crowd {
public:
    Crowd(const Gateway& gateway, int channels)
        : m_address(addressOf(gateway.ip(), gateway.frontPort()))
        , m_channels(channels)
    {
    }
    void open()
    {
        constexpr int atOnce = 100;
        for (int i = 0; i < m_channels; i += atOnce) {
            for (int j = i; j < std::min(i + atOnce, m_channels); ++j) {
                int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
                if (socket < 0)
                    cannotRun("no descriptor for the crowd");
                ::connect(socket, reinterpret_cast<const sockaddr*>(&m_address), sizeof m_address);
                m_sockets.push_back(socket);
            }
            sleepFor(0.03);
            for (std::size_t j = static_cast<std::size_t>(i); j < m_sockets.size(); ++j) {
                std::string text = headOf("/read/x", "crowd" + std::to_string(j), "Transfer-Encoding: chunked") + "10\r\n0123456789abcdef\r\n10\r\n0123456789abcdef\r\n";
                m_sent += ::send(m_sockets[j], text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
            }
        }
    }
    int sent() const { return m_sent; }

private:
    sockaddr_in m_address;
    int m_channels;
    int m_sent { 0 };
    std::vector<int> m_sockets;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        cannotRun("usage: gone FOLDER");
    ::signal(SIGPIPE, SIG_IGN);
    rlimit descriptors {};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    if (descriptors.rlim_cur < 4100)
        cannotRun("fewer than 4,100 descriptors are allowed");
    Record record(std::string(argv[1]) + "/record.txt");
    now();

    std::mutex mutex;
    std::map<std::string, double> ranAt;
    Store store;
    auto handle = [&](Call& call) {
        {
            std::lock_guard lock(mutex);
            ranAt.try_emplace(call.id(), now());
        }
        record.line("worker runs " + call.id());
        sleepFor(0.06);
        return call.answer(200, "done");
    };
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < 3; ++i) {
        workers.push_back(std::make_unique<Worker>(handle));
        store.put("servers", "i-" + std::to_string(i), workerEntry("registry-app", workers.back()->address(), 6));
    }
    store.put("op", "config", configuration());
    Machine machine;
    Gateway gateway("front-1", "127.0.0.1", store.port(), machine);
    gateway.start();
    waitUntilReady(gateway);
    record.line("the gateway is ready; ramMb " + std::to_string(machine.memoryMegabytes) + ", maxFds " + std::to_string(machine.descriptors));

    std::atomic<bool> isOver { false };
    std::vector<Seen> attempts;
    std::vector<std::string> ids;
    std::vector<std::thread> clients;
    for (int i = 0; i < ordinaryClients; ++i) {
        clients.emplace_back([&, i] {
            for (int n = 0; !isOver; ++n) {
                std::string id = "c" + std::to_string(i) + "-" + std::to_string(n);
                Seen seen = ask(gateway.ip(), gateway.frontPort(), headOf("/pay/x", id, "Content-Length: 0"), deadlineSeconds);
                record.line("client " + id + (seen.isConnected ? "" : " got no channel,") + (seen.status.empty() ? " left without an answer" : " got " + seen.status) + " after " + std::to_string(seen.endedAt - seen.startedAt) + " s");
                {
                    std::lock_guard lock(mutex);
                    attempts.push_back(seen);
                    ids.push_back(id);
                }
                sleepFor(0.3);
            }
        });
    }
    std::thread platform([&] {
        while (!isOver) {
            record.line(isReady(gateway) ? "ready: 200" : "ready: no 200");
            sleepFor(1);
        }
    });
    // Calm first, so that the machine is in touch.
    sleepFor(stableSeconds + 1);
    Crowd crowd(gateway, channels);
    if (hasTrouble()) {
        crowd.open();
        record.line("the crowd has sent " + std::to_string(crowd.sent()) + " bodies but for their last chunk; the gateway holds " + std::to_string(gateway.memory()) + " MB");
    }
    sleepFor(22);
    isOver = true;
    for (std::thread& client : clients)
        client.join();
    platform.join();
    record.line(std::string("the process ") + (gateway.isRunning() ? "still runs" : "has ended") + ", peak memory " + std::to_string(gateway.memory("VmHWM:")) + " MB");

    int late = 0;
    double latest = 0;
    for (std::size_t i = 0; i < attempts.size(); ++i) {
        auto ran = ranAt.find(ids[i]);
        if (ran == ranAt.end() || !attempts[i].status.empty() || ran->second < attempts[i].endedAt + lateSeconds)
            continue;
        ++late;
        latest = std::max(latest, ran->second - attempts[i].endedAt);
    }
    record.line("requests that reached a worker over half a second after their client had closed its channel: " + std::to_string(late) + "; the latest " + std::to_string(latest) + " s after");
    bool broken = late > aFew;
    record.line(broken ? "BROKEN" : "held");
    gateway.stop();
    std::cout << (broken ? "broken" : "held") << std::endl;
    std::_Exit(broken ? exitBroken : exitHeld);
}
