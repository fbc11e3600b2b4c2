/// A fake platform: a table service on one port; an object store, a weight store, the instance list and the control
/// calls on a second one. Prints both ports, the table's first.
///
/// Control calls: POST /_control/faults (see Faults.h; `listening` false refuses connections),
/// POST /_control/instances (the next version of the list, visible after the lag), POST /_control/snapshot,
/// POST /_control/restore, GET /_control/rows?prefix=, GET /_control/stats.

#include "test/fakes/common/FakeServer.h"
#include "test/fakes/platform/Faults.h"
#include "test/fakes/platform/TableService.h"
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <atomic>
#include <deque>
#include <memory>

ABSL_FLAG(int, port, 0, "the table service's port; 0 for any");
ABSL_FLAG(int, services_port, 0, "the port of the other services and of control; 0 for any");
ABSL_FLAG(double, reads_per_second, 2000, "reads that the table service admits a second");
ABSL_FLAG(double, writes_per_second, 400, "transactions that the table service admits a second");
ABSL_FLAG(double, weight_reads_per_second, 20, "parts that the weight store admits a second");
ABSL_FLAG(int, weight_bytes, 8 << 20, "the size of every object of the weight store");
ABSL_FLAG(int, list_lag_ms, 500, "the lag of the instance list");

namespace limpetpond::fakes {
namespace {

    using SteadyTime = std::chrono::steady_clock::time_point;

    // The table service's listener. A control call can stop it and restart it on the same port.
    class TableListener {
    public:
        TableListener(TableService& table, Faults& faults)
            : m_table(table)
            , m_faults(faults)
        {
        }

        int start(int port)
        {
            m_server = std::make_unique<httplib::Server>();
            configure(*m_server);
            m_server->Post("/", [this](const httplib::Request& request, httplib::Response& response) { serve(request, response); });
            m_port = bindLoopback(*m_server, port);
            m_thread = std::thread([this] { m_server->listen_after_bind(); });
            return m_port;
        }

        void setListening(bool listening)
        {
            std::lock_guard lock(m_mutex);
            if (listening == m_thread.joinable())
                return;
            if (listening) {
                start(m_port);
                return;
            }
            m_server->stop();
            m_thread.join();
        }

    private:
        void serve(const httplib::Request& request, httplib::Response& response)
        {
            std::string target = request.get_header_value("X-Amz-Target");
            std::string operation = target.substr(target.find('.') + 1);
            CallFaults callFaults = m_faults.faultsOfNextCall(operation == "TransactWriteItems");
            std::this_thread::sleep_for(callFaults.delay);
            if (callFaults.isBroken)
                return breakAnswer(response);
            TableReply reply = callFaults.isThrottled ? tableError("ThrottlingException") : m_table.execute(operation, parseBody(request.body));
            if (callFaults.losesAnswer)
                return breakAnswer(response);
            answerJson(response, reply.body, reply.status);
        }

        TableService& m_table;
        Faults& m_faults;
        std::mutex m_mutex;
        std::unique_ptr<httplib::Server> m_server;
        std::thread m_thread;
        int m_port { 0 };
    };

    // A list whose changes become visible after a delay.
    class DelayedList {
    public:
        void set(json::value items)
        {
            std::lock_guard lock(m_mutex);
            m_versions.push_back({ std::chrono::steady_clock::now(), std::move(items) });
        }

        json::value shown(std::chrono::milliseconds lag)
        {
            std::lock_guard lock(m_mutex);
            auto limit = std::chrono::steady_clock::now() - lag;
            while (m_versions.size() > 1 && m_versions[1].at <= limit)
                m_versions.pop_front();
            bool visible = !m_versions.empty() && (m_isShown || m_versions.front().at <= limit);
            m_isShown = visible;
            return visible ? m_versions.front().items : json::value(json::array());
        }

    private:
        struct Version {
            SteadyTime at;
            json::value items;
        };
        std::mutex m_mutex;
        std::deque<Version> m_versions;
        bool m_isShown { false };
    };

    // Makes one slice for each instance because the port belongs to the slice and instances have different ports.
    json::value sliceOf(const json::object& instance)
    {
        bool leaving = flagIn(instance, "leaving", false);
        json::object conditions { { "ready", !leaving }, { "serving", true }, { "terminating", leaving } };
        json::object endpoint {
            { "addresses", json::array { textIn(instance, "host", "127.0.0.1") } },
            { "conditions", std::move(conditions) },
            { "zone", textIn(instance, "failure_domain") },
            { "targetRef", json::object { { "kind", "Pod" }, { "name", textIn(instance, "instance") } } },
        };
        json::object port { { "name", "peer" }, { "port", static_cast<int>(numberIn(instance, "port", 0)) }, { "protocol", "TCP" } };
        return json::object {
            { "addressType", "IPv4" },
            { "metadata", json::object { { "name", textIn(instance, "instance") } } },
            { "endpoints", json::array { std::move(endpoint) } },
            { "ports", json::array { std::move(port) } },
        };
    }

