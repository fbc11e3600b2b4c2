/// Workers send their streams with neither a length nor chunks, as our pages allow. One of them crashes.
///
///     cut FOLDER

#include "Stage.h"

using namespace stage;

namespace {

constexpr int workersOfService = 3;
constexpr int pieces = 12;
constexpr double pause = 0.1; ///< Between two pieces.
constexpr int clients = 8;
constexpr double deadlineSeconds = 8;
constexpr double expirySeconds = 3.6; ///< Three intervals of status reports, after which the entry of a silent worker is removed.

std::string configuration()
{
    json::object document { { "version", 7 },
        { "routes",
            json::array { json::object { { "name", "permit-draft" }, { "host", "h.example" }, { "prefix", "/draft/" }, { "kind", "streaming" }, { "service", "model-pool" }, { "timeoutMs", 8000 }, { "goalMs", 600 }, { "gapTargetMs", 400 }, { "priority", 0 }, { "attempts", 2 }, { "public", false }, { "sticky", true }, { "resumable", true } } } },
        { "services", json::array { json::object { { "name", "model-pool" }, { "healthPath", "/healthz" }, { "maxConns", 620 } } } },
        { "limits", json::object { { "headerBytes", 16384 }, { "bodyBytes", 4194304 }, { "headerMs", 3000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants", json::array { json::object { { "name", "t1" }, { "apiKeys", json::array { "k1" } }, { "perS", 0 }, { "burst", 0 } } } } };
    return json::serialize(document);
}

std::string requestOf(const std::string& id)
{
    return "POST /draft/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 8000\r\nX-Model: m\r\nX-Token-Count: 800,60\r\nX-Prompt-Prefix: 5c1e07a2:60,e4402b7d:740\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n";
}

/// Streams the pieces after `Last-Event-Id`; the answer ends with its channel.
bool stream(Call& call)
{
    int first = std::atoi(fieldOf(call.head, "Last-Event-Id").c_str()) + 1;
    if (!sendAll(call.socket, "HTTP/1.1 200 OK\r\n" + call.ownFields() + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"))
        return false;
    for (int piece = first; piece <= pieces; ++piece) {
        sleepFor(pause);
        if (!sendAll(call.socket, "id: " + std::to_string(piece) + "\ndata: piece " + std::to_string(piece) + " of " + std::to_string(pieces) + "\n\n"))
            return false;
    }
    return false;
}

/// The pieces in the chunked body of a stream, in order.
std::vector<int> piecesOf(const std::string& body)
{
    std::vector<int> found;
    for (std::size_t at = body.find("id: "); at != std::string::npos; at = body.find("id: ", at + 1))
        found.push_back(std::atoi(body.c_str() + at + 4));
    return found;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        cannotRun("usage: cut FOLDER");
    ::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argv[1]) + "/record.txt");
    now();
    std::vector<WorkerProcess> workers;
    for (int i = 0; i < workersOfService; ++i)
        workers.push_back(startWorker(stream));
    Store store;
    auto putEntry = [&](int i, int sequence) { store.put("servers", "i-" + std::to_string(i), workerEntry("model-pool", workers[i].address, 6, sequence)); };
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
    std::atomic<int> brokenOff { 0 };
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] {
            sleepFor(0.13 * i);
            for (int n = 0; !isOver; ++n) {
                std::string id = "c" + std::to_string(i) + "-" + std::to_string(n);
                Seen seen = ask(gateway.ip(), gateway.frontPort(), requestOf(id), deadlineSeconds);
                std::vector<int> found = piecesOf(seen.body);
                bool isInOrder = true;
                for (std::size_t k = 0; k < found.size(); ++k)
                    isInOrder = isInOrder && found[k] == static_cast<int>(k) + 1;
                bool isCut = seen.status == "200" && seen.isWhole && (found.size() != pieces || !isInOrder);
                whole += seen.status == "200" && seen.isWhole && !isCut;
                cut += isCut;
                brokenOff += !seen.isWhole;
                record.line("client " + id + " got " + (seen.status.empty() ? "no answer" : seen.status) + ", pieces " + std::to_string(found.size()) + " of " + std::to_string(pieces) + (seen.isWhole ? ", ended as complete" : ", not complete") + (isCut ? " - CUT" : ""));
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
    sleepFor(3);
    isOver = true;
    for (std::thread& thread : threads)
        thread.join();
    gateway.stop();
    for (const WorkerProcess& worker : workers)
        ::kill(worker.pid, SIGKILL);
    record.line("streams that were whole: " + std::to_string(whole) + "; ended as complete before their last piece: " + std::to_string(cut) + "; not complete: " + std::to_string(brokenOff));
    bool broken = cut > 0;
    record.line(broken ? "BROKEN" : "held");
    std::cout << (broken ? "broken" : "held") << std::endl;
    std::_Exit(broken ? exitBroken : exitHeld);
}
