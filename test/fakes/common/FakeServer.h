#pragma once

/// Helpers of the fake servers: an HTTP server with a thread for each connection, JSON answers,
/// and the port on the first line of standard output.

#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <string>
#include <thread>

namespace limpetpond::fakes {

namespace json = boost::json;

/// Runs each connection on its own thread, so that open streams never block a new call.
class ThreadForEachTask final : public httplib::TaskQueue {
public:
    void enqueue(std::function<void()> task) override
    {
        {
            std::lock_guard lock(m_mutex);
            ++m_running;
        }
        std::thread([this, task = std::move(task)] {
            task();
            std::lock_guard lock(m_mutex);
            --m_running;
            m_ended.notify_all();
        }).detach();
    }

    void shutdown() override
    {
        std::unique_lock lock(m_mutex);
        m_ended.wait(lock, [this] { return !m_running; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_ended;
    int m_running { 0 };
};

/// Sets the options that every fake server needs.
inline void configure(httplib::Server& server)
{
    constexpr std::size_t requestsPerConnection = 1'000'000;
    constexpr std::size_t maxBody = std::size_t { 256 } << 20;
    server.new_task_queue = [] { return new ThreadForEachTask; };
    server.set_keep_alive_max_count(requestsPerConnection);
    server.set_tcp_nodelay(true);
    server.set_payload_max_length(maxBody);
}

/// Binds to a loopback port and returns it; 0 selects a free port. Exits if the port is in use.
inline int bindLoopback(httplib::Server& server, int port)
{
    const char* host = "127.0.0.1";
    if (!port)
        return server.bind_to_any_port(host);
    if (!server.bind_to_port(host, port)) {
        std::fprintf(stderr, "can't bind port %d\n", port);
        std::exit(2);
    }
    return port;
}

/// Prints the port on a line and flushes it, since standard output may be a pipe.
inline void printPort(int port)
{
    std::printf("%d\n", port);
    std::fflush(stdout);
}

inline void answerJson(httplib::Response& response, const json::value& body, int status = 200)
{
    response.status = status;
    response.set_content(json::serialize(body), "application/json");
}

/// Closes the connection in the middle of the answer, so that the caller can't know the outcome.
inline void breakAnswer(httplib::Response& response)
{
    constexpr std::size_t neverSent = 1'000;
    response.status = 200;
    response.set_content_provider(neverSent, "application/json", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

/// Parses the body as a JSON object; empty if it isn't one.
inline json::object parseBody(const std::string& body)
{
    boost::system::error_code error;
    json::value value = json::parse(body, error);
    return !error && value.is_object() ? value.get_object() : json::object();
}

inline double numberIn(const json::object& object, json::string_view name, double fallback)
{
    const json::value* value = object.if_contains(name);
    return value && value->is_number() ? value->to_number<double>() : fallback;
}

inline std::string textIn(const json::object& object, json::string_view name, const std::string& fallback = {})
{
    const json::value* value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : fallback;
}

inline bool flagIn(const json::object& object, json::string_view name, bool fallback)
{
    const json::value* value = object.if_contains(name);
    return value && value->is_bool() ? value->get_bool() : fallback;
}

} // namespace limpetpond::fakes