    json::value sliceListOf(const json::object& body)
    {
        json::array items;
        const json::value* instances = body.if_contains("instances");
        if (instances && instances->is_array()) {
            for (const json::value& instance : instances->get_array())
                items.push_back(sliceOf(instance.as_object()));
        }
        return items;
    }

    class ObjectService {
    public:
        void serve(httplib::Server& server)
        {
            server.Put(R"(/([a-z][^/]*/.+))", [this](const httplib::Request& request, httplib::Response&) {
                std::lock_guard lock(m_mutex);
                m_objects[request.matches[1]] = request.body;
            });
            server.Get(R"(/([a-z][^/]*/.+))", [this](const httplib::Request& request, httplib::Response& response) {
                std::lock_guard lock(m_mutex);
                auto found = m_objects.find(request.matches[1]);
                if (found == m_objects.end())
                    response.status = 404;
                else
                    response.set_content(found->second, "application/octet-stream");
            });
        }

    private:
        std::mutex m_mutex;
        std::map<std::string, std::string> m_objects;
    };

    // Every object has the same size and contains zeros. The HTTP library handles range requests.
    class WeightService {
    public:
        WeightService(double readsPerSecond, int bytes)
            : m_bytes(static_cast<std::size_t>(bytes))
        {
            m_limit.set(readsPerSecond);
        }

        void serve(httplib::Server& server)
        {
            server.Get(R"(/weights/(.+))", [this](const httplib::Request&, httplib::Response& response) {
                if (isThrottled()) {
                    response.status = 429;
                    response.set_header("Retry-After", "1");
                    return;
                }
                response.set_content(std::string(m_bytes, '\0'), "application/octet-stream");
            });
        }

    private:
        bool isThrottled()
        {
            std::lock_guard lock(m_mutex);
            return !m_limit.acquire();
        }

        std::mutex m_mutex;
        RateLimit m_limit;
        std::size_t m_bytes;
    };

    void serveControl(httplib::Server& server, TableService& table, Faults& faults, TableListener& listener, DelayedList& list)
    {
        server.Post("/_control/faults", [&](const httplib::Request& request, httplib::Response& response) {
            json::object wanted = parseBody(request.body);
            faults.set(wanted);
            if (wanted.contains("listening"))
                listener.setListening(flagIn(wanted, "listening", true));
            answerJson(response, json::object());
        });
        server.Post("/_control/instances", [&](const httplib::Request& request, httplib::Response& response) {
            list.set(sliceListOf(parseBody(request.body)));
            answerJson(response, json::object());
        });
        server.Post("/_control/snapshot", [&](const httplib::Request&, httplib::Response&) { table.saveSnapshot(); });
        server.Post("/_control/restore", [&](const httplib::Request&, httplib::Response&) { table.restoreSnapshot(); });
        server.Get("/_control/rows", [&](const httplib::Request& request, httplib::Response& response) {
            answerJson(response, table.rows(request.get_param_value("prefix")));
        });
        server.Get("/_control/stats", [&](const httplib::Request&, httplib::Response& response) {
            json::object out = table.counts();
            for (const auto& count : faults.counts())
                out[count.key()] = count.value();
            answerJson(response, out);
        });
    }

    void runPlatform()
    {
        TableService table;
        Faults faults(absl::GetFlag(FLAGS_reads_per_second), absl::GetFlag(FLAGS_writes_per_second));
        TableListener listener(table, faults);
        DelayedList list;
        ObjectService objects;
        WeightService weights(absl::GetFlag(FLAGS_weight_reads_per_second), absl::GetFlag(FLAGS_weight_bytes));
        const std::chrono::milliseconds lag(absl::GetFlag(FLAGS_list_lag_ms));

        httplib::Server server;
        configure(server);
        serveControl(server, table, faults, listener, list);
        weights.serve(server);
        server.Get(R"(/apis/discovery\.k8s\.io/v1/namespaces/[^/]+/endpointslices)", [&](const httplib::Request&, httplib::Response& response) {
            answerJson(response, json::object { { "kind", "EndpointSliceList" }, { "items", list.shown(lag) } });
        });
        objects.serve(server); // Registered last because its pattern matches any path.
        printPort(listener.start(absl::GetFlag(FLAGS_port)));
        printPort(bindLoopback(server, absl::GetFlag(FLAGS_services_port)));
        server.listen_after_bind();
    }

} // namespace
} // namespace limpetpond::fakes

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    limpetpond::fakes::runPlatform();
    return 0;
}
