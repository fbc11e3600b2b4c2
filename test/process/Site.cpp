#include "test/process/Site.h"

#include "base/Hash.h"
#include "peer/ThriftConnection.h"
#include <cstdlib>
#include <thrift/Thrift.h>

#include <CppUTest/TestHarness.h>

namespace limpetpond {

namespace {

    /// Fails the running test. Its child processes end with it.
    [[noreturn]] void failTest(const std::string& text)
    {
        FAIL(text.c_str());
        std::abort();
    }

    namespace json = boost::json;
    using namespace std::chrono_literals;

    const std::string peerSecret = "peer-secret-of-tests";
    const std::string operatorSecret = "operator-secret-of-tests";
    constexpr auto startTimeout = 20s;

    std::string localAddress(int port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    std::optional<HttpResponse> callLocal(int port, const HttpRequest& request)
    {
        Result<HttpResponse> answer = httpCall({ "127.0.0.1", port }, request, {});
        return answer ? std::optional(std::move(*answer)) : std::nullopt;
    }

    void postLocal(int port, const std::string& path, const json::object& body)
    {
        auto answer = callLocal(port, { .method = "POST", .path = path, .contentType = "application/json", .body = json::serialize(body) });
        if (!answer || answer->status != 200)
            failTest("a control call failed: " + path);
    }

    json::object getLocal(int port, const std::string& path)
    {
        auto answer = callLocal(port, { .path = path });
        if (!answer || answer->status != 200)
            failTest("no answer from a fake: " + path);
        return json::parse(answer->body).as_object();
    }

    template <typename Call>
    auto callOperator(int port, Call call)
    {
        ThriftLimits limits { .connectTimeout = 1s, .callTimeout = 10s };
        Result<ThriftConnection> connection = connectThrift({ "127.0.0.1", port }, operatorServiceName, limits);
        if (!connection)
            failTest("no connection to a daemon");
        rpc::OperatorServiceClient client(connection->protocol);
        try {
            return call(client);
        } catch (const rpc::OperatorRefused&) {
            throw;
        } catch (const apache::thrift::TException& error) {
            failTest(std::string("a daemon didn't answer: ") + error.what());
        }
    }

    std::string changeId()
    {
        static int number = 0;
        return "test-" + std::to_string(++number);
    }

    rpc::Edit editOf(const std::string& path, const std::string& field, const std::string& value, std::int64_t readVersion)
    {
        rpc::Edit edit;
        edit.path = path;
        edit.field = field;
        edit.value = value;
        edit.readVersion = readVersion;
        return edit;
    }

    std::int64_t numberAt(const json::object& object, const std::string& name)
    {
        const json::value* value = object.if_contains(name);
        return value ? value->to_number<std::int64_t>() : 0;
    }

} // namespace

std::int64_t LoadResult::count(const std::string& outcome) const
{
    return numberAt(summary, outcome);
}

std::int64_t LoadResult::countOf(const std::string& key, const std::string& outcome) const
{
    const json::value* counts = summary.at("by_key").as_object().if_contains(key);
    return counts ? numberAt(counts->as_object(), outcome) : 0;
}

namespace {

