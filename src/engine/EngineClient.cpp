#include "engine/EngineClient.h"

#include "engine/EventStream.h"
#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <thread>

namespace limpetpond {

namespace {

    namespace json = boost::json;
    using std::chrono::milliseconds;

    constexpr std::string_view endMarker = "[DONE]";
    constexpr auto firstResumeDelay = milliseconds(50);
    constexpr auto cancelRetryDelay = milliseconds(50);
    constexpr std::size_t maxErrorBody = 65'536;

    std::string streamPathOf(const AttemptId& attempt)
    {
        return "/v1/streams/" + attempt.value();
    }

    // The id of an event is ATTEMPT:POSITION. A piece without an id has position 0.
    AnswerPiece toPiece(ServerSentEvent event)
    {
        AnswerPiece piece { .data = std::move(event.data) };
        piece.last = piece.data == endMarker;
        std::size_t colon = event.id.rfind(':');
        if (colon == std::string::npos)
            return piece;
        piece.attempt = AttemptId(event.id.substr(0, colon));
        std::string_view digits = std::string_view(event.id).substr(colon + 1);
        std::from_chars(digits.data(), digits.data() + digits.size(), piece.position);
        return piece;
    }

    // The state of one dispatch to an engine, from the request to the end of the answer.
    class EngineCallRun {
    public:
        EngineCallRun(const EngineAddress& address, const EngineCall& call, const EngineCallHandlers& handlers, CallStop& stop)
            : m_address(address)
            , m_call(call)
            , m_handlers(handlers)
            , m_stop(stop)
            , m_deadline(std::chrono::steady_clock::now() + call.timeout)
            , m_assembler({ .attempt = call.attempt })
        {
        }

        EngineCallEnd run()
        {
            if (!start())
                return finish();
            auto delay = firstResumeDelay;
            while (mayResume()) {
                std::uint64_t before = m_assembler.lastPosition();
                ++m_end.resumes;
                ++m_resumesWithoutProgress;
                resume();
                if (m_assembler.lastPosition() > before) {
                    m_resumesWithoutProgress = 0;
                    delay = firstResumeDelay;
                }
                if (!mayResume())
                    break;
                std::this_thread::sleep_for(std::min<milliseconds>(delay, remaining()));
                delay *= 2;
            }
            determineEnd();
            return finish();
        }

    private:
        // Sends the request. Returns false when the call has already ended.
        bool start()
        {
            Result<std::string> body = streamingBody(m_call.body);
            if (!body) {
                m_end.end = DispatchEnd::NotStarted;
                m_end.detail = "the request body is not a JSON object";
                return false;
            }
            HttpRequest request { .method = "POST", .path = m_call.path, .contentType = "application/json", .body = *body, .sendBefore = m_call.sendBefore };
            request.headers = { { "X-Attempt-Id", m_call.attempt.value() }, { "Accept", "text/event-stream" } };
            std::optional<CallError> error = stream(request);
            if (error && error->failure == CallFailure::NotSent) {
                m_end.end = DispatchEnd::NotStarted;
                m_end.detail = error->detail;
                return false;
            }
            if (error || m_head.status == 200)
                return true;
            m_end.error = m_head;
            m_end.detail = "the engine answered " + std::to_string(m_head.status);
            bool refused = m_head.status == 429 || m_head.status == 503;
            m_end.end = refused ? DispatchEnd::NotStarted : DispatchEnd::TargetError;
            return false;
        }

        bool mayResume() const
        {
            return m_assembler.state() == AnswerState::Open && !m_failed && !m_callerDisconnected && !m_stop.isRequested()
                && m_resumesWithoutProgress < m_call.maxResumes && remaining() > milliseconds::zero();
        }

        void resume()
        {
            HttpRequest request { .method = "GET", .path = streamPathOf(m_call.attempt) };
            std::string position = m_call.attempt.value() + ':' + std::to_string(m_assembler.lastPosition());
            request.headers = { { "Last-Event-ID", position }, { "Accept", "text/event-stream" } };
            std::optional<CallError> error = stream(request);
            if (!error && m_head.status != 200) {
                m_failed = true;
                m_end.detail = "the engine refused to resume the stream with status " + std::to_string(m_head.status);
            }
        }

