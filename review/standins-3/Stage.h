#pragma once

/// The stage of the cases of the third review: the gateway program of the deploy file as a process, and small stand-ins of
/// the platform's store, of workers and of clients. All of them use loopback addresses and the real clock.

#include <arpa/inet.h>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace stage {

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCannotRun = 2;

/// Seconds since the start of the case.
inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// Writes the lines of `record.txt`, each with its time.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }
    void line(const std::string& text)
    {
        std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", now());
        m_file << time << text << '\n';
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

[[noreturn]] inline void cannotRun(const std::string& reason)
{
    std::cerr << "the case can't run: " << reason << '\n';
    std::_Exit(exitCannotRun);
}

inline sockaddr_in addressOf(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// A listening socket; port 0 selects a free one, which is returned in `port`.
inline int listenOn(const std::string& ip, int& port)
{
    int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = addressOf(ip, port);
    if (::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) || ::listen(listener, SOMAXCONN))
        cannotRun("no port at " + ip);
    socklen_t length = sizeof address;
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
    port = ntohs(address.sin_port);
    return listener;
}

/// The first of `count` free ports in a row, for TCP and UDP.
inline int freePorts(const std::string& ip, int count)
{
    for (int first = 21000 + (::getpid() % 500) * 20; first < 60000; first += count) {
        bool isFree = true;
        for (int type : { SOCK_STREAM, SOCK_DGRAM }) {
            for (int port = first; port < first + count && isFree; ++port) {
                int probe = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
                sockaddr_in address = addressOf(ip, port);
                isFree = !::bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address);
                ::close(probe);
            }
        }
        if (isFree)
            return first;
    }
    cannotRun("no free ports");
}

inline bool sendAll(int socket, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// The value of a header field of a head; empty if there is none.
inline std::string fieldOf(const std::string& head, const std::string& name)
{
    std::istringstream lines(head);
    for (std::string text; std::getline(lines, text);) {
        if (text.size() > name.size() && text[name.size()] == ':' && !::strncasecmp(text.c_str(), name.c_str(), name.size())) {
            std::string value = text.substr(name.size() + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of("\r\n ") + 1);
            return value;
        }
    }
    return "";
}

/// A received message: the head with its line ends, and the body.
struct Message {
    std::string head;
    std::string body;
};

/// Reads one message whose body has a length; nothing at the end of the connection.
inline std::optional<Message> readMessage(int socket, std::string& input)
{
    Message message;
    std::size_t end = 0;
    char buffer[16384];
    while ((end = input.find("\r\n\r\n")) == std::string::npos) {
        ssize_t count = ::recv(socket, buffer, sizeof buffer, 0);
        if (count <= 0)
            return std::nullopt;
        input.append(buffer, static_cast<std::size_t>(count));
    }
    message.head = input.substr(0, end + 2);
    input.erase(0, end + 4);
    std::size_t length = std::strtoul(fieldOf(message.head, "Content-Length").c_str(), nullptr, 10);
    while (input.size() < length) {
        ssize_t count = ::recv(socket, buffer, sizeof buffer, 0);
        if (count <= 0)
            return std::nullopt;
        input.append(buffer, static_cast<std::size_t>(count));
    }
    message.body = input.substr(0, length);
    input.erase(0, length);
    return message;
}

/// Accepts connections and serves each on a thread of its own.
class Server {
public:
    using Serve = std::function<void(int socket)>;

    Server(const std::string& ip, Serve serve)
        : m_serve(std::move(serve))
    {
        m_listener = listenOn(ip, m_port);
        std::thread([this] { accept(); }).detach();
    }
    int port() const { return m_port; }

private:
    void accept()
    {
        while (true) {
            int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, socket] {
                m_serve(socket);
                ::close(socket);
            }).detach();
        }
    }
    Serve m_serve;
    int m_port { 0 };
    int m_listener { -1 };
};

