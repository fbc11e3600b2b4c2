#include "caller/CallerServer.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <condition_variable>
#include <csignal>
#include <list>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <vector>

namespace limpetpond {

namespace {

    using std::chrono::milliseconds;
    using SteadyClock = std::chrono::steady_clock;

    constexpr int listenBacklog = 1024;
    constexpr int refusalThreads = 8; ///< Additional threads that refuse the requests of connections over the limit.
    constexpr milliseconds idlePollPeriod { 200 };
    constexpr milliseconds keepAliveAtLimit { 200 }; ///< Keep-alive timeout at the connection limit, so that idle connections free their threads.
    constexpr int bodyReadTimeouts = 8; ///< Time limit of a whole body, in read timeouts.
    constexpr std::size_t readBuffer = 16'384;
    constexpr std::int64_t chunkOverhead = 8; ///< Maximum bytes on the wire for one byte of a chunked body.
    constexpr std::int64_t bodySlack = 65'536; ///< Additional bytes on the wire for a chunked body.
    constexpr int headerFieldsTooLargeStatus = 431;
    constexpr int requestTimeoutStatus = 408;
    constexpr int payloadTooLargeStatus = 413;
    constexpr int badRequestStatus = 400;

    /// A connection's socket with limits on the bytes and the time of each request.
    class BoundedStream final : public httplib::Stream {
    public:
        BoundedStream(int socket, const CallerServerOptions& options)
            : m_socket(socket)
            , m_options(options)
            , m_buffer(readBuffer)
        {
        }

        /// Sets the limits for the request line and headers of the next request.
        void beginRequest()
        {
            m_budget = m_options.maxHeaders.count();
            m_isHeader = true;
            m_deadline = SteadyClock::now() + m_options.readTimeout;
            m_refusedStatus = 0;
            m_hasWritten = false;
        }

        /// Sets the limits for the body; `budget` is in bytes.
        void beginBody(std::int64_t budget)
        {
            m_budget = budget;
            m_isHeader = false;
            m_deadline = SteadyClock::now() + bodyReadTimeouts * m_options.readTimeout;
        }

        /// The HTTP status for the first limit that was exceeded; 0 for none.
        int refusedStatus() const { return m_refusedStatus; }
        bool hasWritten() const { return m_hasWritten; }
        bool hasBuffered() const { return m_position < m_filled; }

        bool is_readable() const override { return hasBuffered() || waitFor(POLLIN, milliseconds(0)); }
        bool is_writable() const override { return waitFor(POLLOUT, m_options.writeTimeout); }

        ssize_t read(char* out, std::size_t size) override
        {
            if (!hasBuffered() && !fill())
                return m_ended ? 0 : -1;
            auto available = static_cast<std::int64_t>(std::min(size, m_filled - m_position));
            auto count = std::min(available, m_budget);
            if (count <= 0)
                return refuse(m_isHeader ? headerFieldsTooLargeStatus : payloadTooLargeStatus);
            std::copy_n(m_buffer.data() + m_position, count, out);
            m_position += static_cast<std::size_t>(count);
            m_budget -= count;
            return count;
        }

        ssize_t write(const char* data, std::size_t size) override
        {
            std::size_t sent = 0;
            m_hasWritten = true;
            while (sent < size) {
                ssize_t count = ::send(m_socket, data + sent, size - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
                if (count > 0)
                    sent += static_cast<std::size_t>(count);
                else if (count < 0 && errno == EINTR)
                    continue;
                else if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                    if (!waitFor(POLLOUT, m_options.writeTimeout))
                        return -1;
                } else
                    return -1;
            }
            return static_cast<ssize_t>(size);
        }

        void get_remote_ip_and_port(std::string& ip, int& port) const override { addressOf(::getpeername, ip, port); }
        void get_local_ip_and_port(std::string& ip, int& port) const override { addressOf(::getsockname, ip, port); }
        socket_t socket() const override { return m_socket; }

    private:
        bool waitFor(short events, milliseconds timeout) const
        {
            pollfd watched { m_socket, events, 0 };
            return ::poll(&watched, 1, static_cast<int>(timeout.count())) > 0;
        }

