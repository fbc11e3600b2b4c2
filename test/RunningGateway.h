#pragma once

/// Runs one instance of the gateway in a thread of the test, with the settings of the tests.

#include "base/BootTimeClock.h"
#include "gateway/GatewayInstance.h"
#include "test/RawConnection.h"
#include "test/ScriptedServer.h"
#include <boost/asio/post.hpp>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace limpetpond {

inline constexpr const char* document = R"({"version":VERSION,"routes":[
  {"name":"draft","host":"h.example","prefix":"/draft/","kind":"streaming","timeoutMs":3000,"goalMs":600,"priority":0,"service":"lm","attempts":2,"resumable":true,"gapTargetMs":400},
  {"name":"sum","host":"h.example","prefix":"/sum/","kind":"streaming","timeoutMs":3000,"goalMs":600,"priority":1,"service":"lm","attempts":2,"resumable":false,"gapTargetMs":400},
  {"name":"pay","host":"h.example","prefix":"/pay/","kind":"non_idempotent","timeoutMs":2000,"goalMs":200,"priority":2,"service":"lm","attempts":2},
  {"name":"read","host":"h.example","prefix":"/read/","kind":"idempotent","timeoutMs":2000,"goalMs":200,"priority":2,"service":"lm","attempts":2}],
  "services":[{"name":"lm","healthPath":"/healthz","maxConns":100}],
  "tenants":[{"name":"herd","apiKeys":["k1"],"perS":1000,"burst":1000},{"name":"small","apiKeys":["k2"],"perS":1,"burst":2}]})";

inline std::string documentOfVersion(int version)
{
    std::string text = document;
    text.replace(text.find("VERSION"), 7, std::to_string(version));
    return text;
}

/// The same document with timeouts that are 20 s longer.
inline std::string documentWithLongTimeouts()
{
    std::string text = documentOfVersion(1);
    const std::string timeout = R"("timeoutMs":)";
    for (std::size_t at = text.find(timeout); at != std::string::npos; at = text.find(timeout, at + 1))
        text.insert(at + timeout.size(), "2");
    return text;
}

/// Addresses and identity of an instance.
struct RunningGatewayOptions {
    std::string instance { "front-a-1" };
    std::string ip { "127.0.0.1" };
    int peerPort { freePort() };
    std::vector<std::string> seedIps; ///< Peers that it sends its first updates to.
    int logDescriptor { -1 }; ///< File descriptor of its log; negative for no log.
    std::size_t memoryBytes { 256'000'000 };
    std::size_t maxDescriptors { 4000 };
    std::chrono::milliseconds shutdownGrace { 8000 };
    bool followsRollouts { false };
    const Clock* clock { nullptr }; ///< Outlives the instance; null for the real one.
};

class RunningGateway {
public:
    explicit RunningGateway(int storePort, const RunningGatewayOptions& options = {})
        : m_clock(options.clock ? *options.clock : m_realClock)
    {
        auto address = [&] { return options.ip + ":" + std::to_string(freePort()); };
        m_boot.instance = InstanceId(options.instance);
        m_boot.failureDomain = FailureDomainId("a");
        m_boot.ip = options.ip;
        m_boot.seedIps = options.seedIps;
        m_boot.callerAddress = address();
        m_boot.readinessAddress = address();
        m_boot.peerPort = options.peerPort;
        m_boot.metricsPort = freePort();
        m_boot.storeAddress = "127.0.0.1:" + std::to_string(storePort);
        m_boot.retrySlack = 50;
        m_boot.memoryBytes = options.memoryBytes;
        m_boot.maxDescriptors = options.maxDescriptors;
        m_boot.shutdownGrace = options.shutdownGrace;
        m_boot.followsRollouts = options.followsRollouts;
        m_instance = std::make_unique<GatewayInstance>(m_context, m_clock, m_boot, GatewayInstanceOptions { .logDescriptor = options.logDescriptor });
        m_error = m_instance->start().value_or("");
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~RunningGateway()
    {
        m_context.stop();
        m_thread.join();
    }

    RunningGateway(const RunningGateway&) = delete;
    RunningGateway& operator=(const RunningGateway&) = delete;

    const std::string& error() const { return m_error; }
    int callerPort() const { return portOf(m_boot.callerAddress); }
    int metricsPort() const { return m_boot.metricsPort; }
    int peerPort() const { return m_boot.peerPort; }
    const std::string& ip() const { return m_boot.ip; }

    int readiness() const
    {
        RawConnection connection(portOf(m_boot.readinessAddress), m_boot.ip);
        connection.send("GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        return std::atoi(connection.readAnswer().substr(9, 3).c_str());
    }

    /// Stops all work of the instance for the time, as a frozen process does.
    void freeze(std::chrono::milliseconds time)
    {
        boost::asio::post(m_context, [time] { std::this_thread::sleep_for(time); });
    }

private:
    static int portOf(const std::string& address) { return std::atoi(address.substr(address.rfind(':') + 1).c_str()); }

    platform::BootSettings m_boot;
    BootTimeClock m_realClock;
    const Clock& m_clock;
    boost::asio::io_context m_context { 1 };
    std::unique_ptr<GatewayInstance> m_instance;
    std::string m_error;
    std::thread m_thread;
};

inline std::string statusOf(const std::string& answer) { return answer.size() > 12 ? answer.substr(9, 3) : "none"; }

template <typename Condition>
bool eventually(Condition condition)
{
    for (int i = 0; i < 400; ++i) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
}

} // namespace limpetpond
