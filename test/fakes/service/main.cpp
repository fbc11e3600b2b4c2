/// A fake plain service. It runs every call of any method and path and counts the runs of each idempotency key, so that
/// tests can detect a call that ran twice. The answer names the key, the run and the body's length.
///
/// GET /_runs returns `total`, `doubled` (number of keys with more than one run) and `runs` (by key).
/// POST /_control sets `delay_ms`, `break_answers` (runs the next N calls but breaks their answers; -1: all),
/// `fail_status` (answers this status without a run; 0: off).

#include "test/fakes/common/FakeServer.h"
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <map>

ABSL_FLAG(int, port, 0, "the port; 0 for any");
ABSL_FLAG(int, delay_ms, 0, "how long each run takes");
ABSL_FLAG(bool, checks_keys, false, "repeat the first answer of a key instead of a second run");

namespace limpetpond::fakes {
namespace {

    class PlainService {
    public:
        PlainService(int delayMs, bool checksKeys)
            : m_delay(delayMs)
            , m_checksKeys(checksKeys)
        {
        }

        void serve(const httplib::Request& request, httplib::Response& response)
        {
            std::string key = request.get_header_value("Idempotency-Key");
            if (key.empty())
                key = "attempt:" + request.get_header_value("X-Attempt-Id");
            std::unique_lock lock(m_mutex);
            if (m_failStatus)
                return answerJson(response, json::object { { "error", "set by control" } }, m_failStatus);
            if (m_checksKeys && m_answers.contains(key))
                return answerJson(response, m_answers[key]);
            int run = ++m_runs[key];
            ++m_total;
            json::object answer {
                { "key", key },
                { "run", run },
                { "method", request.method },
                { "path", request.path },
                { "body_bytes", request.body.size() },
            };
            m_answers[key] = answer;
            bool breaks = m_breakAnswers;
            if (m_breakAnswers > 0)
                --m_breakAnswers;
            auto delay = m_delay;
            lock.unlock();
            std::this_thread::sleep_for(delay);
            if (breaks)
                return breakAnswer(response);
            answerJson(response, answer);
        }

        void applyControl(const json::object& wanted)
        {
            std::lock_guard lock(m_mutex);
            m_delay = std::chrono::milliseconds(static_cast<int>(numberIn(wanted, "delay_ms", static_cast<double>(m_delay.count()))));
            m_breakAnswers = static_cast<int>(numberIn(wanted, "break_answers", m_breakAnswers));
            m_failStatus = static_cast<int>(numberIn(wanted, "fail_status", m_failStatus));
        }

        json::object runs()
        {
            std::lock_guard lock(m_mutex);
            json::object byKey;
            std::int64_t doubled = 0;
            for (const auto& [key, count] : m_runs) {
                byKey[key] = count;
                doubled += count > 1;
            }
            return { { "total", m_total }, { "doubled", doubled }, { "runs", std::move(byKey) } };
        }

    private:
        std::mutex m_mutex;
        std::chrono::milliseconds m_delay;
        bool m_checksKeys;
        int m_breakAnswers { 0 };
        int m_failStatus { 0 };
        std::int64_t m_total { 0 };
        std::map<std::string, int> m_runs;
        std::map<std::string, json::object> m_answers;
    };

    void runService()
    {
        PlainService service(absl::GetFlag(FLAGS_delay_ms), absl::GetFlag(FLAGS_checks_keys));
        httplib::Server server;
        configure(server);
        server.Get("/_runs", [&](const httplib::Request&, httplib::Response& response) { answerJson(response, service.runs()); });
        server.Post("/_control", [&](const httplib::Request& request, httplib::Response& response) {
            service.applyControl(parseBody(request.body));
            answerJson(response, json::object());
        });
        auto handler = [&](const httplib::Request& request, httplib::Response& response) { service.serve(request, response); };
        server.Get(".*", handler);
        server.Post(".*", handler);
        server.Put(".*", handler);
        server.Patch(".*", handler);
        server.Delete(".*", handler);
        printPort(bindLoopback(server, absl::GetFlag(FLAGS_port)));
        server.listen_after_bind();
    }

} // namespace
} // namespace limpetpond::fakes

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    limpetpond::fakes::runService();
    return 0;
}