        bool fill()
        {
            auto left = std::chrono::ceil<milliseconds>(m_deadline - SteadyClock::now());
            if (left.count() <= 0 || !waitFor(POLLIN, std::min(left, m_options.readTimeout))) {
                refuse(requestTimeoutStatus);
                return false;
            }
            ssize_t count = ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
            m_ended = count == 0;
            if (count <= 0)
                return false;
            m_position = 0;
            m_filled = static_cast<std::size_t>(count);
            return true;
        }

        ssize_t refuse(int status)
        {
            if (!m_refusedStatus)
                m_refusedStatus = status;
            return -1;
        }

        template <typename Lookup>
        void addressOf(Lookup lookup, std::string& ip, int& port) const
        {
            sockaddr_storage address {};
            socklen_t length = sizeof address;
            if (lookup(m_socket, reinterpret_cast<sockaddr*>(&address), &length))
                return;
            std::array<char, INET6_ADDRSTRLEN> text {};
            if (address.ss_family == AF_INET) {
                const auto& v4 = reinterpret_cast<const sockaddr_in&>(address);
                inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
                port = ntohs(v4.sin_port);
            } else {
                const auto& v6 = reinterpret_cast<const sockaddr_in6&>(address);
                inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
                port = ntohs(v6.sin6_port);
            }
            ip = text.data();
        }

        int m_socket;
        const CallerServerOptions& m_options;
        std::vector<char> m_buffer;
        std::size_t m_position { 0 };
        std::size_t m_filled { 0 };
        std::int64_t m_budget { 0 };
        bool m_isHeader { true };
        bool m_ended { false };
        bool m_hasWritten { false };
        SteadyClock::time_point m_deadline;
        int m_refusedStatus { 0 };
    };

    /// A thread pool that starts a thread when none is idle, up to a limit, and never ends one before shutdown.
    class GrowingThreadPool final : public httplib::TaskQueue {
    public:
        explicit GrowingThreadPool(std::size_t maxThreads)
            : m_maxThreads(maxThreads)
        {
        }

        void enqueue(std::function<void()> job) override
        {
            std::lock_guard lock(m_mutex);
            m_jobs.push_back(std::move(job));
            if (m_jobs.size() > m_idle && m_threads.size() < m_maxThreads)
                m_threads.emplace_back([this] { run(); });
            m_wake.notify_one();
        }

        void shutdown() override
        {
            {
                std::lock_guard lock(m_mutex);
                m_stopping = true;
            }
            m_wake.notify_all();
            for (std::thread& thread : m_threads)
                thread.join();
        }

    private:
        void run()
        {
            std::unique_lock lock(m_mutex);
            for (;;) {
                ++m_idle;
                m_wake.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
                --m_idle;
                if (m_jobs.empty())
                    return;
                std::function<void()> job = std::move(m_jobs.front());
                m_jobs.pop_front();
                lock.unlock();
                job();
                lock.lock();
            }
        }

        std::size_t m_maxThreads;
        std::mutex m_mutex;
        std::condition_variable m_wake;
        std::list<std::function<void()>> m_jobs;
        std::vector<std::thread> m_threads;
        std::size_t m_idle { 0 };
        bool m_stopping { false };
    };

    bool expectsBody(const std::string& method)
    {
        return method == "POST" || method == "PUT" || method == "PATCH" || method == "PRI" || method == "DELETE";
    }

    bool isContentLength(const std::string& text)
    {
        constexpr std::size_t maxDigits = 18;
        return !text.empty() && text.size() <= maxDigits && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isdigit(c); });
    }

    /// Whether the body's length is given at most once, in a form that every proxy reads the same way.
    bool hasUnambiguousLength(const httplib::Request& request)
    {
        std::size_t lengths = request.get_header_value_count("Content-Length");
        std::size_t encodings = request.get_header_value_count("Transfer-Encoding");
        if (lengths + encodings > 1)
            return false;
        if (encodings)
            return request.get_header_value("Transfer-Encoding") == "chunked";
        return !lengths || isContentLength(request.get_header_value("Content-Length"));
    }

    thread_local CallerConnection* currentConnection = nullptr;
    thread_local BoundedStream* currentStream = nullptr;

} // namespace