        // Reads the events of one HTTP answer; no value when the answer was complete.
        std::optional<CallError> stream(const HttpRequest& request)
        {
            m_parser = {};
            m_head = {};
            HttpTimeouts timeouts { .connect = m_call.connectTimeout };
            timeouts.read = std::clamp(remaining(), milliseconds(1), m_call.idleTimeout);
            HttpStreamHandlers handlers;
            handlers.head = [this](const HttpResponse& head) {
                m_head = head;
                return true;
            };
            handlers.data = [this](std::string_view data) { return handleBytes(data); };
            return boost::leaf::try_handle_all(
                [&]() -> Result<std::optional<CallError>> {
                    BOOST_LEAF_CHECK(httpStream(m_address.endpoint, request, timeouts, handlers, &m_stop));
                    return std::optional<CallError>();
                },
                [&](const CallError& error) {
                    m_end.detail = error.detail;
                    return std::optional(error);
                },
                [] { return std::optional(CallError {}); });
        }

        bool handleBytes(std::string_view data)
        {
            if (m_head.status != 200) {
                m_head.body += data.substr(0, maxErrorBody - std::min(maxErrorBody, m_head.body.size()));
                return true;
            }
            for (ServerSentEvent& event : m_parser.parse(data)) {
                for (const AnswerPiece& piece : m_assembler.take(toPiece(std::move(event)))) {
                    if (!forward(piece))
                        return false;
                }
            }
            if (m_parser.isEventTooLarge())
                return fail("an event of the stream is too large");
            if (m_assembler.state() == AnswerState::Broken)
                return fail("the engine sent two different pieces for one position");
            return m_assembler.state() == AnswerState::Open && remaining() > milliseconds::zero();
        }

        bool forward(const AnswerPiece& piece)
        {
            if (piece.last)
                return true;
            return boost::leaf::try_handle_all(
                [&]() -> Result<bool> {
                    BOOST_LEAF_ASSIGN(EngineChunk chunk, parseEngineChunk(piece.data));
                    return forward(chunk);
                },
                [&](const CallError& error) { return fail(error.detail); },
                [&] { return fail("the engine sent an invalid event"); });
        }

        bool forward(const EngineChunk& chunk)
        {
            m_end.promptTokens = chunk.promptTokens.value_or(m_end.promptTokens);
            m_end.answerTokens = chunk.answerTokens.value_or(m_end.answerTokens);
            if (chunk.cachedPromptTokens)
                m_end.cachedPromptTokens = chunk.cachedPromptTokens;
            if (!m_end.answerForwarded && m_handlers.started)
                m_handlers.started(m_end.cachedPromptTokens);
            m_end.answerForwarded = true;
            m_callerDisconnected = m_handlers.chunk && !m_handlers.chunk(chunk);
            return !m_callerDisconnected;
        }

        bool fail(std::string detail)
        {
            m_failed = true;
            m_end.detail = std::move(detail);
            return false;
        }

        // Determines the end of a call whose request may have been sent.
        void determineEnd()
        {
            if (m_assembler.state() == AnswerState::Whole && !m_failed && !m_callerDisconnected) {
                m_end.end = DispatchEnd::Completed;
                m_end.detail.clear();
                return;
            }
            m_end.cancelConfirmed = cancelAttempt(m_address, m_call.attempt, m_call.cancelTimeout);
            bool cancelRequested = m_callerDisconnected || m_stop.isRequested();
            bool cancelled = m_end.cancelConfirmed && (cancelRequested || !m_end.answerForwarded);
            m_end.end = cancelled ? DispatchEnd::Cancelled : DispatchEnd::Lost;
            if (m_end.detail.empty())
                m_end.detail = cancelRequested ? "cancelled" : "the stream ended before the answer was complete";
        }