inline std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j)
            value = value << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j > bytes.size() ? '=' : digits[value >> (18 - 6 * j) & 63];
    }
    return text;
}

/// The platform's store: rows with versions, feeds and transactions under conditions.
class Store {
public:
    Store()
        : m_server("127.0.0.1", [this](int socket) { serve(socket); })
    {
    }
    int port() const { return m_server.port(); }

    /// Writes a row as the operator or a worker does.
    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        std::lock_guard lock(m_mutex);
        m_rows[table][key] = { base64(value), false, ++m_version };
        m_changed.notify_all();
    }
    void drop(const std::string& table, const std::string& key)
    {
        std::lock_guard lock(m_mutex);
        m_rows[table][key] = { "", true, ++m_version };
        m_changed.notify_all();
    }

private:
    struct Row {
        std::string value; ///< base64
        bool isDeleted { false };
        std::uint64_t version { 0 };
    };

    static json::object rowJson(const std::string& table, const std::string& key, const Row& row)
    {
        json::object object { { "table", table }, { "part", "" }, { "key", key }, { "objVer", row.version } };
        if (row.isDeleted)
            object["deleted"] = true;
        else
            object["value"] = row.value;
        return object;
    }

    json::object answerOf(json::array rows) const
    {
        return { { "rows", std::move(rows) }, { "hasMore", false }, { "objVer", m_version }, { "serverTimeMs", static_cast<std::int64_t>(now() * 1000) + 1000 } };
    }

    static std::string parameter(const std::string& path, const std::string& name)
    {
        std::size_t at = path.find(name + "=");
        return at == std::string::npos ? "" : path.substr(at + name.size() + 1, path.find_first_of("& ", at) - at - name.size() - 1);
    }

    bool hasChanges(const std::string& table, std::uint64_t after)
    {
        for (const auto& [key, row] : m_rows[table]) {
            if (row.version > after)
                return true;
        }
        return false;
    }

    json::object get(const std::string& path)
    {
        std::unique_lock lock(m_mutex);
        std::string table = parameter(path, "table");
        bool isFeed = path.find("/v1/rows-feed") != std::string::npos;
        std::uint64_t after = std::strtoull(parameter(path, "after").c_str(), nullptr, 10);
        std::string from = parameter(path, "from");
        if (isFeed)
            m_changed.wait_for(lock, std::chrono::milliseconds(std::atoi(parameter(path, "waitMs").c_str())), [&] { return hasChanges(table, after); });
        json::array rows;
        for (const auto& [key, row] : m_rows[table]) {
            if (isFeed ? row.version > after : !row.isDeleted && key >= from)
                rows.push_back(rowJson(table, key, row));
        }
        return answerOf(std::move(rows));
    }

    json::object transact(const std::string& body, int& status)
    {
        std::lock_guard lock(m_mutex);
        json::object call = json::parse(body).as_object();
        auto rowOf = [this](const json::value& entry) -> Row& { return m_rows[std::string(entry.at("table").as_string())][std::string(entry.at("key").as_string())]; };
        for (const json::value& condition : call.at("ifRev").as_array()) {
            const Row& row = rowOf(condition);
            if ((row.isDeleted ? 0 : row.version) != condition.at("objVer").to_number<std::uint64_t>())
                status = 412;
        }
        json::array rows;
        if (status == 412) {
            for (const json::value& condition : call.at("ifRev").as_array()) {
                if (const Row& row = rowOf(condition); row.version && !row.isDeleted)
                    rows.push_back(rowJson(std::string(condition.at("table").as_string()), std::string(condition.at("key").as_string()), row));
            }
            return answerOf(std::move(rows));
        }
        ++m_version;
        for (const json::value& entry : call.at("writes").as_array())
            rowOf(entry) = { std::string(entry.at("value").as_string()), false, m_version };
        for (const json::value& entry : call.at("delete").as_array())
            rowOf(entry) = { "", true, m_version };
        m_changed.notify_all();
        return answerOf({});
    }

    void serve(int socket)
    {
        std::string input;
        while (std::optional<Message> message = readMessage(socket, input)) {
            int status = 200;
            std::string target = message->head.substr(0, message->head.find("\r\n"));
            json::object answer = target.starts_with("POST") ? transact(message->body, status) : get(target);
            std::string body = json::serialize(answer);
            if (!sendAll(socket, "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_rows;
    std::uint64_t m_version { 1 };
    Server m_server;
};

/// A request that has reached a worker.
struct Call {
    int socket { -1 };
    std::string head;
    std::string body;

    std::string id() const { return fieldOf(head, "X-Request-Id"); }
    /// The fields that every answer of a worker has.
    std::string ownFields() const { return "X-Request-Id: " + id() + "\r\nX-Server-Stamp: s1\r\n"; }
    bool answer(int status, const std::string& text, const std::string& fields = "") const
    {
        return sendAll(socket, "HTTP/1.1 " + std::to_string(status) + " X\r\n" + ownFields() + fields + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
    }
};

/// A sound worker. The handler answers, and returns false to close the channel.
class Worker {
public:
    using Handler = std::function<bool(Call&)>;

    explicit Worker(Handler handler)
        : m_handler(std::move(handler))
        , m_server("127.0.0.1", [this](int socket) { serve(socket); })
    {
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }

private:
    void serve(int socket)
    {
        std::string input;
        while (std::optional<Message> message = readMessage(socket, input)) {
            Call call { .socket = socket, .head = message->head, .body = message->body };
            if (!m_handler(call))
                return;
        }
    }
    Handler m_handler;
    Server m_server;
};

/// A worker that can be signalled by its id.
struct WorkerProcess {
    pid_t pid { -1 };
    std::string address;
};

/// Starts a worker as a process of its own; to be called before any thread is started.
inline WorkerProcess startWorker(const Worker::Handler& handler)
{
    int ports[2];
    if (::pipe(ports))
        cannotRun("no pipe");
    WorkerProcess worker { .pid = ::fork() };
    if (worker.pid < 0)
        cannotRun("no process");
    if (!worker.pid) {
        Worker served(handler);
        std::string address = served.address();
        (void)!::write(ports[1], address.data(), address.size());
        ::close(ports[1]);
        while (::getppid() != 1)
            sleepFor(0.2);
        std::_Exit(0);
    }
    ::close(ports[1]);
    char buffer[64];
    ssize_t count = ::read(ports[0], buffer, sizeof buffer);
    ::close(ports[0]);
    worker.address.assign(buffer, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    return worker;
}

/// The entry of a worker in the store.
inline std::string workerEntry(const std::string& service, const std::string& address, int slots, int sequence = 1, const std::string& state = "ready")
{
    return json::serialize(json::object { { "service", service }, { "addr", address }, { "zone", "z1" }, { "version", "v1" }, { "slots", slots }, { "state", state }, { "coldLeftMs", 0 }, { "seq", sequence }, { "born", 1790000000000 } });
}

/// The machine that a gateway is told it runs on.
struct Machine {
    int memoryMegabytes { 260 };
    int descriptors { 4100 };
};

/// One instance of the gateway program.
class Gateway {
public:
    Gateway(std::string name, std::string ip, int storePort, Machine machine = {}, std::vector<std::string> seedIps = {}, int peerPort = 0)
        : m_name(std::move(name))
        , m_ip(std::move(ip))
        , m_machine(machine)
    {
        m_folder = std::filesystem::temp_directory_path().string() + "/review3-XXXXXX";
        if (!::mkdtemp(m_folder.data()))
            cannotRun("no temporary folder");
        m_frontPort = freePorts(m_ip, 20);
        m_peerPort = peerPort ? peerPort : m_frontPort + 4;
        std::ofstream file(m_folder + "/node.yaml");
        auto at = [this](int port) { return "\"" + m_ip + ":" + std::to_string(port) + "\"\n"; };
        file << "node: \"" << m_name << "\"\nrole: \"gateway\"\nclass: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\nip: \"" << m_ip << "\"\nzone: \"z1\"\nregion: \"r1\"\nzones:\n  z1: \"r1\"\n"
             << "listen:\n  front: " << at(m_frontPort) << "  ready: " << at(m_frontPort + 1) << "  control: " << at(m_frontPort + 2)
             << "portRange:\n  - " << m_peerPort << "\n  - " << m_peerPort + 15 << "\nseeds:\n";
        for (const std::string& seed : seedIps)
            file << "  - \"" << seed << ":8229\"\n";
        file << (seedIps.empty() ? "  - " + at(m_frontPort + 2) : "") << "bootstrap: true\ncountsAsLoss: false\nlimits:\n  cpuShare: 0.25\n  cores: 1\n  ramMb: " << machine.memoryMegabytes << "\n  maxFds: " << machine.descriptors
             << "\n  linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeatMs: 1200\n"
             << "contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"engine\"\n  - \"stream\"\n  - \"tenants\"\n  - \"quota\"\n  - \"platform\"\n"
             << "tolerate:\n  machines: 1\n  zones: 0\n  regions: 0\n"
             << "bounds:\n  seedLagS: 3\n  reuseAfterS: 2\n  stableMs: 3000\n  ackMs: 4000\n  catchupS: 4\n  drainMs: 2000\n  graceS: 8\n  lossSlackMs: 200\n  configApplyMs: 2000\n  rollbackSlackMs: 250\n"
             << "  maxStretchMs: 5000\n  strictRevoke: false\n  revokeMs: 5000\n  budgetRatio: 0.2\n  budgetWindowS: 10\n  budgetSlack: 52\n  quotaWindowS: 8\n  quotaExcess: 0.1\n  quotaSlack: 190000\n  recoveryS: 12\n  eventLagMs: 120\n  retryAfterS: 10\n"
             << "platform:\n  addr: \"127.0.0.1:" << storePort << "\"\n  form: \"table\"\n  writesPerS: 400\n  readsPerS: 2000\n  txnMs: 3.0\n  partWritesS: 300\n  maxRowBytes: 65536\n  crossRegion: true\n  retentionS: 20\n  maxBlobBytes: 8388608\n  blobLatMs: 25.0\n  blobMbS: 80.0\n";
    }
    ~Gateway() { stop(); }
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    void start()
    {
        std::string settings = "LIMPETPOND_BOOT=" + m_folder + "/node.yaml";
        std::string log = m_folder + "/log.txt";
        int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        m_pid = ::fork();
        if (m_pid < 0)
            cannotRun("no process");
        if (!m_pid) {
            ::dup2(output, 1);
            ::dup2(output, 2);
            rlimit limit { static_cast<rlim_t>(m_machine.descriptors), static_cast<rlim_t>(m_machine.descriptors) };
            ::setrlimit(RLIMIT_NOFILE, &limit);
            const char* arguments[] = { "target/limpetpond-gateway", nullptr };
            const char* environment[] = { settings.c_str(), "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", nullptr };
            ::execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
            std::_Exit(127);
        }
        ::close(output);
    }
    void signal(int number) const { ::kill(m_pid, number); }
    /// Whether the process still runs; collects it if not.
    bool isRunning()
    {
        if (m_pid <= 0)
            return false;
        if (::waitpid(m_pid, &m_status, WNOHANG) != m_pid)
            return true;
        m_pid = -1;
        return false;
    }
    int status() const { return m_status; }
    /// Ends the process and removes its folder.
    void stop()
    {
        if (isRunning()) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
        std::error_code ignored; // The folder may be gone already.
        std::filesystem::remove_all(m_folder, ignored);
    }
    /// Resident memory and its peak, in megabytes.
    double memory(const std::string& field = "VmRSS:") const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(field))
                return std::strtod(line.c_str() + field.size(), nullptr) * 1024 / 1e6;
        }
        return 0;
    }
    const std::string& ip() const { return m_ip; }
    const std::string& name() const { return m_name; }
    int frontPort() const { return m_frontPort; }
    int readyPort() const { return m_frontPort + 1; }
    int peerPort() const { return m_peerPort; }
    std::string logPath() const { return m_folder + "/log.txt"; }

private:
    std::string m_name;
    std::string m_ip;
    Machine m_machine;
    std::string m_folder;
    int m_frontPort { 0 };
    int m_peerPort { 0 };
    pid_t m_pid { -1 };
    int m_status { 0 };
};

/// What a client has seen of one attempt.
struct Seen {
    bool isConnected { false };
    std::string status; ///< Empty without a whole head.
    std::string head;
    std::string body; ///< All that followed the head until the answer was whole, the connection ended or the client left.
    bool isWhole { false };
    double startedAt { 0 };
    double endedAt { 0 }; ///< When the answer was whole, or the client closed its channel.
};

inline int connectWithin(const std::string& ip, int port, double seconds)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address = addressOf(ip, port);
    ::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    pollfd watched { .fd = socket, .events = POLLOUT, .revents = 0 };
    int error = 0;
    socklen_t length = sizeof error;
    if (::poll(&watched, 1, static_cast<int>(seconds * 1000)) <= 0 || ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) || error) {
        ::close(socket);
        return -1;
    }
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    return socket;
}

