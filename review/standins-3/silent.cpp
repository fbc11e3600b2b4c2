/// A worker falls silent for a second or so (SIGSTOP, then SIGCONT) and goes on.
///
///     silent FOLDER

#include "Stage.h"

using namespace stage;

namespace {

constexpr int workersOfService = 3;
constexpr int pieces = 12;
constexpr double pause = 0.1; ///< Between two pieces.
constexpr int clients = 8;
constexpr double deadlineSeconds = 8;
constexpr double silence = 1.3;
constexpr int silences = 3;
constexpr double stillAtWork = 0.4; ///< After the request went on at another worker.

std::string configuration()
{
    json::object document { { "version", 7 },
        { "routes",
            json::array { json::object { { "name", "permit-draft" }, { "host", "h.example" }, { "prefix", "/draft/" }, { "kind", "streaming" }, { "service", "model-pool" }, { "timeoutMs", 8000 }, { "goalMs", 600 }, { "gapTargetMs", 300 }, { "priority", 0 }, { "attempts", 2 }, { "public", false }, { "sticky", true }, { "resumable", true } } } },
        { "services", json::array { json::object { { "name", "model-pool" }, { "healthPath", "/healthz" }, { "maxConns", 620 } } } },
        { "limits", json::object { { "headerBytes", 16384 }, { "bodyBytes", 4194304 }, { "headerMs", 3000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants", json::array { json::object { { "name", "t1" }, { "apiKeys", json::array { "k1" } }, { "perS", 0 }, { "burst", 0 } } } } };
    return json::serialize(document);
}

std::string requestOf(const std::string& id)
{
    return "POST /draft/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 8000\r\nX-Model: m\r\nX-Token-Count: 800,60\r\nX-Prompt-Prefix: 5c1e07a2:60,e4402b7d:740\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n";
}

std::string workFolder; ///< Of the workers' notes on what they did.

/// Appends a line to this worker's notes.
void note(const Call& call, const std::string& what)
{
    static std::mutex mutex;
    std::lock_guard lock(mutex);
    static std::ofstream file(workFolder + "/" + std::to_string(::getpid()));
    char time[32];
    std::snprintf(time, sizeof time, "%.3f ", now());
    file << time << call.id() << ' ' << what << std::endl;
}

bool hasLeft(int socket)
{
    char byte;
    return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/// Streams the pieces after `Last-Event-Id` in chunks, and drops the request when its channel closes.
bool stream(Call& call)
{
    int first = std::atoi(fieldOf(call.head, "Last-Event-Id").c_str()) + 1;
    note(call, "begun " + std::to_string(first));
    if (!sendAll(call.socket, "HTTP/1.1 200 OK\r\n" + call.ownFields() + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
        return false;
    for (int piece = first; piece <= pieces; ++piece) {
        sleepFor(pause);
        std::string event = "id: " + std::to_string(piece) + "\ndata: piece " + std::to_string(piece) + " of " + std::to_string(pieces) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        note(call, "made " + std::to_string(piece));
        if (!sendAll(call.socket, size + event + "\r\n") || hasLeft(call.socket)) {
            note(call, "dropped");
            return false;
        }
    }
    note(call, "done");
    return sendAll(call.socket, "0\r\n\r\n");
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
        cannotRun("usage: silent FOLDER");
    ::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argv[1]) + "/record.txt");
    now();
    workFolder = std::filesystem::temp_directory_path().string() + "/review3-XXXXXX";
    if (!::mkdtemp(workFolder.data()))
        cannotRun("no temporary folder");
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
    for (int i = 0; i < silences; ++i) {
        if (hasTrouble()) {
            ::kill(workers[0].pid, SIGSTOP);
            record.line("worker i-0 falls silent");
        }
        sleepFor(silence);
        if (hasTrouble()) {
            ::kill(workers[0].pid, SIGCONT);
            record.line("worker i-0 goes on");
        }
        sleepFor(4);
    }
    isOver = true;
    for (std::thread& thread : threads)
        thread.join();
    gateway.stop();
    for (const WorkerProcess& worker : workers)
        ::kill(worker.pid, SIGKILL);

    // What each worker did with each request: when it began, and when it last made a piece of it.
    struct Work {
        double begunAt { 0 };
        double madeAt { 0 };
    };
    std::map<std::string, std::map<int, Work>> work;
    for (int i = 0; i < workersOfService; ++i) {
        std::ifstream notes(workFolder + "/" + std::to_string(workers[i].pid));
        std::string id;
        std::string what;
        for (double at = 0; notes >> at >> id && std::getline(notes, what);) {
            Work& done = work[id][i];
            (what.starts_with(" begun") ? done.begunAt : done.madeAt) = what.starts_with(" made") || what.starts_with(" begun") ? at : done.madeAt;
        }
    }
    int moved = 0;
    int twice = 0;
    for (const auto& [id, byWorker] : work) {
        moved += byWorker.size() > 1;
        for (const auto& [i, before] : byWorker) {
            for (const auto& [j, after] : byWorker) {
                if (i == j || before.begunAt > after.begunAt || before.madeAt < after.begunAt + stillAtWork)
                    continue;
                ++twice;
                record.line("request " + id + " went on at worker i-" + std::to_string(j) + " at " + std::to_string(after.begunAt) + "; worker i-" + std::to_string(i) + " made a piece of it at " + std::to_string(before.madeAt));
            }
        }
    }
    std::filesystem::remove_all(workFolder);
    record.line("streams that were whole: " + std::to_string(whole) + ", not whole: " + std::to_string(cut + brokenOff) + "; moved to another worker: " + std::to_string(moved) + "; moved while the worker before was still at work 400 ms later: " + std::to_string(twice));
    bool broken = twice > 0;
    record.line(broken ? "BROKEN" : "held");
    std::cout << (broken ? "broken" : "held") << std::endl;
    std::_Exit(broken ? exitBroken : exitHeld);
}
