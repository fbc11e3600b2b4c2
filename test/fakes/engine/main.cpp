/// A fake model engine, with the protocol of docs/PROTOCOLS.md under "Model engines".
///
/// GET /_runs returns the runs of each prompt, GET /_stats the counters, GET /_orders the accepted engine commands.
/// POST /_control sets any of: `slowdown` (factor), `refuse` (answers 503), `cut_after` (breaks each connection after
/// this number of events; 0: off), `cuts` (how many connections to break; -1: all), `repeat_every`, `foreign_every`,
/// `swap_every` (every n-th event is repeated, preceded by one of another stream, or sent late; 0: off), `forget`
/// (drops all streams), `order_ms` (duration of an engine command).

#include "engine/Prompt.h"
#include "test/fakes/common/Answer.h"
#include "test/fakes/common/FakeServer.h"
#include "test/fakes/engine/Batch.h"
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <charconv>
#include <sstream>

ABSL_FLAG(int, port, 0, "the port; 0 for any");
ABSL_FLAG(double, prefill_rate, 8000, "prompt tokens a second");
ABSL_FLAG(double, decode_rate, 100, "answer tokens a second of a lone stream");
ABSL_FLAG(double, batch_slope, 0.03, "how much longer a step takes for each further stream");
ABSL_FLAG(int, max_batch, 32, "streams that are worked on together");
ABSL_FLAG(int, cache_tokens, 200'000, "tokens of prefix cache");
ABSL_FLAG(int, cache_gap_every, 20, "each so manieth cache event is never published; 0 for none");
ABSL_FLAG(int, cache_lag_ms, 300, "the lag of cache events");
ABSL_FLAG(int, load_lag_ms, 500, "the lag of the load report");
ABSL_FLAG(bool, checks_fencing, false, "refuse orders with a fencing number below the highest seen");
ABSL_FLAG(int, order_ms, 200, "how long an order takes");

namespace limpetpond::fakes {
namespace {

    using std::chrono::milliseconds;

    std::string hexOf(std::uint64_t value)
    {
        char text[32];
        std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(value));
        return text;
    }

    json::array hexList(const std::vector<std::uint64_t>& values)
    {
        json::array out;
        for (std::uint64_t value : values)
            out.emplace_back(hexOf(value));
        return out;
    }

    std::uint64_t hexValue(std::string_view text)
    {
        std::uint64_t out = 0;
        std::from_chars(text.data(), text.data() + text.size(), out, 16);
        return out;
    }

    json::object usageOf(const EngineStream& stream, std::size_t produced)
    {
        return {
            { "prompt_tokens", stream.promptTokens },
            { "completion_tokens", produced },
            { "total_tokens", stream.promptTokens + static_cast<std::int64_t>(produced) },
            { "prompt_tokens_details", json::object { { "cached_tokens", stream.cachedTokens } } },
        };
    }

    // The faults of one connection of a stream.
    struct StreamFaults {
        int cutAfter { 0 };
        int repeatEvery { 0 };
        int foreignEvery { 0 };
        int swapEvery { 0 };
    };

    class EngineControl {
    public:
        void set(const json::object& wanted)
        {
            std::lock_guard lock(m_mutex);
            m_refuses = flagIn(wanted, "refuse", m_refuses);
            m_cuts = static_cast<int>(numberIn(wanted, "cuts", m_cuts));
            m_faults.cutAfter = static_cast<int>(numberIn(wanted, "cut_after", m_faults.cutAfter));
            m_faults.repeatEvery = static_cast<int>(numberIn(wanted, "repeat_every", m_faults.repeatEvery));
            m_faults.foreignEvery = static_cast<int>(numberIn(wanted, "foreign_every", m_faults.foreignEvery));
            m_faults.swapEvery = static_cast<int>(numberIn(wanted, "swap_every", m_faults.swapEvery));
        }

        bool refuses()
        {
            std::lock_guard lock(m_mutex);
            return m_refuses;
        }

        StreamFaults faultsOfNextConnection()
        {
            std::lock_guard lock(m_mutex);
            StreamFaults out = m_faults;
            if (!m_cuts)
                out.cutAfter = 0;
            if (out.cutAfter && m_cuts > 0)
                --m_cuts;
            return out;
        }

    private:
        std::mutex m_mutex;
        bool m_refuses { false };
        int m_cuts { -1 };
        StreamFaults m_faults;
    };

    // Sends a stream over one connection, starting after a position.
    class StreamWriter {
    public:
        StreamWriter(Batch& batch, std::shared_ptr<EngineStream> stream, std::size_t position, StreamFaults faults)
            : m_batch(batch)
            , m_stream(std::move(stream))
            , m_position(position)
            , m_faults(faults)
        {
        }

        // The server calls it until it ends the answer. Returning false breaks the connection.
        bool write(httplib::DataSink& sink)
        {
            constexpr auto pollTimeout = milliseconds(200);
            if (!sink.is_writable())
                return false;
            Batch::Progress progress = m_batch.waitFor(*m_stream, m_position, pollTimeout);
            while (m_position < progress.produced) {
                if (m_faults.cutAfter && m_sent >= m_faults.cutAfter)
                    return false;
                if (!sendNext(sink))
                    return false;
            }
            if (progress.state == StreamState::Cancelled)
                return false;
            if (progress.state != StreamState::Done)
                return true;
            if (!send(sink, m_delayedEvent))
                return false;
            m_delayedEvent.clear();
            bool sent = send(sink, eventText(m_stream->attempt, m_stream->tokens.size() + 1, "[DONE]"));
            sink.done();
            return sent;
        }

    private:
        bool sendNext(httplib::DataSink& sink)
        {
            ++m_position;
            ++m_sent;
            std::string event = eventText(m_stream->attempt, m_position, chunkOf(m_position));
            if (isDue(m_faults.foreignEvery))
                event = eventText("other-" + m_stream->attempt, m_position, chunkOf(1)) + event;
            if (isDue(m_faults.repeatEvery))
                event += event;
            if (isDue(m_faults.swapEvery) && m_delayedEvent.empty()) {
                m_delayedEvent = std::move(event);
                return true;
            }
            event += m_delayedEvent;
            m_delayedEvent.clear();
            return send(sink, event);
        }

        bool isDue(int every) const { return every && !(m_sent % every); }

        static bool send(httplib::DataSink& sink, const std::string& text) { return text.empty() || sink.write(text.data(), text.size()); }

        static std::string eventText(const std::string& attempt, std::size_t position, const std::string& data)
        {
            return "id: " + attempt + ':' + std::to_string(position) + "\ndata: " + data + "\n\n";
        }

        // The chunk at a position, counted from 1.
        std::string chunkOf(std::size_t position) const
        {
            const std::string& token = m_stream->tokens[position - 1];
            bool last = position == m_stream->tokens.size();
            json::object choice { { "index", 0 } };
            if (m_stream->isChat)
                choice["delta"] = json::object { { "content", token } };
            else
                choice["text"] = token;
            choice["finish_reason"] = last ? json::value("stop") : json::value(nullptr);
            json::object chunk {
                { "id", "cmpl-" + m_stream->attempt },
                { "object", m_stream->isChat ? "chat.completion.chunk" : "text_completion" },
                { "choices", json::array { std::move(choice) } },
            };
            if (position == 1 || last)
                chunk["usage"] = usageOf(*m_stream, position);
            return json::serialize(chunk);
        }

        Batch& m_batch;
        std::shared_ptr<EngineStream> m_stream;
        std::size_t m_position;
        StreamFaults m_faults;
        int m_sent { 0 };
        std::string m_delayedEvent;
    };

    // The engine's desired state as set by engine commands. Each command names the complete desired state.
    class CommandState {
    public:
        CommandState(bool checksFencing, int commandMs)
            : m_checksFencing(checksFencing)
            , m_commandDuration(commandMs)
        {
        }

        void handle(const json::object& command, httplib::Response& response)
        {
            std::lock_guard lock(m_mutex);
            auto fencing = static_cast<std::uint64_t>(numberIn(command, "fencing", 0));
            if (m_checksFencing && fencing < m_highestFencing)
                return answer(response, "old_fencing", 409);
            m_highestFencing = std::max(m_highestFencing, fencing);
            const json::value* desired = command.if_contains("desired");
            if (!desired || !desired->is_object())
                return answer(response, "no desired state", 400);
            auto now = std::chrono::steady_clock::now();
            if (*desired != m_desired) {
                m_desired = *desired;
                m_reachedAt = now + m_commandDuration;
            }
            m_log.push_back(json::object { { "fencing", fencing }, { "desired", *desired } });
            bool reached = now >= m_reachedAt;
            answer(response, reached ? "reached" : "in_progress", reached ? 200 : 202);
        }

        void setCommandDuration(milliseconds time)
        {
            std::lock_guard lock(m_mutex);
            m_commandDuration = time;
        }

        json::object state()
        {
            std::lock_guard lock(m_mutex);
            return { { "highest_fencing", m_highestFencing }, { "desired", m_desired }, { "orders", m_log } };
        }

    private:
        void answer(httplib::Response& response, const char* state, int status) const
        {
            std::uint64_t shown = m_checksFencing ? m_highestFencing : 0;
            answerJson(response, json::object { { "state", state }, { "highest_fencing", shown } }, status);
        }

        std::mutex m_mutex;
        bool m_checksFencing;
        milliseconds m_commandDuration;
        std::uint64_t m_highestFencing { 0 };
        json::value m_desired;
        std::chrono::steady_clock::time_point m_reachedAt;
        json::array m_log;
    };

    struct Engine {
        Batch batch;
        EngineControl control;
        CommandState commands;
        milliseconds loadLag;
        milliseconds cacheLag;
    };

    BatchOptions batchOptions()
    {
        return {
            .prefillRate = absl::GetFlag(FLAGS_prefill_rate),
            .decodeRate = absl::GetFlag(FLAGS_decode_rate),
            .batchSlope = absl::GetFlag(FLAGS_batch_slope),
            .maxBatch = absl::GetFlag(FLAGS_max_batch),
            .cacheBlocks = static_cast<std::size_t>(absl::GetFlag(FLAGS_cache_tokens)) / tokensPerBlock,
            .cacheGapEvery = absl::GetFlag(FLAGS_cache_gap_every),
        };
    }

    std::optional<PromptRequest> promptOf(const std::string& body)
    {
        Result<PromptRequest> parsed = parsePrompt(body);
        return parsed ? std::optional(std::move(*parsed)) : std::nullopt;
    }

    std::shared_ptr<EngineStream> streamOf(const PromptRequest& prompt, std::string attempt)
    {
        auto stream = std::make_shared<EngineStream>();
        stream->attempt = std::move(attempt);
        stream->promptName = promptName(prompt.prompt);
        stream->blocks = prefixBlocks(prompt.prompt);
        stream->promptTokens = estimateTokens(prompt.prompt).count();
        auto count = prompt.maxAnswerTokens.count() ? static_cast<int>(prompt.maxAnswerTokens.count()) : defaultAnswerTokens;
        stream->tokens = answerTokens(prompt.prompt, count);
        return stream;
    }

    void answerStream(Engine& engine, std::shared_ptr<EngineStream> stream, std::size_t position, httplib::Response& response)
    {
        auto writer = std::make_shared<StreamWriter>(engine.batch, std::move(stream), position, engine.control.faultsOfNextConnection());
        response.set_chunked_content_provider("text/event-stream", [writer](std::size_t, httplib::DataSink& sink) { return writer->write(sink); });
    }

    void answerWithoutStream(Engine& engine, const EngineStream& stream, httplib::Response& response)
    {
        constexpr auto pollTimeout = milliseconds(200);
        Batch::Progress progress;
        do {
            progress = engine.batch.waitFor(stream, stream.tokens.size(), pollTimeout);
        } while (progress.state != StreamState::Done && progress.state != StreamState::Cancelled);
        std::string text;
        for (std::size_t i = 0; i < progress.produced; ++i)
            text += stream.tokens[i];
        json::object choice { { "index", 0 }, { "finish_reason", "stop" } };
        if (stream.isChat)
            choice["message"] = json::object { { "role", "assistant" }, { "content", text } };
        else
            choice["text"] = text;
        answerJson(response, json::object { { "choices", json::array { std::move(choice) } }, { "usage", usageOf(stream, progress.produced) } });
    }

    std::string attemptOf(const httplib::Request& request)
    {
        static std::atomic<std::uint64_t> counter { 0 };
        std::string attempt = request.get_header_value("X-Attempt-Id");
        return attempt.empty() ? "direct-" + std::to_string(++counter) : attempt;
    }

    void handleCompletion(Engine& engine, const httplib::Request& request, httplib::Response& response, bool isChat)
    {
        if (engine.control.refuses())
            return answerJson(response, json::object { { "error", json::object { { "code", "overloaded" } } } }, 503);
        std::optional<PromptRequest> prompt = promptOf(request.body);
        if (!prompt)
            return answerJson(response, json::object { { "error", json::object { { "code", "bad_request" } } } }, 400);
        auto stream = streamOf(*prompt, attemptOf(request));
        stream->isChat = isChat;
        if (engine.batch.add(stream) != AddResult::Added)
            return answerJson(response, json::object { { "error", json::object { { "code", "attempt_known" } } } }, 409);
        if (prompt->stream)
            answerStream(engine, std::move(stream), 0, response);
        else
            answerWithoutStream(engine, *stream, response);
    }

    void handleResume(Engine& engine, const httplib::Request& request, httplib::Response& response)
    {
        auto stream = engine.batch.find(request.matches[1]);
        if (!stream) {
            response.status = 404;
            return;
        }
        std::string id = request.get_header_value("Last-Event-ID");
        std::string digits = id.substr(id.rfind(':') + 1);
        std::size_t position = 0;
        std::from_chars(digits.data(), digits.data() + digits.size(), position);
        answerStream(engine, std::move(stream), std::min(position, std::size_t { 1 } << 20), response);
    }

    void reportLoad(Engine& engine, httplib::Response& response)
    {
        LoadSample sample = engine.batch.loadBefore(engine.loadLag);
        auto age = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - sample.at);
        answerJson(response, json::object {
                                 { "running_requests", sample.running },
                                 { "waiting_requests", sample.waiting },
                                 { "tokens_in_progress", sample.tokensInProgress },
                                 { "measured_ms_ago", age.count() },
                             });
    }

    void reportCacheEvents(Engine& engine, const httplib::Request& request, httplib::Response& response)
    {
        std::string after = request.get_param_value("after");
        std::uint64_t sequence = 0;
        std::from_chars(after.data(), after.data() + after.size(), sequence);
        json::array events;
        for (const CacheEvent& event : engine.batch.cacheEvents(sequence, engine.cacheLag))
            events.push_back(json::object { { "sequence", event.sequence }, { "added", hexList(event.added) }, { "evicted", hexList(event.evicted) } });
        answerJson(response, json::object { { "events", std::move(events) } });
    }

    void exportBlocks(Engine& engine, const httplib::Request& request, httplib::Response& response)
    {
        std::vector<std::uint64_t> wanted;
        json::object body = parseBody(request.body);
        if (const json::value* list = body.if_contains("blocks"); list && list->is_array()) {
            for (const json::value& value : list->get_array())
                wanted.push_back(hexValue(std::string_view(value.as_string())));
        }
        std::string out;
        for (std::uint64_t block : engine.batch.cachedBlocks(wanted))
            out += hexOf(block) + '\n';
        response.set_content(out, "application/octet-stream");
    }

    void importBlocks(Engine& engine, const httplib::Request& request, httplib::Response& response)
    {
        std::vector<std::uint64_t> blocks;
        std::istringstream lines(request.body);
        for (std::string line; std::getline(lines, line);)
            blocks.push_back(hexValue(line));
        std::size_t added = engine.batch.importBlocks(blocks);
        answerJson(response, json::object { { "imported_tokens", added * tokensPerBlock } });
    }

    json::object statsOf(Engine& engine)
    {
        EngineCounts counts = engine.batch.counts();
        return {
            { "started", counts.started },
            { "completed", counts.completed },
            { "cancelled", counts.cancelled },
            { "prefill_tokens", counts.prefillTokens },
            { "cached_tokens", counts.cachedTokens },
            { "wasted_prefill_tokens", counts.wastedPrefillTokens },
            { "answer_tokens", counts.answerTokens },
            { "max_batch", counts.maxBatchSeen },
        };
    }

    json::object runsOf(Engine& engine)
    {
        json::object out;
        for (const auto& [name, runs] : engine.batch.runs())
            out[name] = json::object { { "started", runs.started }, { "completed", runs.completed }, { "cancelled", runs.cancelled } };
        return out;
    }

    void serveControl(httplib::Server& server, Engine& engine)
    {
        server.Get("/_runs", [&](const httplib::Request&, httplib::Response& response) { answerJson(response, runsOf(engine)); });
        server.Get("/_stats", [&](const httplib::Request&, httplib::Response& response) { answerJson(response, statsOf(engine)); });
        server.Get("/_orders", [&](const httplib::Request&, httplib::Response& response) { answerJson(response, engine.commands.state()); });
        server.Post("/_control", [&](const httplib::Request& request, httplib::Response& response) {
            json::object wanted = parseBody(request.body);
            engine.control.set(wanted);
            if (wanted.contains("slowdown"))
                engine.batch.setSlowdown(numberIn(wanted, "slowdown", 1));
            if (wanted.contains("order_ms"))
                engine.commands.setCommandDuration(milliseconds(static_cast<int>(numberIn(wanted, "order_ms", 0))));
            if (flagIn(wanted, "forget", false))
                engine.batch.dropStreams();
            answerJson(response, json::object());
        });
    }

    void runEngine()
    {
        Engine engine {
            .batch = Batch(batchOptions()),
            .control = {},
            .commands = CommandState(absl::GetFlag(FLAGS_checks_fencing), absl::GetFlag(FLAGS_order_ms)),
            .loadLag = milliseconds(absl::GetFlag(FLAGS_load_lag_ms)),
            .cacheLag = milliseconds(absl::GetFlag(FLAGS_cache_lag_ms)),
        };
        httplib::Server server;
        configure(server);
        serveControl(server, engine);
        server.Post("/v1/chat/completions", [&](const httplib::Request& request, httplib::Response& response) { handleCompletion(engine, request, response, true); });
        server.Post("/v1/completions", [&](const httplib::Request& request, httplib::Response& response) { handleCompletion(engine, request, response, false); });
        server.Get(R"(/v1/streams/(.+))", [&](const httplib::Request& request, httplib::Response& response) { handleResume(engine, request, response); });
        server.Delete(R"(/v1/streams/(.+))", [&](const httplib::Request& request, httplib::Response& response) {
            bool cancelled = engine.batch.cancel(request.matches[1]);
            answerJson(response, json::object { { "state", cancelled ? "cancelled" : "completed" } });
        });
        server.Get("/load", [&](const httplib::Request&, httplib::Response& response) { reportLoad(engine, response); });
        server.Get("/cache/events", [&](const httplib::Request& request, httplib::Response& response) { reportCacheEvents(engine, request, response); });
        server.Put("/orders", [&](const httplib::Request& request, httplib::Response& response) { engine.commands.handle(parseBody(request.body), response); });
        server.Post("/kv/export", [&](const httplib::Request& request, httplib::Response& response) { exportBlocks(engine, request, response); });
        server.Post("/kv/import", [&](const httplib::Request& request, httplib::Response& response) { importBlocks(engine, request, response); });
        printPort(bindLoopback(server, absl::GetFlag(FLAGS_port)));
        server.listen_after_bind();
    }

} // namespace
} // namespace limpetpond::fakes

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    limpetpond::fakes::runEngine();
    return 0;
}