/// Sends a request on a new channel and waits for the whole answer, which has a length, until the deadline; then it closes.
inline Seen ask(const std::string& ip, int port, const std::string& text, double seconds)
{
    Seen seen { .startedAt = now() };
    int socket = connectWithin(ip, port, std::min(seconds, 1.0));
    if (socket < 0) {
        seen.endedAt = now();
        return seen;
    }
    seen.isConnected = true;
    sendAll(socket, text);
    std::string input;
    char buffer[16384];
    while (now() < seen.startedAt + seconds) {
        pollfd watched { .fd = socket, .events = POLLIN, .revents = 0 };
        if (::poll(&watched, 1, static_cast<int>((seen.startedAt + seconds - now()) * 1000) + 1) <= 0)
            break;
        ssize_t count = ::recv(socket, buffer, sizeof buffer, 0);
        if (count <= 0)
            break;
        input.append(buffer, static_cast<std::size_t>(count));
        std::size_t end = input.find("\r\n\r\n");
        if (end == std::string::npos)
            continue;
        seen.head = input.substr(0, end + 2);
        seen.status = seen.head.substr(9, 3);
        seen.body = input.substr(end + 4);
        std::string length = fieldOf(seen.head, "Content-Length");
        seen.isWhole = length.empty() ? seen.body.ends_with("0\r\n\r\n") : seen.body.size() >= std::strtoul(length.c_str(), nullptr, 10);
        if (seen.isWhole)
            break;
    }
    ::close(socket);
    seen.endedAt = now();
    return seen;
}

/// The value of one of the instance's own metrics, for the record; empty if there is none.
inline std::string metricOf(const Gateway& gateway, const std::string& name)
{
    std::string text = "\n" + ask(gateway.ip(), gateway.peerPort() + 1, "GET /metrics HTTP/1.1\r\nHost: p\r\n\r\n", 1).body;
    std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos ? "" : text.substr(at + name.size() + 2, text.find('\n', at + 1) - at - name.size() - 2);
}

inline bool isReady(const Gateway& gateway) { return ask(gateway.ip(), gateway.readyPort(), "GET /v1/ready HTTP/1.1\r\nHost: p\r\n\r\n", 1).status == "200"; }

inline void waitUntilReady(const Gateway& gateway)
{
    for (int i = 0; i < 150; ++i) {
        if (isReady(gateway))
            return;
        sleepFor(0.1);
    }
    cannotRun("the gateway isn't ready");
}

} // namespace stage