        EngineCallEnd finish()
        {
            m_end.dropped = m_assembler.dropped();
            return std::move(m_end);
        }

        milliseconds remaining() const
        {
            auto left = std::chrono::duration_cast<milliseconds>(m_deadline - std::chrono::steady_clock::now());
            return std::max(left, milliseconds::zero());
        }

        const EngineAddress& m_address;
        const EngineCall& m_call;
        const EngineCallHandlers& m_handlers;
        CallStop& m_stop;
        SteadyTime m_deadline;
        StreamAssembler m_assembler;
        EventStreamParser m_parser;
        HttpResponse m_head;
        EngineCallEnd m_end;
        int m_resumesWithoutProgress { 0 };
        bool m_failed { false };
        bool m_callerDisconnected { false };
    };

    auto malformed(std::string detail)
    {
        return boost::leaf::new_error(CallError { .failure = CallFailure::Malformed, .detail = std::move(detail) });
    }

    Result<json::object> parseObject(std::string_view text)
    {
        boost::system::error_code error;
        json::value value = json::parse(json::string_view(text.data(), text.size()), error);
        if (error || !value.is_object())
            return malformed("not a JSON object");
        return std::move(value.get_object());
    }

    // Returns a whole answer with status 200; any other status is an error.
    Result<HttpResponse> callForBody(const EngineAddress& address, const HttpRequest& request, const HttpTimeouts& timeouts)
    {
        BOOST_LEAF_ASSIGN(HttpResponse answer, httpCall(address.endpoint, request, timeouts));
        if (answer.status == 200)
            return answer;
        auto failure = answer.status == 429 ? CallFailure::Throttled : CallFailure::Refused;
        return boost::leaf::new_error(CallError { .failure = failure, .status = answer.status, .detail = "the engine answered with an error status" });
    }

    Result<json::object> callForObject(const EngineAddress& address, const HttpRequest& request, const HttpTimeouts& timeouts)
    {
        BOOST_LEAF_ASSIGN(HttpResponse answer, callForBody(address, request, timeouts));
        return parseObject(answer.body);
    }

    Result<std::int64_t> requiredCount(const json::object& object, json::string_view name)
    {
        const json::value* value = object.if_contains(name);
        if (!value || !value->is_int64() || value->get_int64() < 0)
            return malformed(std::string(name) + " must be a whole number of at least 0");
        return value->get_int64();
    }

    std::optional<TokenCount> optionalTokens(const json::object& object, json::string_view name)
    {
        const json::value* value = object.if_contains(name);
        if (!value || !value->is_int64() || value->get_int64() < 0)
            return std::nullopt;
        return TokenCount(value->get_int64());
    }

    std::string toHex(std::uint64_t value)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string out(16, '0');
        for (auto digit = out.rbegin(); value; value >>= 4)
            *digit++ = digits[value & 15];
        return out;
    }