/// cpp-httplib's server with its own connection loop.
class CallerServer::Listener final : public httplib::Server {
public:
    Listener(const CallerServerOptions& options, CallerServer::Handler handler, CallerServer::Handler refused)
        : m_options(options)
        , m_handler(std::move(handler))
        , m_refused(std::move(refused))
    {
        new_task_queue = [this] { return new GrowingThreadPool(static_cast<std::size_t>(m_options.maxConnections + refusalThreads)); };
        set_tcp_nodelay(true);
        // The default options include SO_REUSEPORT, with which bind() succeeds on a port that another process uses.
        set_socket_options([](socket_t socket) {
            int yes = 1;
            ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        });
        set_payload_max_length(static_cast<std::size_t>(m_options.maxBody.count()));
        set_keep_alive_timeout(std::chrono::ceil<std::chrono::seconds>(m_options.keepAliveTimeout).count());
        addRoutes();
    }

    int bind()
    {
        int port = m_options.listen.port;
        if (!port)
            port = bind_to_any_port(m_options.listen.host);
        else if (!bind_to_port(m_options.listen.host, port))
            port = -1;
        // cpp-httplib's backlog of 5 is too short for bursts of connections.
        if (port > 0)
            ::listen(svr_sock_, listenBacklog);
        return port;
    }

    void requestStop() { m_stopping = true; }
    int openConnections() const { return m_open.load(std::memory_order_relaxed); }

private:
    void addRoutes()
    {
        auto serve = [this](const httplib::Request& request, httplib::Response& response) { m_handler(request, response, *currentConnection); };
        const char* anyPath = R"([\s\S]*)";
        Get(anyPath, serve);
        Post(anyPath, serve);
        Put(anyPath, serve);
        Patch(anyPath, serve);
        Delete(anyPath, serve);
        Options(anyPath, serve);
        set_pre_routing_handler([this](const httplib::Request& request, httplib::Response& response) { return checkBounds(request, response); });
        set_error_handler(HandlerWithResponse([this](const httplib::Request& request, httplib::Response& response) { return fillRefusal(request, response); }));
    }

    HandlerResponse checkBounds(const httplib::Request& request, httplib::Response& response)
    {
        CallerConnection& connection = *currentConnection;
        if (!hasUnambiguousLength(request))
            connection.refusedStatus = badRequestStatus;
        else if (request.has_header("Content-Length") && std::stoll(request.get_header_value("Content-Length")) > m_options.maxBody.count())
            connection.refusedStatus = payloadTooLargeStatus;
        if (!connection.refusedStatus)
            return HandlerResponse::Unhandled;
        connection.mustClose = true;
        response.status = connection.refusedStatus;
        return HandlerResponse::Handled;
    }

    HandlerResponse fillRefusal(const httplib::Request& request, httplib::Response& response)
    {
        CallerConnection& connection = *currentConnection;
        // The handler's own answers already have an outcome.
        if (response.has_header("Limpetpond-Outcome"))
            return HandlerResponse::Unhandled;
        connection.mustClose = true;
        if (int status = currentStream->refusedStatus())
            response.status = status;
        response.set_header("Connection", "close");
        m_refused(request, response, connection);
        return HandlerResponse::Handled;
    }

    /// Removes the headers that cpp-httplib would act on, so that it passes bodies through unchanged.
    void prepare(httplib::Request& request, BoundedStream& stream, CallerConnection& connection)
    {
        for (const char* added : { "REMOTE_ADDR", "REMOTE_PORT", "LOCAL_ADDR", "LOCAL_PORT" })
            request.headers.erase(added);
        connection.headers = request.headers;
        for (const char* name : { "Content-Type", "Content-Encoding", "Accept-Encoding", "Range" })
            request.headers.erase(name);
        request.ranges.clear();
        std::int64_t budget = m_options.maxBody.count();
        if (request.has_header("Transfer-Encoding"))
            budget = budget * chunkOverhead + bodySlack;
        else if (expectsBody(request.method) && !request.has_header("Content-Length"))
            request.set_header("Content-Length", "0");
        stream.beginBody(budget);
    }