    std::vector<std::string> loadFlags(const std::vector<int>& ports, std::vector<std::string> flags)
    {
        std::string entries;
        for (int port : ports)
            entries += (entries.empty() ? "" : ",") + localAddress(port);
        flags.push_back("--entries=" + entries);
        flags.emplace_back("--print_records");
        return flags;
    }

} // namespace

LoadGenerator::LoadGenerator(const std::vector<int>& ports, std::vector<std::string> flags)
    : m_process("fake-load", loadFlags(ports, std::move(flags)))
{
}

bool LoadGenerator::readRecord()
{
    std::string line = m_process.readLine();
    if (line.empty())
        return false;
    json::object object = json::parse(line).as_object();
    m_ended = object.contains("sent");
    if (m_ended)
        m_result.summary = std::move(object);
    else
        m_result.records.push_back(std::move(object));
    return !m_ended;
}

LoadResult LoadGenerator::finish()
{
    while (!m_ended && readRecord()) { }
    return m_result;
}

void LoadGenerator::waitForRecords(std::size_t count)
{
    while (m_result.records.size() < count && readRecord()) { }
}

Site::Site(SiteOptions options)
    : m_options(std::move(options))
{
    startFakes();
    startDaemons();
    seedSettings();
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        if (!eventually(startTimeout, [&] { return startsServing(i); }))
            failTest("a daemon doesn't become ready");
    }
}

void Site::startFakes()
{
    m_platform = std::make_unique<Process>("fake-platform", std::vector<std::string> { "--list_lag_ms=200" });
    m_tablePort = std::stoi(m_platform->readLine());
    m_platformPort = std::stoi(m_platform->readLine());
    for (int i = 0; i < m_options.engines; ++i) {
        m_engines.push_back(std::make_unique<Process>("fake-engine", m_options.engineFlags));
        m_enginePorts.push_back(std::stoi(m_engines.back()->readLine()));
    }
    m_service = std::make_unique<Process>("fake-service", std::vector<std::string> {});
    m_servicePort = std::stoi(m_service->readLine());

    m_targetPorts = m_enginePorts;
    m_targetPorts.push_back(m_servicePort);
    if (m_options.relaysTargets) {
        std::string targets;
        for (int port : m_targetPorts)
            targets += (targets.empty() ? "" : ",") + localAddress(port);
        m_targetRelay = std::make_unique<Process>("fake-relay", std::vector<std::string> { "--targets=" + targets });
        for (int& port : m_targetPorts)
            port = std::stoi(m_targetRelay->readLine());
        m_targetRelayPort = std::stoi(m_targetRelay->readLine());
    }
    m_tablePortOfDaemons = m_tablePort;
    if (m_options.relaysTable) {
        m_tableRelay = std::make_unique<Process>("fake-relay", std::vector<std::string> { "--targets=" + localAddress(m_tablePort) });
        m_tablePortOfDaemons = std::stoi(m_tableRelay->readLine());
        m_tableRelayPort = std::stoi(m_tableRelay->readLine());
    }
}

void Site::startDaemons()
{
    std::vector<std::string> environment { "LIMPETPOND_PEER_SECRET=" + peerSecret, "LIMPETPOND_OPERATOR_SECRET=" + operatorSecret };
    if (m_options.disabledGuard != GuardId::None)
        environment.push_back("POND_TEST_DISABLED_GUARD=" + std::to_string(static_cast<int>(m_options.disabledGuard)));
    json::array instances;
    for (int i = 0; i < m_options.daemons; ++i) {
        DaemonPorts ports { .caller = freePort(), .peer = freePort() };
        std::string name = "i" + std::to_string(i + 1);
        std::vector<std::string> flags {
            "--instance_id=" + name,
            "--caller_port=" + std::to_string(ports.caller),
            "--peer_port=" + std::to_string(ports.peer),
            "--table_endpoint=" + localAddress(m_tablePortOfDaemons),
            "--object_store_endpoint=" + localAddress(m_platformPort),
            "--instance_list_endpoint=" + localAddress(m_platformPort),
            "--instance_list_period=200ms",
        };
        flags.insert(flags.end(), m_options.daemonFlags.begin(), m_options.daemonFlags.end());
        m_daemons.push_back(std::make_unique<Process>("limpetpondd", flags, environment));
        m_ports.push_back(ports);
        instances.push_back(json::object { { "instance", name }, { "port", ports.peer } });
    }
    postLocal(m_platformPort, "/_control/instances", { { "instances", std::move(instances) } });
}

void Site::seedSettings()
{
    rpc::ChangeRequest request;
    request.changeId = changeId();
    request.author = "test";
    auto branch = [&](const std::string& path, const json::object& values) {
        for (const auto& value : values)
            request.edits.push_back(editOf(path, std::string(value.key()), json::serialize(value.value()), -1));
    };
    branch("site", { { "viewAgeLimit", "1500ms" }, { "heartbeatPeriod", "100ms" }, { "suspectAfter", "800ms" }, { "headReadPeriod", "200ms" } });
    branch("tier/urgent", { { "level", 2 } });
    branch("tier/plain", { { "level", 1 } });
    branch("account/clerks", { { "tier", "urgent" }, { "keyHashes", json::array { sha256Hex(urgentKey) } } });
    branch("account/vendors", { { "tier", "plain" }, { "keyHashes", json::array { sha256Hex(plainKey) } } });
    json::object drafts { { "kind", "model_engine" }, { "models", json::array { "draft" } } };
    for (const auto& value : m_options.draftPool)
        drafts[value.key()] = value.value();
    branch("pool/drafts", drafts);
    branch("pool/fees", { { "kind", "plain_service" }, { "service", "fees" }, { "nonIdempotentMethods", json::array { "POST" } } });
    for (std::size_t i = 0; i < m_targetPorts.size(); ++i) {
        bool isService = i + 1 == m_targetPorts.size();
        json::object target { { "pool", isService ? "fees" : "drafts" }, { "host", "127.0.0.1" }, { "port", m_targetPorts[i] } };
        if (!isService) {
            for (const auto& value : m_options.targets)
                target[value.key()] = value.value();
        }
        branch("target/" + (isService ? std::string("fees-1") : "engine-" + std::to_string(i + 1)), target);
    }
    for (const DaemonPorts& ports : m_ports) {
        auto isAlive = [&] {
            auto answer = callLocal(ports.caller, { .path = "/healthz" });
            return answer && answer->status == 200;
        };
        if (!eventually(startTimeout, isAlive))
            failTest("a daemon doesn't start");
    }
    std::string lastError = "no attempt";
    bool seeded = eventually(startTimeout, [&] {
        try {
            callOperator(m_ports.front().peer, [&](rpc::OperatorServiceClient& client) {
                rpc::ChangeReply reply;
                client.change(reply, operatorSecret, request);
                return reply;
            });
            return true;
        } catch (const rpc::OperatorRefused& refused) {
            lastError = refused.code + ": " + refused.detail;
        }
        return false;
    });
    if (!seeded)
        failTest("the settings can't be seeded: " + lastError);
}

bool Site::startsServing(std::size_t daemon) const
{
    HttpRequest request { .path = "/v1/models" };
    request.headers = { { "Authorization", "Bearer " + urgentKey } };
    auto answer = callLocal(m_ports[daemon].caller, request);
    return isReady(daemon) && answer && answer->status == 200 && answer->body.find("draft") != std::string::npos;
}

bool Site::isReady(std::size_t daemon) const
{
    auto answer = callLocal(m_ports[daemon].caller, { .path = "/readyz" });
    return answer && answer->status == 200;
}

std::vector<int> Site::callerPorts() const
{
    std::vector<int> out;
    out.reserve(m_ports.size());
    for (const DaemonPorts& ports : m_ports)
        out.push_back(ports.caller);
    return out;
}

void Site::setStore(const json::object& faults) const
{
    postLocal(m_platformPort, "/_control/faults", faults);
}

void Site::setEngine(std::size_t i, const json::object& faults) const
{
    postLocal(m_enginePorts.at(i), "/_control", faults);
}

void Site::setService(const json::object& faults) const
{
    postLocal(m_servicePort, "/_control", faults);
}

void Site::setTargetLink(int link, const json::object& faults) const
{
    json::object body = faults;
    body["link"] = link;
    postLocal(m_targetRelayPort, "/_control", body);
}

void Site::setTableLink(const json::object& faults) const
{
    postLocal(m_tableRelayPort, "/_control", faults);
}

json::object Site::engineRuns(std::size_t i) const
{
    return getLocal(m_enginePorts.at(i), "/_runs");
}

std::int64_t Site::engineCount(std::size_t i, const std::string& name) const
{
    return numberAt(getLocal(m_enginePorts.at(i), "/_stats"), name);
}

json::object Site::serviceRuns() const
{
    return getLocal(m_servicePort, "/_runs");
}

rpc::ChangeReply Site::change(std::size_t daemon, const std::string& path, const std::string& field, const std::string& value, std::int64_t readVersion) const
{
    rpc::ChangeRequest request;
    request.changeId = changeId();
    request.author = "test";
    request.edits = { editOf(path, field, value, readVersion) };
    return callOperator(m_ports.at(daemon).peer, [&](rpc::OperatorServiceClient& client) {
        rpc::ChangeReply reply;
        client.change(reply, operatorSecret, request);
        return reply;
    });
}

rpc::TargetStatus Site::targetStatus(std::size_t daemon, const std::string& target) const
{
    return callOperator(m_ports.at(daemon).peer, [&](rpc::OperatorServiceClient& client) {
        rpc::TargetStatus status;
        client.targetStatus(status, operatorSecret, target);
        return status;
    });
}

std::string Site::valueAt(std::size_t daemon, const std::string& path, const std::string& field) const
{
    return callOperator(m_ports.at(daemon).peer, [&](rpc::OperatorServiceClient& client) {
        std::vector<rpc::ExplainedValue> values;
        client.explain(values, operatorSecret, path);
        for (const rpc::ExplainedValue& value : values) {
            if (value.field == field)
                return value.value;
        }
        return std::string();
    });
}

std::string Site::promiseViolations(const LoadResult& load) const
{
    std::string violations;
    auto addViolation = [&](const std::string& text) { violations += text + '\n'; };
    if (static_cast<std::int64_t>(load.records.size()) != load.count("sent"))
        addViolation("a caller without an outcome");
    json::object service = serviceRuns();
    if (numberAt(service, "doubled"))
        addViolation("doubled runs: " + json::serialize(service));
    std::vector<json::object> engines;
    for (std::size_t i = 0; i < m_enginePorts.size(); ++i)
        engines.push_back(engineRuns(i));

    for (const json::object& record : load.records) {
        std::string outcome(record.at("told").as_string());
        std::string name(record.at("prompt").as_string());
        bool isService = record.at("kind").as_string() == "service";
        if (outcome == "mismatched")
            addViolation("a mismatched answer: " + json::serialize(record));
        const json::object& runs = service.at("runs").as_object();
        if (isService && outcome == "not_run" && runs.contains(name))
            addViolation("answered as not run, but ran: " + json::serialize(record));
        std::int64_t uncancelledRuns = 0;
        for (const json::object& engine : engines) {
            const json::value* counts = engine.if_contains(name);
            if (counts && !isService)
                uncancelledRuns += numberAt(counts->as_object(), "started") - numberAt(counts->as_object(), "cancelled");
        }
        if (!isService && outcome == "not_run" && uncancelledRuns)
            addViolation("answered as not run, but ran: " + json::serialize(record));
        if (!isService && uncancelledRuns > 1)
            addViolation("dispatched more than once: " + json::serialize(record));
    }
    return violations;
}

} // namespace limpetpond
