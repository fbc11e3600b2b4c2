/// One part of prompts crashes each worker that begins to write an answer on it: the worker's first write holds the head of the
/// answer and its first events, then the worker crashes. Sound requests go on beside such ones.
///
///     poison FOLDER
///
/// EVENTS in the environment: how many events the first write holds (2).

#include "Stage.h"
#include <algorithm>
#include <random>
#include <set>

using namespace stage;

namespace {

constexpr int instances = 4;
constexpr int workersOfService = 3;
constexpr double firstEventTime = 0.08;
constexpr double timeBetweenEvents = 0.03; ///< Between two events.
constexpr int events = 6;
constexpr double downTime = 3;
constexpr double soundPerSecond = 20;
constexpr double crashingPerSecond = 10;
constexpr double calmTime = 8;
constexpr double troubleTime = 32;
constexpr double stableSeconds = 3;
constexpr std::size_t crashesBefore = 5; ///< After the fifth crash the rules begin to bind.
constexpr int allowedLate = 3;
constexpr int minCounted = 20;
const std::string crashingPart = "bad0bad0";

std::string configuration()
{
    json::object document { { "version", 7 },
        { "routes",
            json::array { json::object { { "name", "aviso-explica" }, { "host", "h.example" }, { "prefix", "/draft/" }, { "kind", "streaming" }, { "service", "redactor-lm" }, { "timeoutMs", 8000 }, { "goalMs", 600 }, { "gapTargetMs", 400 }, { "priority", 2 }, { "attempts", 2 }, { "public", false }, { "sticky", true }, { "resumable", true } } } },
        { "services", json::array { json::object { { "name", "redactor-lm" }, { "healthPath", "/healthz" }, { "maxConns", 620 } } } },
        { "limits", json::object { { "headerBytes", 16384 }, { "bodyBytes", 4194304 }, { "headerMs", 3000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants", json::array { json::object { { "name", "t1" }, { "apiKeys", json::array { "k1" } }, { "perS", 0 }, { "burst", 0 } } } } };
    return json::serialize(document);
}

std::string eventOf(int id)
{
    std::string text = "id: " + std::to_string(id) + "\ndata: x\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

/// A worker that can crash: all its connections end, and new ones are refused until it is back at its address.
class CrashingWorker {
public:
    using Handler = std::function<bool(CrashingWorker&, Call&)>;

    explicit CrashingWorker(Handler handler)
        : m_handler(std::move(handler))
    {
        listen();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    bool isDown() const { return m_isDown; }
    /// True if it had not crashed yet.
    bool crash()
    {
        if (m_isDown.exchange(true))
            return false;
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        std::lock_guard lock(m_mutex);
        for (int socket : m_sockets)
            ::shutdown(socket, SHUT_RDWR);
        std::thread([this] {
            sleepFor(downTime);
            m_isDown = false;
            listen();
        }).detach();
        return true;
    }

private:
    void listen()
    {
        m_listener = listenOn("127.0.0.1", m_port);
        std::thread([this, listener = m_listener.load()] {
            while (true) {
                int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (socket < 0)
                    return;
                std::thread([this, socket] { serve(socket); }).detach();
            }
        }).detach();
    }
    void serve(int socket)
    {
        {
            std::lock_guard lock(m_mutex);
            m_sockets.insert(socket);
        }
        std::string input;
        while (!m_isDown) {
            std::optional<Message> message = readMessage(socket, input);
            if (!message || m_isDown)
                break;
            Call call { .socket = socket, .head = message->head, .body = message->body };
            if (!m_handler(*this, call))
                break;
        }
        std::lock_guard lock(m_mutex);
        m_sockets.erase(socket);
        ::close(socket);
    }
    Handler m_handler;
    int m_port { 0 };
    std::atomic<int> m_listener { -1 };
    std::atomic<bool> m_isDown { false };
    std::mutex m_mutex;
    std::set<int> m_sockets;
};

struct SoundRequest {
    std::string id;
    double sentAt { 0 };
    bool isExcused { false }; ///< It got 429.
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        cannotRun("usage: poison FOLDER");
    ::signal(SIGPIPE, SIG_IGN);
    const char* wanted = std::getenv("EVENTS");
    int eventsBeforeCrash = wanted ? std::atoi(wanted) : 2;
    Record record(std::string(argv[1]) + "/record.txt");
    now();
    std::mutex mutex;
    std::vector<double> crashes;
    std::vector<double> crashingArrivals;
    std::set<std::string> begun;
    auto handle = [&](CrashingWorker& worker, Call& call) {
        bool isCrashing = fieldOf(call.head, "X-Prompt-Prefix").find(crashingPart) != std::string::npos;
        if (isCrashing) {
            std::lock_guard lock(mutex);
            crashingArrivals.push_back(now());
        }
        sleepFor(firstEventTime);
        if (worker.isDown())
            return false;
        std::string text = "HTTP/1.1 200 OK\r\n" + call.ownFields() + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if (isCrashing) {
            for (int id = 1; id <= eventsBeforeCrash; ++id)
                text += eventOf(id);
            sendAll(call.socket, text);
            if (worker.crash()) {
                record.line("worker " + worker.address() + " crashes on " + call.id());
                std::lock_guard lock(mutex);
                crashes.push_back(now());
            }
            return false;
        }
        {
            std::lock_guard lock(mutex);
            begun.insert(call.id());
        }
        sendAll(call.socket, text);
        for (int id = 1; id <= events; ++id) {
            if (worker.isDown() || !sendAll(call.socket, eventOf(id)))
                return false;
            sleepFor(timeBetweenEvents);
        }
        return sendAll(call.socket, "0\r\n\r\n");
    };
    Store store;
    std::vector<std::unique_ptr<CrashingWorker>> workers;
    for (int i = 0; i < workersOfService; ++i) {
        workers.push_back(std::make_unique<CrashingWorker>(handle));
        store.put("servers", "i-" + std::to_string(i), workerEntry("redactor-lm", workers.back()->address(), 6));
    }
    store.put("op", "config", configuration());
    std::vector<std::unique_ptr<Gateway>> gateways;
    int peerPort = freePorts("0.0.0.0", 40) + 22;
    for (int i = 0; i < instances; ++i) {
        gateways.push_back(std::make_unique<Gateway>("front-" + std::to_string(i), "127.0.0." + std::to_string(i + 1), store.port(), Machine {}, std::vector<std::string> { "127.0.0.1", "127.0.0.2", "127.0.0.3" }, peerPort));
        gateways.back()->start();
    }
    for (const auto& gateway : gateways)
        waitUntilReady(*gateway);
    record.line("the instances are ready");
    sleepFor(stableSeconds);

    std::atomic<bool> isTrouble { false };
    std::atomic<bool> isOver { false };
    std::atomic<int> lastNumber { 0 };
    std::mt19937 random(std::random_device {}());
    std::vector<SoundRequest> sound;
    int refusedCrashing = 0;
    auto askOnce = [&](bool isCrashing) {
        int number = ++lastNumber;
        std::size_t instance = 0;
        int shared = 0;
        {
            std::lock_guard lock(mutex);
            instance = random() % instances;
            shared = static_cast<int>(random() % 8);
        }
        std::string id = (isCrashing ? "p" : "s") + std::to_string(number);
        std::string parts = "5c1e07a" + std::to_string(shared) + ":60," + (isCrashing ? crashingPart + ":100," : "") + std::to_string(70000000 + number) + ":500";
        std::string text = "POST /draft/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 8000\r\nX-Model: m\r\nX-Token-Count: 700,30\r\nX-Prompt-Prefix: " + parts + "\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n";
        Seen seen = ask(gateways[instance]->ip(), gateways[instance]->frontPort(), text, 8);
        std::string reason = fieldOf(seen.head, "Limpetpond-Reason");
        record.line("client " + id + " got " + (seen.status.empty() ? "no answer" : seen.status) + (reason.empty() ? "" : " (" + reason + ")") + (seen.isWhole ? "" : ", not whole") + " after " + std::to_string(seen.endedAt - seen.startedAt) + " s");
        std::lock_guard lock(mutex);
        if (isCrashing)
            refusedCrashing += seen.status == "503";
        else
            sound.push_back({ .id = id, .sentAt = seen.startedAt, .isExcused = seen.status == "429" });
    };
    auto sendAtRate = [&](double perSecond, bool isCrashing) {
        std::vector<std::thread> requests;
        for (double next = now(); !isOver; next += 1 / perSecond) {
            if (!isCrashing || isTrouble)
                requests.emplace_back(askOnce, isCrashing);
            sleepFor(std::max(next + 1 / perSecond - now(), 0.0));
        }
        for (std::thread& request : requests)
            request.join();
    };
    std::thread soundClients(sendAtRate, soundPerSecond, false);
    std::thread crashingClients(sendAtRate, crashingPerSecond, true);
    sleepFor(calmTime);
    double troubleAt = now();
    isTrouble = hasTrouble();
    sleepFor(troubleTime);
    isOver = true;
    soundClients.join();
    crashingClients.join();
    for (const auto& gateway : gateways)
        gateway->stop();

    std::lock_guard lock(mutex);
    double fifth = crashes.empty() ? troubleAt : crashes[std::min(crashesBefore, crashes.size()) - 1];
    auto late = std::count_if(crashingArrivals.begin(), crashingArrivals.end(), [&](double at) { return crashes.size() >= crashesBefore && at > fifth + stableSeconds; });
    int before = 0;
    int beforeBegun = 0;
    int after = 0;
    int afterBegun = 0;
    for (const SoundRequest& request : sound) {
        if (request.isExcused)
            continue;
        bool hasBegun = begun.contains(request.id);
        if (request.sentAt < troubleAt - 1) {
            ++before;
            beforeBegun += hasBegun;
        } else if (request.sentAt > fifth + 2 * stableSeconds && request.sentAt < troubleAt + troubleTime) {
            ++after;
            afterBegun += hasBegun;
        }
    }
    record.line("crashes: " + std::to_string(crashes.size()) + "; the fifth (or last) " + std::to_string(fifth - troubleAt) + " s after the first request with the part; such requests refused with 503: " + std::to_string(refusedCrashing));
    record.line("requests with the part that reached workers later than 3 s after the fifth crash: " + std::to_string(late) + ", allowed: 3");
    record.line("sound requests that a worker began at the first attempt: " + std::to_string(beforeBegun) + " of " + std::to_string(before) + " before, " + std::to_string(afterBegun) + " of " + std::to_string(after) + " from 6 s after the fifth crash");
    bool isLost = before >= minCounted && after >= minCounted && 2.0 * afterBegun / after < 1.0 * beforeBegun / before;
    bool broken = isLost || late > allowedLate;
    record.line(std::string("LOST ") + (isLost ? "broken" : "held") + ", BUDGET " + (late > allowedLate ? "broken" : "held"));
    record.line(broken ? "BROKEN" : "held");
    std::cout << (broken ? "broken" : "held") << std::endl;
    std::_Exit(broken ? exitBroken : exitHeld);
}
