#include "test/process/GatewayProcess.h"

#include "test/RawConnection.h"
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace limpetpond {

namespace {

    constexpr auto readinessTimeout = std::chrono::seconds(20);

    constexpr const char* operatorDocument = R"({"version":1,"routes":[
  {"name":"draft","host":"h.example","prefix":"/draft/","kind":"streaming","timeoutMs":60000,"goalMs":30000,"priority":0,"service":"lm","attempts":1,"resumable":false,"gapTargetMs":30000},
  {"name":"pay","host":"h.example","prefix":"/pay/","kind":"non_idempotent","timeoutMs":60000,"goalMs":30000,"priority":2,"service":"lm","attempts":1},
  {"name":"read","host":"h.example","prefix":"/read/","kind":"idempotent","timeoutMs":10000,"goalMs":200,"priority":1,"service":"lm","attempts":2}],
  "services":[{"name":"lm","healthPath":"/healthz","maxConns":400}],
  "tenants":[{"name":"herd","apiKeys":["k1"],"perS":100000,"burst":100000}]})";

    std::string statusOfAnswer(const std::string& answer) { return answer.size() > 12 ? answer.substr(9, 3) : "none"; }

    std::string requestText(const std::string& id, const std::string& framingField, const std::string& framedBody)
    {
        return "POST /read/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 10000\r\nAuthorization: Token k1\r\n" + framingField
            + "\r\n\r\n" + framedBody;
    }

    std::string answerTo(int port, const std::string& request)
    {
        RawConnection connection(port);
        connection.send(request);
        return connection.readAnswer();
    }

} // namespace

GatewayProcess::GatewayProcess(const GatewayProcessOptions& options, fakes::TargetFake::Handler handler)
    : m_target(std::move(handler))
    , m_callerPort(freePort())
    , m_readinessPort(freePort())
    , m_peerPort(freePort())
{
    std::string pattern = std::filesystem::temp_directory_path() / "limpetpond-gateway-XXXXXX";
    m_folder = ::mkdtemp(pattern.data()) ? pattern : ".";
    m_store.put("op", "config", operatorDocument);
    m_store.put("servers", "t1",
        R"({"service":"lm","addr":"127.0.0.1:)" + std::to_string(m_target.port()) + R"(","zone":"a","version":"v1","slots":)" + std::to_string(options.slots)
            + R"(,"state":"ready","coldLeftMs":0,"seq":1,"born":1700000000000})");
    m_process = std::make_unique<Process>("limpetpond-gateway", std::vector<std::string> {}, std::vector<std::string> { "LIMPETPOND_BOOT=" + writeSettingsFile(options) });
    const char* logs = std::getenv("POND_TEST_LOGS");
    m_output = std::thread([this, log = logs ? std::string(logs) + "/gateway.jsonl" : "/dev/null"] {
        std::ofstream file(log);
        for (std::string line = m_process->readLine(); !line.empty(); line = m_process->readLine())
            file << line << '\n';
    });
    m_isReady = eventually(readinessTimeout, [this] { return statusOfAnswer(answerTo(m_readinessPort, "GET /v1/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")) == "200"; });
}

GatewayProcess::~GatewayProcess()
{
    m_process->kill();
    m_output.join();
    std::filesystem::remove_all(m_folder);
}

std::string GatewayProcess::writeSettingsFile(const GatewayProcessOptions& options)
{
    std::string path = m_folder + "/gateway.yaml";
    std::ofstream(path) << "node: \"front-1\"\nzone: \"a\"\nip: \"127.0.0.1\"\nlisten:\n  front: \"127.0.0.1:" << m_callerPort << "\"\n  ready: \"127.0.0.1:" << m_readinessPort
                        << "\"\nportRange:\n  - " << m_peerPort << "\n  - " << m_peerPort + 15 << "\nplatform:\n  addr: \"127.0.0.1:" << m_store.port()
                        << "\"\nlimits:\n  ramMb: " << options.memoryMegabytes << "\n  maxFds: " << options.maxDescriptors << "\n";
    return path;
}

std::size_t GatewayProcess::peakMemory() const
{
    std::ifstream status("/proc/" + std::to_string(m_process->id()) + "/status");
    constexpr std::size_t bytesPerKilobyte = 1024;
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:"))
            return std::strtoul(line.c_str() + 6, nullptr, 10) * bytesPerKilobyte;
    }
    return 0;
}

std::size_t GatewayProcess::openDescriptors() const
{
    std::error_code error; // The folder is gone once the process has ended.
    std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_process->id()) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::string GatewayProcess::statusOfSmallRequest() const { return statusOfAnswer(answerTo(m_callerPort, requestText("small", "Content-Length: 0", ""))); }

std::string GatewayProcess::statusOfRequest(const std::string& framingField, const std::string& framedBody) const
{
    return statusOfAnswer(answerTo(m_callerPort, requestText("large", framingField, framedBody)));
}

double GatewayProcess::metricValue(const std::string& name) const
{
    std::string metrics = answerTo(m_peerPort + 1, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    std::size_t at = metrics.find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::atof(metrics.c_str() + at + name.size() + 2);
}

} // namespace limpetpond
