/// Workers answer plain calls with neither a length nor chunks, as our pages allow, the body in two writes. One of them crashes.
///
///     partial FOLDER

#include "Stage.h"

using namespace stage;

namespace {

constexpr int workersOfService = 3;
constexpr std::size_t bodyBytes = 800;
constexpr double workTime = 0.06;
constexpr double timeBetweenWrites = 0.06;
constexpr int clients = 18;
constexpr double deadlineSeconds = 1.5;
constexpr double expirySeconds = 3.6; ///< Three intervals of status reports, after which the entry of a silent worker is removed.

std::string configuration()
{
    json::object document { { "version", 7 },
        { "routes",
            json::array { json::object { { "name", "tag-register" }, { "host", "h.example" }, { "prefix", "/pay/" }, { "kind", "non_idempotent" }, { "service", "registry-app" }, { "timeoutMs", 1500 }, { "goalMs", 300 }, { "priority", 2 }, { "attempts", 1 }, { "public", false } } } },
        { "services", json::array { json::object { { "name", "registry-app" }, { "healthPath", "/healthz" }, { "maxConns", 96 } } } },
        { "limits", json::object { { "headerBytes", 16384 }, { "bodyBytes", 4194304 }, { "headerMs", 3000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants", json::array { json::object { { "name", "t1" }, { "apiKeys", json::array { "k1" } }, { "perS", 0 }, { "burst", 0 } } } } };
    return json::serialize(document);
}

std::string requestOf(const std::string& id)
{
    return "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n";
}

/// Answers with a body of which the first half is written first; the answer ends with its channel.
bool answer(Call& call)
{
    sleepFor(workTime);
    if (!sendAll(call.socket, "HTTP/1.1 200 OK\r\n" + call.ownFields() + "Content-Type: text/plain\r\nConnection: close\r\n\r\n" + std::string(bodyBytes / 2, 'a')))
        return false;
    sleepFor(timeBetweenWrites);
    sendAll(call.socket, std::string(bodyBytes / 2, 'b'));
    return false;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        cannotRun("usage: partial FOLDER");
    ::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argv[1]) + "/record.txt");
    now();
    std::vector<WorkerProcess> workers;
    for (int i = 0; i < workersOfService; ++i)
        workers.push_back(startWorker(answer));
    Store store;
    auto putEntry = [&](int i, int sequence) { store.put("servers", "i-" + std::to_string(i), workerEntry("registry-app", workers[i].address, 6, sequence)); };
    for (int i = 0; i < workersOfService; ++i)
        putEntry(i, 1);
    store.put("op", "config", configuration());
    Gateway gateway("front-1", "127.0.0.1", store.port());
    gateway.start();
    waitUntilReady(gateway);
    record.line("the gateway is ready");

    std::atomic<bool> isOver { false };
    std::atomic<int> whole { 0 };
    std::atomic<int> cut { 0 };
    std::atomic<int> other { 0 };
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] {
            sleepFor(0.017 * i);
            for (int n = 0; !isOver; ++n) {
                std::string id = "c" + std::to_string(i) + "-" + std::to_string(n);
                Seen seen = ask(gateway.ip(), gateway.frontPort(), requestOf(id), deadlineSeconds);
                bool isCut = seen.status == "200" && seen.isWhole && seen.body != std::string(bodyBytes / 2, 'a') + std::string(bodyBytes / 2, 'b');
                whole += seen.status == "200" && seen.isWhole && !isCut;
                cut += isCut;
                other += !isCut && (seen.status != "200" || !seen.isWhole);
                record.line("client " + id + " got " + (seen.status.empty() ? "no answer" : seen.status) + ", " + std::to_string(seen.body.size()) + " bytes" + (seen.isWhole ? ", complete" : ", not complete") + (isCut ? " - NOT THE WORKER'S WHOLE BODY" : ""));
                sleepFor(0.05);
            }
        });
    }
    sleepFor(4.05);
    if (hasTrouble()) {
        ::kill(workers[0].pid, SIGKILL);
        ::waitpid(workers[0].pid, nullptr, 0);
        record.line("worker i-0 crashes");
    }
    sleepFor(expirySeconds);
    if (hasTrouble())
        store.drop("servers", "i-0");
    sleepFor(2);
    isOver = true;
    for (std::thread& thread : threads)
        thread.join();
    gateway.stop();
    for (const WorkerProcess& worker : workers)
        ::kill(worker.pid, SIGKILL);
    record.line("answers 200 that were whole: " + std::to_string(whole) + "; passed on as complete with a part of the body: " + std::to_string(cut) + "; other: " + std::to_string(other));
    bool broken = cut > 0;
    record.line(broken ? "BROKEN" : "held");
    std::cout << (broken ? "broken" : "held") << std::endl;
    std::_Exit(broken ? exitBroken : exitHeld);
}
