/// A load generator: sends requests to the entry addresses, records the outcome of each call, and compares each answer
/// byte for byte with the fake engine's answer to that prompt.
///
/// Prints one JSON line for each request with --print_records, and at the end one JSON object: `sent`,
/// `completed`, `not_run`, `unknown`, `mismatched`, `by_key` (for each bearer key), `seconds`. A call whose
/// connection breaks after its request was sent counts as unknown; one that can't connect tries the next entry.

#include "engine/EngineClient.h"
#include "engine/EventStream.h"
#include "engine/Prompt.h"
#include "http/HttpClient.h"
#include "test/fakes/common/Answer.h"
#include "test/fakes/common/FakeServer.h"
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <array>
#include <atomic>
#include <cmath>
#include <map>
#include <pcg_random.hpp>
#include <random>

ABSL_FLAG(std::vector<std::string>, entries, {}, "the entry addresses, as IP:PORT");
ABSL_FLAG(std::vector<std::string>, keys, {}, "the bearer keys, used in turn");
ABSL_FLAG(int, requests, 100, "how many requests to send");
ABSL_FLAG(int, concurrency, 16, "callers that wait for an answer at once");
ABSL_FLAG(double, rate, 0, "requests a second, evenly over time; 0 sends the next when one ends");
ABSL_FLAG(std::string, model, "draft", "the model to ask for");
ABSL_FLAG(std::string, service, "", "the name of a plain service to call as well");
ABSL_FLAG(std::string, service_path, "/pay", "the path at the service");
ABSL_FLAG(double, service_share, 0.25, "the share of calls that go to the service");
ABSL_FLAG(double, stream_share, 0.7, "the share of model requests that ask for a stream");
ABSL_FLAG(int, min_prompt_tokens, 16, "the shortest prompt");
ABSL_FLAG(int, max_prompt_tokens, 1'600, "the longest prompt");
ABSL_FLAG(int, max_tokens, 16, "the length of each answer");
ABSL_FLAG(int, timeout_ms, 30'000, "how long a caller waits without a byte");
ABSL_FLAG(std::string, tag, "load", "part of each prompt and idempotency key, to make them unique");
ABSL_FLAG(std::uint64_t, seed, 1, "of the random choices");
ABSL_FLAG(bool, print_records, false, "print a line for each request");

namespace limpetpond::fakes {
namespace {

    using std::chrono::milliseconds;

    enum class CallerOutcome {
        Completed,
        NotRun,
        Unknown,
        Mismatched, ///< Reported as completed, but the bytes are not the answer to the request.
    };

    constexpr std::array outcomeNames = { "completed", "not_run", "unknown", "mismatched" };

    const char* nameOf(CallerOutcome outcome)
    {
        return outcomeNames[static_cast<std::size_t>(outcome)];
    }

    struct PlannedCall {
        int number { 0 };
        std::string bearer;
        bool isService { false };
        bool streams { false };
        std::string content; ///< Model: the user's message. Service: the body.
        std::string expected; ///< Model: the answer's text.
        std::string key; ///< Service: the idempotency key.
    };

    struct CallRecord {
        CallerOutcome outcome { CallerOutcome::Unknown };
        std::string reason;
        std::string requestId;
        int status { 0 };
        double seconds { 0 };
        double firstByteSeconds { 0 };
    };

    std::vector<HttpEndpoint> entries()
    {
        std::vector<HttpEndpoint> out;
        for (const std::string& text : absl::GetFlag(FLAGS_entries)) {
            std::size_t colon = text.rfind(':');
            out.push_back({ text.substr(0, colon), std::atoi(text.substr(colon + 1).c_str()) });
        }
        return out;
    }

    // Lengths are uniform in their logarithm, over a factor of 100 by default.
    std::string contentOf(const std::string& start, pcg32& random)
    {
        std::uniform_real_distribution<double> power(std::log(absl::GetFlag(FLAGS_min_prompt_tokens)), std::log(absl::GetFlag(FLAGS_max_prompt_tokens)));
        auto bytes = static_cast<std::size_t>(std::exp(power(random)) * bytesPerToken);
        std::string out = start;
        while (out.size() < bytes)
            out += " movement of tag " + std::to_string(random() % 10'000);
        return out;
    }

    std::vector<PlannedCall> plan()
    {
        pcg32 random(absl::GetFlag(FLAGS_seed));
        std::uniform_real_distribution<double> share(0, 1);
        const auto keys = absl::GetFlag(FLAGS_keys);
        const std::string tag = absl::GetFlag(FLAGS_tag);
        const int maxTokens = absl::GetFlag(FLAGS_max_tokens);
        std::vector<PlannedCall> calls(static_cast<std::size_t>(absl::GetFlag(FLAGS_requests)));
        for (std::size_t i = 0; i < calls.size(); ++i) {
            PlannedCall& call = calls[i];
            call.number = static_cast<int>(i);
            call.bearer = keys.empty() ? std::string() : keys[i % keys.size()];
            call.isService = !absl::GetFlag(FLAGS_service).empty() && share(random) < absl::GetFlag(FLAGS_service_share);
            call.streams = share(random) < absl::GetFlag(FLAGS_stream_share);
            std::string name = tag + '-' + std::to_string(i);
            call.key = name;
            call.content = call.isService ? "fee " + name : contentOf(name, random);
            call.expected = answerText("user\n" + call.content + '\n', maxTokens);
        }
        return calls;
    }

    HttpRequest requestOf(const PlannedCall& call)
    {
        HttpRequest request { .method = "POST" };
        if (!call.bearer.empty())
            request.headers.push_back({ "Authorization", "Bearer " + call.bearer });
        if (call.isService) {
            request.path = "/services/" + absl::GetFlag(FLAGS_service) + absl::GetFlag(FLAGS_service_path);
            request.headers.push_back({ "Idempotency-Key", call.key });
            request.contentType = "text/plain";
            request.body = call.content;
            return request;
        }
        request.path = "/v1/chat/completions";
        request.contentType = "application/json";
        json::object message { { "role", "user" }, { "content", call.content } };
        json::object body { { "model", absl::GetFlag(FLAGS_model) }, { "max_tokens", absl::GetFlag(FLAGS_max_tokens) }, { "stream", call.streams } };
        body["messages"] = json::array { std::move(message) };
        request.body = json::serialize(body);
        return request;
    }

    // The part of an answer that a caller received.
    struct ReceivedAnswer {
        HttpResponse head;
        std::string body;
        double firstByteSeconds { 0 };
        bool isBroken { false }; ///< The connection ended before the answer did.
    };

    CallerOutcome outcomeFromName(const std::string& outcome)
    {
        if (outcome == "completed")
            return CallerOutcome::Completed;
        return outcome == "not_run" ? CallerOutcome::NotRun : CallerOutcome::Unknown;
    }

    void readError(const std::string& text, CallRecord& record)
    {
        json::object body = parseBody(text);
        const json::value* error = body.if_contains("error");
        if (!error || !error->is_object())
            return;
        record.outcome = outcomeFromName(textIn(error->get_object(), "outcome"));
        record.reason = textIn(error->get_object(), "code");
    }

    std::string streamText(const std::string& body, bool& ended, CallRecord& record)
    {
        std::string text;
        EventStreamParser parser;
        for (const ServerSentEvent& event : parser.parse(body)) {
            if (event.data == "[DONE]") {
                ended = true;
                continue;
            }
            Result<EngineChunk> chunk = parseEngineChunk(event.data);
            if (chunk)
                text += chunk->text;
            else
                readError(event.data, record);
        }
        return text;
    }

    std::string wholeText(const std::string& body)
    {
        boost::system::error_code error;
        json::value value = json::parse(body, error);
        const json::value* text = error ? nullptr : value.find_pointer("/choices/0/message/content", error);
        return text && text->is_string() ? std::string(text->get_string()) : std::string();
    }

    void checkModelAnswer(const PlannedCall& call, const ReceivedAnswer& received, CallRecord& record)
    {
        bool ended = !call.streams;
        std::string text = call.streams ? streamText(received.body, ended, record) : wholeText(received.body);
        if (!ended) {
            // The received part of an interrupted answer must be a prefix of the caller's own answer.
            if (!call.expected.starts_with(text))
                record.outcome = CallerOutcome::Mismatched;
            return;
        }
        record.outcome = text == call.expected ? CallerOutcome::Completed : CallerOutcome::Mismatched;
    }

    void checkServiceAnswer(const PlannedCall& call, const ReceivedAnswer& received, CallRecord& record)
    {
        if (received.isBroken) {
            // The received part of an interrupted answer must be a prefix of the caller's own answer.
            const std::string start = R"({"key":")" + call.key + '"';
            bool isOwn = received.body.size() < start.size() ? start.starts_with(received.body) : received.body.starts_with(start);
            record.outcome = isOwn ? CallerOutcome::Unknown : CallerOutcome::Mismatched;
            return;
        }
        record.outcome = textIn(parseBody(received.body), "key") == call.key ? CallerOutcome::Completed : CallerOutcome::Mismatched;
    }

    void checkAnswer(const PlannedCall& call, const ReceivedAnswer& received, CallRecord& record)
    {
        record.status = received.head.status;
        record.reason = headerValue(received.head.headers, "Limpetpond-Reason");
        record.requestId = headerValue(received.head.headers, "Limpetpond-Request-Id");
        if (received.head.status == 200)
            return call.isService ? checkServiceAnswer(call, received, record) : checkModelAnswer(call, received, record);
        record.outcome = outcomeFromName(headerValue(received.head.headers, "Limpetpond-Outcome"));
        readError(received.body, record);
    }

    // Makes one call. Tries the next entry only if nothing was sent.
    CallRecord makeCall(const PlannedCall& call, const std::vector<HttpEndpoint>& addresses)
    {
        const auto start = std::chrono::steady_clock::now();
        auto elapsed = [start] { return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count(); };
        const HttpTimeouts timeouts { .read = milliseconds(absl::GetFlag(FLAGS_timeout_ms)) };
        CallRecord record;
        for (std::size_t i = 0; i < addresses.size(); ++i) {
            ReceivedAnswer received;
            HttpStreamHandlers handlers;
            handlers.head = [&](const HttpResponse& head) {
                received.head = head;
                return true;
            };
            handlers.data = [&](std::string_view data) {
                if (received.body.empty())
                    received.firstByteSeconds = elapsed();
                received.body += data;
                return true;
            };
            const HttpEndpoint& address = addresses[(static_cast<std::size_t>(call.number) + i) % addresses.size()];
            auto failure = boost::leaf::try_handle_all(
                [&]() -> Result<std::optional<CallError>> {
                    BOOST_LEAF_CHECK(httpStream(address, requestOf(call), timeouts, handlers));
                    return std::optional<CallError>();
                },
                [](const CallError& error) { return std::optional(error); },
                [] { return std::optional(CallError {}); });
            record = {};
            if (failure && failure->failure == CallFailure::NotSent) {
                record.outcome = CallerOutcome::NotRun;
                record.reason = "no connection";
                continue;
            }
            received.isBroken = failure.has_value();
            checkAnswer(call, received, record);
            if (failure && record.outcome == CallerOutcome::Completed && (call.isService || !call.streams))
                record.outcome = CallerOutcome::Unknown;
            if (failure && record.reason.empty())
                record.reason = "connection broke: " + failure->detail;
            record.firstByteSeconds = received.firstByteSeconds;
            break;
        }
        record.seconds = elapsed();
        return record;
    }

    class Tally {
    public:
        void add(const PlannedCall& call, const CallRecord& record)
        {
            std::lock_guard lock(m_mutex);
            ++m_outcomes[nameOf(record.outcome)];
            ++m_byKey[call.bearer][nameOf(record.outcome)];
            if (!absl::GetFlag(FLAGS_print_records))
                return;
            json::object line {
                { "number", call.number }, { "key", call.bearer }, { "kind", call.isService ? "service" : "model" },
                { "prompt", call.isService ? call.key : promptName("user\n" + call.content + '\n') },
                { "told", nameOf(record.outcome) }, { "reason", record.reason }, { "status", record.status },
                { "request_id", record.requestId }, { "seconds", record.seconds }, { "first_byte_seconds", record.firstByteSeconds }
            };
            std::puts(json::serialize(line).c_str());
            std::fflush(stdout);
        }

        json::object summary(std::size_t sent, double seconds)
        {
            std::lock_guard lock(m_mutex);
            json::object out { { "sent", sent } };
            for (const char* name : outcomeNames)
                out[name] = m_outcomes[name];
            json::object byKey;
            for (auto& [key, outcome] : m_byKey) {
                json::object counts;
                for (const char* name : outcomeNames)
                    counts[name] = outcome[name];
                byKey[key] = std::move(counts);
            }
            out["by_key"] = std::move(byKey);
            out["seconds"] = seconds;
            return out;
        }

    private:
        std::mutex m_mutex;
        std::map<std::string, int> m_outcomes;
        std::map<std::string, std::map<std::string, int>> m_byKey;
    };

    void runLoad()
    {
        const std::vector<PlannedCall> calls = plan();
        const std::vector<HttpEndpoint> addresses = entries();
        const double rate = absl::GetFlag(FLAGS_rate);
        const auto start = std::chrono::steady_clock::now();
        std::atomic<std::size_t> next { 0 };
        Tally tally;
        auto work = [&] {
            for (std::size_t i = next++; i < calls.size(); i = next++) {
                if (rate > 0)
                    std::this_thread::sleep_until(start + std::chrono::duration<double>(static_cast<double>(i) / rate));
                tally.add(calls[i], makeCall(calls[i], addresses));
            }
        };
        std::vector<std::thread> workers;
        workers.reserve(static_cast<std::size_t>(absl::GetFlag(FLAGS_concurrency)));
        for (int i = 0; i < absl::GetFlag(FLAGS_concurrency); ++i)
            workers.emplace_back(work);
        for (std::thread& worker : workers)
            worker.join();
        std::chrono::duration<double> passed = std::chrono::steady_clock::now() - start;
        std::puts(json::serialize(tally.summary(calls.size(), passed.count())).c_str());
    }

} // namespace
} // namespace limpetpond::fakes

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    limpetpond::fakes::runLoad();
    return 0;
}