    Result<std::uint64_t> fromHex(const json::value& value)
    {
        const json::string* text = value.if_string();
        if (!text || text->size() != 16)
            return malformed("a block hash must have 16 hexadecimal digits");
        std::uint64_t out = 0;
        auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), out, 16);
        if (error != std::errc() || end != text->data() + text->size())
            return malformed("a block hash must have 16 hexadecimal digits");
        return out;
    }

    Result<std::vector<std::uint64_t>> blockHashes(const json::object& object, json::string_view name)
    {
        std::vector<std::uint64_t> out;
        const json::value* list = object.if_contains(name);
        if (!list)
            return out;
        if (!list->is_array())
            return malformed(std::string(name) + " must be a list");
        for (const json::value& value : list->get_array()) {
            BOOST_LEAF_ASSIGN(std::uint64_t hash, fromHex(value));
            out.push_back(hash);
        }
        return out;
    }

    Result<CacheChanged> cacheEvent(const EngineAddress& address, const json::value& value)
    {
        if (!value.is_object())
            return malformed("a cache event must be an object");
        const json::object& object = value.get_object();
        CacheChanged event { .target = address.target };
        BOOST_LEAF_ASSIGN(std::int64_t sequence, requiredCount(object, "sequence"));
        event.sequence = static_cast<std::uint64_t>(sequence);
        BOOST_LEAF_ASSIGN(event.added, blockHashes(object, "added"));
        BOOST_LEAF_ASSIGN(event.evicted, blockHashes(object, "evicted"));
        return event;
    }

    void readUsage(const json::object& object, EngineChunk& chunk)
    {
        const json::value* usage = object.if_contains("usage");
        if (!usage || !usage->is_object())
            return;
        chunk.promptTokens = optionalTokens(usage->get_object(), "prompt_tokens");
        chunk.answerTokens = optionalTokens(usage->get_object(), "completion_tokens");
        const json::value* details = usage->get_object().if_contains("prompt_tokens_details");
        if (details && details->is_object())
            chunk.cachedPromptTokens = optionalTokens(details->get_object(), "cached_tokens");
    }

    void readChoice(const json::object& choice, EngineChunk& chunk)
    {
        if (const json::value* reason = choice.if_contains("finish_reason"); reason && reason->is_string())
            chunk.finishReason = reason->get_string();
        if (const json::value* text = choice.if_contains("text"); text && text->is_string())
            chunk.text = text->get_string();
        const json::value* delta = choice.if_contains("delta");
        if (!delta || !delta->is_object())
            return;
        if (const json::value* content = delta->get_object().if_contains("content"); content && content->is_string())
            chunk.text = content->get_string();
    }

} // namespace

EngineCallEnd callEngine(const EngineAddress& address, const EngineCall& call, const EngineCallHandlers& handlers, CallStop& stop)
{
    return EngineCallRun(address, call, handlers, stop).run();
}

bool cancelAttempt(const EngineAddress& address, const AttemptId& attempt, milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const HttpRequest request { .method = "DELETE", .path = streamPathOf(attempt) };
    while (true) {
        auto left = std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now());
        if (left <= milliseconds::zero())
            return false;
        HttpTimeouts timeouts { .connect = left, .read = left, .write = left };
        bool confirmed = boost::leaf::try_handle_all(
            [&]() -> Result<bool> {
                BOOST_LEAF_ASSIGN(HttpResponse answer, httpCall(address.endpoint, request, timeouts));
                return answer.status == 200;
            },
            [] { return false; });
        if (confirmed)
            return true;
        std::this_thread::sleep_for(std::min(left, cancelRetryDelay));
    }
}

Result<EngineChunk> parseEngineChunk(std::string_view data)
{
    BOOST_LEAF_ASSIGN(json::object object, parseObject(data));
    if (object.contains("error"))
        return malformed("the engine reported an error in the stream");
    EngineChunk chunk { .data = std::string(data) };
    readUsage(object, chunk);
    const json::value* choices = object.if_contains("choices");
    if (!choices || !choices->is_array())
        return malformed("the event has no choices");
    if (!choices->get_array().empty() && choices->get_array().front().is_object())
        readChoice(choices->get_array().front().get_object(), chunk);
    return chunk;
}

Result<std::string> streamingBody(std::string_view callerBody)
{
    BOOST_LEAF_ASSIGN(json::object object, parseObject(callerBody));
    object["stream"] = true;
    json::value& options = object["stream_options"];
    if (!options.is_object())
        options.emplace_object();
    options.get_object()["include_usage"] = true;
    options.get_object()["continuous_usage_stats"] = true;
    return json::serialize(object);
}