    bool process_and_close_socket(socket_t socket) override
    {
        int open = m_open.fetch_add(1, std::memory_order_relaxed) + 1;
        serveConnection(socket, open > m_options.maxConnections);
        ::shutdown(socket, SHUT_RDWR);
        ::close(socket);
        m_open.fetch_sub(1, std::memory_order_relaxed);
        return true;
    }

    void serveConnection(socket_t socket, bool isOverLimit)
    {
        BoundedStream stream(socket, m_options);
        currentStream = &stream;
        while (waitForRequest(stream)) {
            CallerConnection connection { .socket = socket, .isOverLimit = isOverLimit };
            currentConnection = &connection;
            stream.beginRequest();
            bool closed = false;
            bool served = process_request(stream, isOverLimit || m_stopping, closed,
                [&](httplib::Request& request) { prepare(request, stream, connection); });
            if (!served)
                answerUnparsedRequest(stream, connection);
            currentConnection = nullptr;
            if (!served || closed || connection.mustClose || isOverLimit)
                break;
        }
        currentStream = nullptr;
        drainInput(socket);
    }

    /// Answers a request that exceeded a limit while it was read, for which cpp-httplib sends no answer.
    void answerUnparsedRequest(BoundedStream& stream, CallerConnection& connection)
    {
        if (!stream.refusedStatus() || stream.hasWritten())
            return;
        httplib::Request request;
        httplib::Response response;
        response.status = stream.refusedStatus();
        m_refused(request, response, connection);
        std::string text = "HTTP/1.1 " + std::to_string(response.status) + " Refused\r\nConnection: close\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n";
        for (const auto& [name, value] : response.headers)
            text.append(name).append(": ").append(value).append("\r\n");
        text += "\r\n" + response.body;
        stream.write(text.data(), text.size());
    }

    /// Reads the remaining input. Closing a socket with unread input would reset the connection before the caller
    /// has read the answer.
    static void drainInput(socket_t socket)
    {
        constexpr int maxReads = 64;
        std::array<char, readBuffer> ignored {};
        ::shutdown(socket, SHUT_WR);
        for (int i = 0; i < maxReads; ++i) {
            if (::recv(socket, ignored.data(), ignored.size(), MSG_DONTWAIT) <= 0)
                return;
        }
    }

    bool waitForRequest(const BoundedStream& stream)
    {
        if (stream.hasBuffered())
            return true;
        auto start = SteadyClock::now();
        while (!m_stopping) {
            pollfd watched { stream.socket(), POLLIN, 0 };
            if (::poll(&watched, 1, static_cast<int>(idlePollPeriod.count())) > 0)
                return true;
            bool isAtLimit = openConnections() >= m_options.maxConnections;
            if (SteadyClock::now() - start >= (isAtLimit ? keepAliveAtLimit : m_options.keepAliveTimeout))
                return false;
        }
        return false;
    }

    const CallerServerOptions& m_options;
    CallerServer::Handler m_handler;
    CallerServer::Handler m_refused;
    std::atomic<bool> m_stopping { false };
    std::atomic<int> m_open { 0 };
};

CallerServer::CallerServer(CallerServerOptions options, Handler handler, Handler refused)
    : m_options(std::move(options))
    , m_listener(std::make_unique<Listener>(m_options, std::move(handler), std::move(refused)))
{
    std::signal(SIGPIPE, SIG_IGN);
}

CallerServer::~CallerServer() { stop(); }

Result<int> CallerServer::start()
{
    int port = m_listener->bind();
    if (port <= 0) {
        return boost::leaf::new_error(InvalidSetting { m_options.settingName,
            m_options.listen.host + ":" + std::to_string(m_options.listen.port), "a free port at an address of this machine" });
    }
    m_thread = std::thread([this] { m_listener->listen_after_bind(); });
    return port;
}

void CallerServer::stop()
{
    if (!m_thread.joinable())
        return;
    m_listener->requestStop();
    // cpp-httplib ignores a stop() that comes before its loop runs.
    while (!m_listener->is_running())
        std::this_thread::sleep_for(milliseconds(1));
    m_listener->stop();
    m_thread.join();
}

int CallerServer::openConnections() const { return m_listener->openConnections(); }

} // namespace limpetpond