Result<TargetReported> readLoad(const EngineAddress& address, SteadyTime now, const HttpTimeouts& timeouts)
{
    BOOST_LEAF_ASSIGN(json::object object, callForObject(address, { .path = "/load" }, timeouts));
    BOOST_LEAF_ASSIGN(std::int64_t running, requiredCount(object, "running_requests"));
    BOOST_LEAF_ASSIGN(std::int64_t waiting, requiredCount(object, "waiting_requests"));
    BOOST_LEAF_ASSIGN(std::int64_t tokens, requiredCount(object, "tokens_in_progress"));
    BOOST_LEAF_ASSIGN(std::int64_t lag, requiredCount(object, "measured_ms_ago"));
    return TargetReported {
        .target = address.target,
        .measuredAt = now - milliseconds(lag),
        .runningRequests = static_cast<int>(running),
        .waitingRequests = static_cast<int>(waiting),
        .tokensInProgress = TokenCount(tokens),
    };
}

Result<std::vector<CacheChanged>> readCacheEvents(const EngineAddress& address, std::uint64_t afterSequence, const HttpTimeouts& timeouts)
{
    HttpRequest request { .path = "/cache/events?after=" + std::to_string(afterSequence) };
    BOOST_LEAF_ASSIGN(json::object object, callForObject(address, request, timeouts));
    const json::value* list = object.if_contains("events");
    if (!list || !list->is_array())
        return malformed("events must be a list");
    std::vector<CacheChanged> events;
    std::uint64_t last = afterSequence;
    for (const json::value& value : list->get_array()) {
        BOOST_LEAF_ASSIGN(CacheChanged event, cacheEvent(address, value));
        // A restarted engine numbers its events from 1 again, which is a gap as well.
        event.gap = event.sequence != last + 1;
        last = event.sequence;
        events.push_back(std::move(event));
    }
    return events;
}

Result<EngineCommandResponse> sendEngineCommand(const EngineAddress& address, const EngineCommand& command, const HttpTimeouts& timeouts)
{
    json::object desired;
    desired["model"] = command.desired.model.value();
    desired["version"] = command.desired.version;
    desired["adapters"] = json::value_from(command.desired.adapters);
    desired["role"] = command.desired.role;
    json::object body;
    body["fencing"] = command.fencing.value();
    body["desired"] = std::move(desired);
    HttpRequest request { .method = "PUT", .path = "/orders", .contentType = "application/json", .body = json::serialize(body) };
    BOOST_LEAF_ASSIGN(HttpResponse answer, httpCall(address.endpoint, request, timeouts));
    if (answer.status != 200 && answer.status != 202 && answer.status != 409)
        return boost::leaf::new_error(CallError { .failure = CallFailure::Refused, .status = answer.status, .detail = "the engine refused the command" });
    BOOST_LEAF_ASSIGN(json::object object, parseObject(answer.body));
    BOOST_LEAF_ASSIGN(std::int64_t highest, requiredCount(object, "highest_fencing"));
    EngineCommandResponse out { .highestSeen = FencingNumber(static_cast<std::uint64_t>(highest)) };
    if (answer.status == 200)
        out.state = EngineCommandState::Reached;
    if (answer.status == 409)
        out.state = EngineCommandState::RefusedOldFencing;
    return out;
}

Result<std::string> exportKv(const EngineAddress& address, const std::vector<std::uint64_t>& blocks, const HttpTimeouts& timeouts)
{
    json::array list;
    for (std::uint64_t block : blocks)
        list.emplace_back(toHex(block));
    std::string body = json::serialize(json::object { { "blocks", std::move(list) } });
    HttpRequest request { .method = "POST", .path = "/kv/export", .contentType = "application/json", .body = std::move(body) };
    BOOST_LEAF_ASSIGN(HttpResponse answer, callForBody(address, request, timeouts));
    return std::move(answer.body);
}

Result<TokenCount> importKv(const EngineAddress& address, const std::string& kv, const HttpTimeouts& timeouts)
{
    HttpRequest request { .method = "POST", .path = "/kv/import", .contentType = "application/octet-stream", .body = kv };
    BOOST_LEAF_ASSIGN(json::object object, callForObject(address, request, timeouts));
    BOOST_LEAF_ASSIGN(std::int64_t tokens, requiredCount(object, "imported_tokens"));
    return TokenCount(tokens);
}

} // namespace limpetpond
