#include "daemon/Traffic.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "caller/CallerApi.h"
#include "caller/CompletionAssembler.h"
#include "core/Guard.h"
#include "engine/Prompt.h"
#include <algorithm>
#include <boost/json/parse.hpp>
#include <cstdio>

namespace limpetpond {

namespace {

    namespace json = boost::json;
    using std::chrono::milliseconds;

    constexpr milliseconds waitSlice { 500 }; ///< How often a waiting thread looks for an abort.
    constexpr milliseconds backpressureSlice { 2 };
    constexpr TokenCount assumedAnswerTokens { 256 };
    constexpr std::size_t maxKeyLength = 255;
    constexpr std::chrono::seconds retryAfterCrowd { 2 };
    constexpr const char* jsonContentType = "application/json";

    std::vector<HttpHeader> toHeaders(const httplib::Headers& headers)
    {
        std::vector<HttpHeader> list;
        for (const auto& [name, value] : headers)
            list.push_back({ name, value });
        return list;
    }

    std::string headerOf(const CallerConnection& connection, const char* name)
    {
        auto found = connection.headers.find(name);
        return found == connection.headers.end() ? std::string() : found->second;
    }

    double secondsBetween(SteadyTime from, SteadyTime to) { return std::chrono::duration<double>(to - from).count(); }

    bool wantsUsage(std::string_view body)
    {
        boost::system::error_code error;
        json::value value = json::parse(json::string_view(body.data(), body.size()), error);
        const json::object* object = error ? nullptr : value.if_object();
        const json::value* options = object ? object->if_contains("stream_options") : nullptr;
        const json::value* wanted = options && options->is_object() ? options->get_object().if_contains("include_usage") : nullptr;
        return wanted && wanted->is_bool() && wanted->get_bool();
    }

    /// The chunk that engines send only because every stream is asked for with its usage.
    bool isUsageOnly(const EngineChunk& chunk)
    {
        return chunk.promptTokens && chunk.text.empty() && chunk.finishReason.empty() && chunk.data.find("\"choices\":[]") != std::string::npos;
    }

    bool isPrintable(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
    }

    std::optional<std::uint64_t> parseToken(const std::string& text)
    {
        constexpr std::size_t mostDigits = 18;
        if (text.empty() || text.size() > mostDigits || !std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isdigit(c); }))
            return std::nullopt;
        return std::stoull(text);
    }

    template <typename... Handlers>
    struct Overloaded : Handlers... {
        using Handlers::operator()...;
    };
    template <typename... Handlers>
    Overloaded(Handlers...) -> Overloaded<Handlers...>;

    /// Counts one thing for as long as it lives.
    class Counted {
    public:
        explicit Counted(std::atomic<int>& count)
            : m_count(&count)
        {
            m_count->fetch_add(1);
        }
        ~Counted() { release(); }
        Counted(const Counted&) = delete;
        Counted& operator=(const Counted&) = delete;

        void release()
        {
            if (m_count)
                m_count->fetch_sub(1);
            m_count = nullptr;
        }

    private:
        std::atomic<int>* m_count;
    };

} // namespace

namespace detail {

    /// A parsed and authenticated request.
    struct ParsedCall {
        RoutedCall routed;
        RequestArrived arrival;
        PoolSettings pool;
        bool stream { false };
        bool passUsage { false };
        std::string body; ///< Model calls.
        HttpRequest serviceRequest;
    };

    /// One dispatch, shared by its thread and the conversation.
    struct Attempt {
        Dispatch dispatch;
        std::shared_ptr<Ticket> ticket;
        std::shared_ptr<const ParsedCall> call;
        CallStop stop;
        std::atomic<bool> isAbandoned { false }; ///< Nobody reads the pieces any more.
    };

    /// One request from its arrival to its final answer, on the caller's thread.
    class Conversation {
    public:
        Conversation(Traffic& traffic, std::shared_ptr<const ParsedCall> call, int callerSocket)
            : m_traffic(traffic)
            , m_call(std::move(call))
            , m_ticket(std::make_shared<Ticket>())
            , m_socket(callerSocket)
            , m_open(traffic.m_open)
            , m_waiting(traffic.m_waiting)
            , m_arrivedAt(traffic.m_clock.steadyNow())
            , m_assembler(m_call->routed.route == CallRoute::ChatCompletions ? CompletionKind::Chat : CompletionKind::Text)
        {
        }

        ~Conversation()
        {
            // The head of a stream could not be written, so its pieces were never asked for.
            if (m_final)
                return;
            callerWentAway();
            if (m_attempt)
                m_attempt->isAbandoned = true;
        }
        Conversation(const Conversation&) = delete;
        Conversation& operator=(const Conversation&) = delete;

        /// Runs until the answer's status is known and fills the response in.
        void answer(httplib::Response& response, const std::shared_ptr<Conversation>& self)
        {
            m_traffic.m_control.arrive(m_call->arrival, m_ticket);
            while (!m_final && m_held.empty())
                step();
            response.set_header(requestIdHeader, id().value());
            // Pieces and the final answer may have come together.
            bool isEmptyStream = m_call->stream && m_final && m_final->outcome == Outcome::Completed && !m_targetAnswer;
            if (!m_held.empty() || isEmptyStream) {
                response.status = 200;
                response.set_header("Cache-Control", "no-store");
                // Marks the head as ours; the outcome of a stream is told at its end.
                response.set_header(reasonHeader, "in_stream");
                response.set_chunked_content_provider("text/event-stream",
                    [self](std::size_t, httplib::DataSink& sink) { return self->stream(sink); });
                return;
            }
            m_status = fillWhole(response);
            finish();
        }

    private:
        const RequestId& id() const { return m_call->arrival.request; }

        /// Waits once and takes in what came.
        void step()
        {
            MailboxWait wait = m_ticket->mailbox.wait(waitSlice, m_callerGone ? -1 : m_socket);
            if (wait.peerClosed)
                callerWentAway();
            if (m_traffic.m_aborting && !m_final)
                abort();
            for (TicketMessage& message : m_ticket->mailbox.take())
                std::visit([this](auto& typed) { take(typed); }, message);
        }

        void callerWentAway()
        {
            if (std::exchange(m_callerGone, true))
                return;
            m_traffic.m_control.post(CallerGone { id() });
        }

        void abort()
        {
            bool mayRun = m_attempt != nullptr || !m_call->arrival.idempotent;
            take(FinalAnswer { .request = id(), .outcome = mayRun ? Outcome::Unknown : Outcome::NotRun, .reason = Reason::ShuttingDown });
        }

        void take(const Dispatch& dispatch)
        {
            if (m_final)
                return;
            m_waiting.release();
            m_ticket->cancelRequested = false;
            m_attempt = std::make_shared<Attempt>();
            m_attempt->dispatch = dispatch;
            m_attempt->ticket = m_ticket;
            m_attempt->call = m_call;
            m_traffic.startAttempt(m_attempt);
        }

        void take(const CancelDispatch& cancel)
        {
            if (m_attempt && m_attempt->dispatch.attempt == cancel.attempt)
                m_attempt->stop.request();
        }

        void take(StreamedChunk& piece)
        {
            auto bytes = static_cast<std::int64_t>(piece.chunk.data.size());
            if (!m_attempt || piece.attempt != m_attempt->dispatch.attempt || m_final) {
                m_ticket->heldBytes -= bytes;
                return;
            }
            noteProgress();
            if (m_call->stream) {
                m_held.push_back(std::move(piece.chunk));
                return;
            }
            m_ticket->heldBytes -= bytes;
            m_assembledBytes += bytes;
            m_assembler.take(piece.chunk.data);
        }

        void noteProgress()
        {
            SteadyTime now = m_traffic.m_clock.steadyNow();
            std::vector<MetricLabel> tier = tierLabel();
            if (!m_firstPieceAt) {
                m_firstPieceAt = now;
                m_traffic.m_metrics.seconds("limpetpond_first_token_seconds", "From the arrival of a request to the first piece of its answer.", tier)
                    .record(secondsBetween(m_arrivedAt, now));
                m_betweenPieces = &m_traffic.m_metrics.seconds("limpetpond_between_tokens_seconds", "Between two pieces of an answer.", tier);
            } else {
                m_betweenPieces->record(secondsBetween(m_lastPieceAt, now));
            }
            m_lastPieceAt = now;
        }

        void take(AttemptEnded& ended)
        {
            if (!m_attempt || ended.attempt != m_attempt->dispatch.attempt)
                return;
            m_target = m_attempt->dispatch.target;
            m_lastAttempt = ended.attempt;
            if (ended.end == DispatchEnd::NotStarted)
                m_attempt = nullptr;
            else if (ended.answer)
                m_targetAnswer = std::move(ended.answer);
            countWaste(ended);
        }

        void countWaste(const AttemptEnded& ended)
        {
            bool isWasted = ended.end == DispatchEnd::Cancelled || ended.end == DispatchEnd::Lost;
            if (!isWasted || !ended.started)
                return;
            std::int64_t prompt = ended.promptTokens && ended.promptTokens->count() ? ended.promptTokens->count() : m_call->arrival.promptTokens.count();
            std::int64_t cached = ended.cachedPromptTokens ? ended.cachedPromptTokens->count() : 0;
            m_traffic.m_metrics.counter("limpetpond_wasted_prefill_tokens_total", "Prompt tokens whose processing was thrown away.", tierLabel())
                .add(std::max<std::int64_t>(prompt - cached, 0));
        }

        void take(const FinalAnswer& final)
        {
            if (m_final)
                return;
            m_final = final;
            m_waiting.release();
            if (!m_attempt)
                return;
            m_attempt->isAbandoned = !m_call->stream || m_callerGone;
            // A claimed call runs to its end, so that a second arrival of its key finds the answer.
            if (m_call->arrival.idempotent && final.outcome != Outcome::Completed)
                m_attempt->stop.request();
        }

        /// Passes pieces on until the final answer; runs after the head was sent.
        bool stream(httplib::DataSink& sink)
        {
            for (;;) {
                writeHeld(sink);
                if (m_final)
                    break;
                step();
            }
            bool isWhole = m_final->outcome == Outcome::Completed && !m_targetAnswer;
            std::string end = isWhole ? streamEnd(id()) : streamError(finalError(), id());
            if (!m_callerGone && !sink.write(end.data(), end.size()))
                m_callerGone = true;
            m_status = 200;
            finish();
            sink.done();
            return !m_callerGone;
        }

        void writeHeld(httplib::DataSink& sink)
        {
            std::vector<EngineChunk> held;
            held.swap(m_held);
            for (const EngineChunk& chunk : held) {
                if (!m_callerGone && (m_call->passUsage || !isUsageOnly(chunk))) {
                    std::string event = streamEvent(chunk.data);
                    if (!sink.write(event.data(), event.size()))
                        callerWentAway();
                }
                m_ticket->heldBytes -= static_cast<std::int64_t>(chunk.data.size());
            }
        }

        ApiError finalError() const
        {
            ApiError error { .status = statusOf(m_final->outcome, m_final->reason), .outcome = m_final->outcome, .reason = m_final->reason, .retryAfter = m_final->retryAfter, .retryToken = m_final->retryToken };
            if (m_targetAnswer)
                error.message = "The target ended the stream with an error.";
            return error;
        }

        int fillWhole(httplib::Response& response)
        {
            response.set_header(outcomeHeader, std::string(toString(m_final->outcome)));
            response.set_header(reasonHeader, std::string(toString(m_final->reason)));
            if (m_final->outcome != Outcome::Completed)
                return fillError(response, finalError(), id());
            if (!m_final->storedAnswer.empty())
                return fillStored(response);
            if (m_targetAnswer)
                return fillTargetAnswer(response, *m_targetAnswer);
            if (m_call->routed.route == CallRoute::Service)
                return fillNotKept(response);
            response.status = 200;
            response.set_content(m_assembler.whole(), jsonContentType);
            return response.status;
        }

        int fillStored(httplib::Response& response)
        {
            std::optional<HttpResponse> stored = decodeStoredAnswer(m_final->storedAnswer);
            if (!stored)
                return fillNotKept(response);
            if (!m_targetAnswer)
                response.set_header(storedAnswerHeader, "true");
            return fillTargetAnswer(response, *stored);
        }

        /// The call was completed by its first arrival, whose answer was too large to keep.
        int fillNotKept(httplib::Response& response)
        {
            constexpr int gone = 410;
            ApiError error { .status = gone, .outcome = Outcome::Completed, .reason = Reason::None, .message = "The call was completed earlier; its answer is not kept." };
            response.status = gone;
            response.set_content(errorBody(error, id()), jsonContentType);
            return gone;
        }

        static int fillTargetAnswer(httplib::Response& response, const HttpResponse& answer)
        {
            response.status = answer.status;
            std::string type = headerValue(answer.headers, "Content-Type");
            for (const HttpHeader& header : headersForCaller(answer.headers)) {
                if (!equalsName(header.name, "Content-Type"))
                    response.headers.emplace(header.name, header.value);
            }
            response.body = answer.body;
            if (!type.empty())
                response.set_header("Content-Type", type);
            return answer.status;
        }

        static bool equalsName(std::string_view a, std::string_view b)
        {
            return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
        }

    public:
        /// Fills an error in; the outcome headers are set by the caller or here.
        static int fillError(httplib::Response& response, const ApiError& error, const RequestId& request)
        {
            response.status = error.status;
            if (!response.has_header(outcomeHeader)) {
                response.set_header(outcomeHeader, std::string(toString(error.outcome)));
                response.set_header(reasonHeader, std::string(toString(error.reason)));
                response.set_header(requestIdHeader, request.value());
            }
            if (error.retryAfter)
                response.set_header("Retry-After", std::to_string(error.retryAfter->count()));
            if (error.retryToken)
                response.set_header(retryTokenHeader, std::to_string(error.retryToken));
            response.set_content(errorBody(error, request), jsonContentType);
            return error.status;
        }

    private:
        std::vector<MetricLabel> tierLabel() const { return { { "tier", std::to_string(m_call->arrival.tier.level) } }; }

        /// Counts and logs the end; once for each request.
        void finish()
        {
            SteadyTime now = m_traffic.m_clock.steadyNow();
            std::vector<MetricLabel> labels = tierLabel();
            labels.push_back({ "outcome", std::string(toString(m_final->outcome)) });
            labels.push_back({ "reason", std::string(toString(m_final->reason)) });
            Metrics& metrics = m_traffic.m_metrics;
            metrics.counter("limpetpond_requests_total", "Requests that got their final answer, by tier, outcome and reason.", labels).add();
            bool isUseful = m_final->outcome == Outcome::Completed && !m_callerGone && (!m_targetAnswer || m_targetAnswer->status < 500);
            if (isUseful)
                metrics.counter("limpetpond_goodput_total", "Completed useful answers.", tierLabel()).add();
            if (m_final->outcome == Outcome::NotRun && m_final->reason == Reason::Overloaded)
                metrics.counter("limpetpond_shed_total", "Requests given up on under overload.", tierLabel()).add();
            metrics.seconds("limpetpond_request_seconds", "From the arrival of a request to its final answer.", tierLabel()).record(secondsBetween(m_arrivedAt, now));
            logLine(LogLevel::Info, "request_ended", { { "request", id().value() }, { "attempt", m_lastAttempt.value() }, { "target", m_target.value() }, { "account", m_call->arrival.account.value() }, { "pool", m_call->arrival.pool.value() }, { "tier", m_call->arrival.tier.level }, { "outcome", toString(m_final->outcome) }, { "reason", toString(m_final->reason) }, { "status", m_status }, { "caller_gone", m_callerGone }, { "seconds", secondsBetween(m_arrivedAt, now) } });
            m_open.release();
        }

        Traffic& m_traffic;
        std::shared_ptr<const ParsedCall> m_call;
        std::shared_ptr<Ticket> m_ticket;
        int m_socket;
        Counted m_open;
        Counted m_waiting;
        SteadyTime m_arrivedAt;
        std::optional<SteadyTime> m_firstPieceAt;
        SteadyTime m_lastPieceAt;
        SecondsHistogram* m_betweenPieces { nullptr };
        std::shared_ptr<Attempt> m_attempt;
        std::vector<EngineChunk> m_held;
        CompletionAssembler m_assembler;
        std::int64_t m_assembledBytes { 0 };
        std::optional<HttpResponse> m_targetAnswer;
        std::optional<FinalAnswer> m_final;
        TargetId m_target;
        AttemptId m_lastAttempt;
        bool m_callerGone { false };
        int m_status { 0 };
    };

} // namespace detail

namespace {

    using detail::Conversation;
    using detail::ParsedCall;

    auto refuse(Reason reason, bool hasKey, std::string message = {}, std::string param = {})
    {
        Outcome outcome = refusalOutcome(reason, hasKey);
        // The status says what is wrong with this request; the outcome says what is known of the call.
        ApiError error { .status = statusOf(Outcome::NotRun, reason), .outcome = outcome, .reason = reason, .message = std::move(message), .param = std::move(param) };
        if (error.status == 503)
            error.retryAfter = retryAfterCrowd;
        return boost::leaf::new_error(std::move(error));
    }

    std::string bearerKey(const CallerConnection& connection)
    {
        constexpr std::string_view scheme = "bearer ";
        std::string value = headerOf(connection, "Authorization");
        std::string start = value.substr(0, scheme.size());
        std::transform(start.begin(), start.end(), start.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return start == scheme ? value.substr(scheme.size()) : std::string();
    }

    Result<ClientAccountSettings> authenticate(const PublishedView& view, const CallerConnection& connection, bool hasKey)
    {
        if (!view.settings || !view.accounts)
            return refuse(Reason::NotReady, hasKey);
        std::string key = bearerKey(connection);
        std::optional<ClientAccountId> account = key.empty() ? std::nullopt : view.accounts->find(sha256Hex(key));
        if (!account)
            return refuse(Reason::Unauthorized, hasKey);
        return view.settings->accounts.at(*account);
    }

    Result<std::optional<SteadyTime>> callerDeadline(const CallerConnection& connection, SteadyTime now, bool hasKey)
    {
        std::string text = headerOf(connection, timeoutHeader);
        if (text.empty())
            return std::optional<SteadyTime>();
        std::optional<milliseconds> timeout = parseDuration(text);
        constexpr milliseconds most = std::chrono::hours(1);
        if (!timeout || *timeout <= milliseconds::zero() || *timeout > most)
            return refuse(Reason::BadRequest, hasKey, "Limpetpond-Timeout must be a time with unit (ms, s, m, h) from 1ms to 1h.", timeoutHeader);
        return std::optional(now + *timeout);
    }

    Result<void> parseModelCall(ParsedCall& call, const Settings& settings, const httplib::Request& request)
    {
        const char* needed = call.routed.route == CallRoute::ChatCompletions ? "messages" : "prompt";
        if (request.body.find('"' + std::string(needed) + '"') == std::string::npos)
            return refuse(Reason::BadRequest, false, "The field " + std::string(needed) + " must be given.", needed);
        ApiError refusal;
        PromptRequest prompt = boost::leaf::try_handle_all(
            [&]() -> Result<PromptRequest> { return parsePrompt(request.body); },
            [&](const InvalidSetting& invalid) {
                refusal = { .status = 400, .reason = Reason::BadRequest, .message = "The field " + invalid.name + " must be " + invalid.allowed + ".", .param = invalid.name };
                return PromptRequest {};
            },
            [&] {
                refusal = { .status = 400, .reason = Reason::BadRequest };
                return PromptRequest {};
            });
        if (!refusal.message.empty() || refusal.status == 400)
            return boost::leaf::new_error(std::move(refusal));
        const PoolSettings* pool = findModelPool(settings, prompt.model);
        if (!pool)
            return refuse(Reason::NotFound, false, "There is no such model.", "model");
        call.pool = *pool;
        call.stream = prompt.stream;
        call.passUsage = !prompt.stream || wantsUsage(request.body);
        call.body = request.body;
        call.arrival.promptTokens = estimateTokens(prompt.prompt);
        call.arrival.answerTokens = prompt.maxAnswerTokens.count() ? prompt.maxAnswerTokens : assumedAnswerTokens;
        call.arrival.prefixBlocks = prefixBlocks(prompt.prompt);
        return {};
    }

    Result<void> checkKey(const ParsedCall& call, const CallerConnection& connection)
    {
        const std::string& key = call.arrival.key.value();
        if (key.empty() && !call.arrival.idempotent)
            return refuse(Reason::KeyRequired, false, {}, idempotencyKeyHeader);
        if (key.size() > maxKeyLength || !isPrintable(key))
            return refuse(Reason::BadRequest, false, "Idempotency-Key must be 1 to 255 printable characters without spaces.", idempotencyKeyHeader);
        if (connection.headers.count(idempotencyKeyHeader) > 1)
            return refuse(Reason::BadRequest, false, "Idempotency-Key must be given once.", idempotencyKeyHeader);
        return {};
    }

    Result<void> parseServiceCall(ParsedCall& call, const Settings& settings, const httplib::Request& request, const CallerConnection& connection)
    {
        bool hasKey = !call.arrival.key.isEmpty();
        const PoolSettings* pool = findServicePool(settings, call.routed.service);
        if (!pool)
            return refuse(Reason::NotFound, hasKey, "There is no such service.");
        if (!pool->nonIdempotentMethods.empty() && !isPlainPath(call.routed.decodedServicePath, call.routed.servicePath))
            return refuse(Reason::BadRequest, hasKey, "The path must not hold empty, dot or encoded segments.");
        call.pool = *pool;
        call.arrival.idempotent = !runsAtMostOnce(*pool, request.method, call.routed.decodedServicePath);
        BOOST_LEAF_CHECK(checkKey(call, connection));
        call.arrival.bodyHash = hashBody(request.method + ' ' + call.routed.servicePath + '\n' + request.body);
        std::string token = headerOf(connection, retryTokenHeader);
        if (!token.empty()) {
            std::optional<std::uint64_t> parsed = parseToken(token);
            if (!parsed)
                return refuse(Reason::BadRequest, false, "Limpetpond-Retry-Token must be the number that an earlier answer gave.", retryTokenHeader);
            call.arrival.retryToken = *parsed;
        }
        call.serviceRequest = { .method = request.method, .path = call.routed.servicePath, .headers = headersForService(toHeaders(connection.headers)), .contentType = headerOf(connection, "Content-Type"), .body = request.body };
        return {};
    }

    Result<std::shared_ptr<const ParsedCall>> parseCall(RoutedCall routed, const PublishedView& view, const httplib::Request& request,
        const CallerConnection& connection, RequestId id, SteadyTime now)
    {
        bool isService = routed.route == CallRoute::Service;
        std::string key = isService ? headerOf(connection, idempotencyKeyHeader) : std::string();
        BOOST_LEAF_AUTO(account, authenticate(view, connection, !key.empty()));
        auto call = std::make_shared<ParsedCall>();
        call->routed = std::move(routed);
        call->arrival.request = std::move(id);
        call->arrival.account = account.id;
        call->arrival.tier = account.tier;
        call->arrival.key = IdempotencyKey { key };
        BOOST_LEAF_ASSIGN(call->arrival.deadline, callerDeadline(connection, now, !key.empty()));
        if (static_cast<std::int64_t>(request.body.size()) > view.settings->site.maxBody.count())
            return refuse(Reason::TooLarge, !key.empty());
        if (isService) {
            BOOST_LEAF_CHECK(parseServiceCall(*call, *view.settings, request, connection));
        } else {
            BOOST_LEAF_CHECK(parseModelCall(*call, *view.settings, request));
        }
        call->arrival.pool = call->pool.id;
        return std::shared_ptr<const ParsedCall>(std::move(call));
    }

} // namespace

Traffic::Traffic(TrafficOptions options, ControlThread& control, const Clock& clock, Metrics& metrics, Timeline& timeline, TargetCalls calls)
    : m_options(std::move(options))
    , m_control(control)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_timeline(timeline)
    , m_calls(std::move(calls))
    , m_workers({ .maxThreads = static_cast<std::size_t>(2 * m_options.maxOpenStreams), .maxQueued = static_cast<std::size_t>(4 * m_options.maxOpenStreams) })
{
    char prefix[32];
    std::snprintf(prefix, sizeof prefix, "-%llx-", static_cast<unsigned long long>(m_options.incarnation));
    m_idPrefix = m_options.instanceId + prefix;
}

Traffic::~Traffic() { m_workers.stop(); }

RequestId Traffic::makeRequestId()
{
    return RequestId { m_idPrefix + std::to_string(++m_lastRequest) };
}

CallerServer::Handler Traffic::handler()
{
    return [this](const httplib::Request& request, httplib::Response& response, CallerConnection& connection) { serve(request, response, connection); };
}

CallerServer::Handler Traffic::refusalHandler()
{
    return [this](const httplib::Request&, httplib::Response& response, CallerConnection&) {
        constexpr int payloadTooLarge = 413;
        constexpr int headersTooLarge = 431;
        constexpr int uriTooLong = 414;
        if (response.status < 400)
            response.status = 400;
        bool isTooLarge = response.status == payloadTooLarge || response.status == headersTooLarge || response.status == uriTooLong;
        Conversation::fillError(response, { .status = response.status, .reason = isTooLarge ? Reason::TooLarge : Reason::BadRequest }, makeRequestId());
    };
}

CallerServer::Handler Traffic::adminHandler()
{
    return [this](const httplib::Request& request, httplib::Response& response, CallerConnection&) { serveAdmin(request, response); };
}

void Traffic::serveAdmin(const httplib::Request& request, httplib::Response& response)
{
    switch (routeCall(request.method, request.path, request.target).route) {
    case CallRoute::Health:
        response.set_content("ok\n", "text/plain");
        return;
    case CallRoute::Ready: {
        bool ready = m_control.view()->ready && !m_draining;
        response.status = ready ? 200 : 503;
        response.set_header(outcomeHeader, "completed");
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
        return;
    }
    case CallRoute::Metrics:
        m_metrics.gauge("limpetpond_open_requests", "Requests in progress or waiting.").set(m_open.load());
        m_metrics.gauge("limpetpond_waiting_requests", "Requests that wait for a target.").set(m_waiting.load());
        m_metrics.gauge("limpetpond_ready", "1 when the instance takes callers.").set(m_control.view()->ready && !m_draining);
        response.set_content(m_metrics.prometheusText(), "text/plain; version=0.0.4");
        return;
    default:
        Conversation::fillError(response, { .status = 404, .reason = Reason::NotFound }, makeRequestId());
    }
}

void Traffic::serve(const httplib::Request& request, httplib::Response& response, CallerConnection& connection)
{
    RoutedCall routed = routeCall(request.method, request.path, request.target);
    RequestId id = makeRequestId();
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            bool hasKey = routed.route == CallRoute::Service && connection.headers.count(idempotencyKeyHeader);
            switch (routed.route) {
            case CallRoute::Health:
            case CallRoute::Ready:
            case CallRoute::Metrics:
                if (!m_options.servesAdmin)
                    return refuse(Reason::NotFound, false);
                serveAdmin(request, response);
                return {};
            case CallRoute::NotFound:
                return refuse(Reason::NotFound, false);
            case CallRoute::WrongMethod:
                return boost::leaf::new_error(ApiError { .status = 405, .reason = Reason::BadRequest, .message = "The path does not take this method." });
            default:
                break;
            }
            std::shared_ptr<const PublishedView> view = m_control.view();
            if (connection.isOverLimit || m_open >= m_options.maxOpenStreams || m_waiting >= m_options.maxWaitingRequests)
                return refuse(Reason::Overloaded, hasKey);
            if (routed.route == CallRoute::Models) {
                BOOST_LEAF_CHECK(authenticate(*view, connection, false));
                response.set_header(outcomeHeader, "completed");
                response.set_content(modelsBody(*view->settings), jsonContentType);
                return {};
            }
            BOOST_LEAF_AUTO(call, parseCall(routed, *view, request, connection, id, m_clock.steadyNow()));
            auto conversation = std::make_shared<Conversation>(*this, std::move(call), connection.socket);
            conversation->answer(response, conversation);
            return {};
        },
        [&](const ApiError& error) {
            m_metrics.counter("limpetpond_refused_total", "Requests refused before they reached the control thread.", { { "reason", std::string(toString(error.reason)) } }).add();
            Conversation::fillError(response, error, id);
        },
        [&] { Conversation::fillError(response, { .status = 500, .outcome = Outcome::Unknown, .reason = Reason::AnswerLost }, id); });
}

int Traffic::runningDispatches() const
{
    std::lock_guard lock(m_attemptsMutex);
    return static_cast<int>(m_attempts.size());
}

void Traffic::abortAll()
{
    m_aborting = true;
    std::lock_guard lock(m_attemptsMutex);
    for (const auto& attempt : m_attempts)
        attempt->stop.request();
}

void Traffic::startAttempt(const std::shared_ptr<detail::Attempt>& attempt)
{
    {
        std::lock_guard lock(m_attemptsMutex);
        m_attempts.insert(attempt);
    }
    auto forget = [this, attempt] {
        std::lock_guard lock(m_attemptsMutex);
        m_attempts.erase(attempt);
    };
    bool isTaken = m_workers.submit([this, attempt, forget] {
        runAttempt(*attempt);
        forget();
    });
    if (isTaken)
        return;
    forget();
    const Dispatch& dispatch = attempt->dispatch;
    attempt->ticket->mailbox.post(AttemptEnded { .attempt = dispatch.attempt, .end = DispatchEnd::NotStarted, .detail = "no thread is free" });
    m_control.post(DispatchEnded { .request = dispatch.request, .attempt = dispatch.attempt, .end = DispatchEnd::NotStarted });
}

namespace {

    /// What an attempt tells the control thread and the conversation at its end.
    struct AttemptResult {
        AttemptEnded forTicket;
        DispatchEnded forControl;
    };

    AttemptResult notStarted(const Dispatch& dispatch, std::string detail)
    {
        return { .forTicket = { .attempt = dispatch.attempt, .end = DispatchEnd::NotStarted, .detail = std::move(detail) },
            .forControl = { .request = dispatch.request, .attempt = dispatch.attempt, .end = DispatchEnd::NotStarted } };
    }

    /// The first byte leaves when the connection stands, which may not be after `notAfter` either.
    milliseconds connectLimit(const Dispatch& dispatch, const TrafficOptions& options, const Clock& clock)
    {
        auto left = std::chrono::duration_cast<milliseconds>(dispatch.notAfter - clock.steadyNow());
        return std::clamp(left, milliseconds(1), options.connectTimeout);
    }

    AttemptResult runEngineAttempt(detail::Attempt& attempt, const TargetSettings& target, const TrafficOptions& options, const TargetCalls& calls, ControlThread& control, const Clock& clock)
    {
        const Dispatch& dispatch = attempt.dispatch;
        const ParsedCall& parsed = *attempt.call;
        EngineCall call { .attempt = dispatch.attempt,
            .path = parsed.routed.route == CallRoute::ChatCompletions ? "/v1/chat/completions" : "/v1/completions",
            .body = parsed.body,
            .timeout = parsed.pool.callTimeout,
            .connectTimeout = connectLimit(dispatch, options, clock) };
        if (!isGuardDisabled(GuardId::DispatchNotAfterChecked))
            call.notAfter = dispatch.notAfter;
        bool started = false;
        std::int64_t answerBytes = 0;
        EngineCallHandlers handlers;
        handlers.started = [&](std::optional<TokenCount> cached) {
            started = true;
            control.post(AnswerStarted { dispatch.request, dispatch.attempt, cached });
        };
        handlers.chunk = [&](const EngineChunk& chunk) {
            auto bytes = static_cast<std::int64_t>(chunk.data.size());
            answerBytes += bytes;
            if (answerBytes > options.maxAnswer.count())
                return false;
            attempt.ticket->heldBytes += bytes;
            attempt.ticket->mailbox.post(StreamedChunk { dispatch.attempt, chunk });
            auto isCancelled = [&attempt] { return attempt.stop.isRequested() || attempt.ticket->cancelRequested; };
            while (attempt.ticket->heldBytes > options.maxStreamBuffer.count() && !isCancelled() && !attempt.isAbandoned)
                std::this_thread::sleep_for(backpressureSlice);
            return !isCancelled();
        };
        EngineCallEnd end = calls.engine({ target.id, { target.host, target.port } }, call, handlers, attempt.stop);
        return { .forTicket = { .attempt = dispatch.attempt, .end = end.end, .answer = std::move(end.error), .promptTokens = end.promptTokens, .cachedPromptTokens = end.cachedPromptTokens, .started = started, .detail = std::move(end.detail) },
            .forControl = { .request = dispatch.request, .attempt = dispatch.attempt, .end = end.end, .answerTokens = end.answerTokens, .answerPassedOn = end.answerPassedOn } };
    }

    AttemptResult runServiceAttempt(detail::Attempt& attempt, const TargetSettings& target, const TrafficOptions& options, const TargetCalls& calls, const Clock& clock)
    {
        const Dispatch& dispatch = attempt.dispatch;
        const ParsedCall& parsed = *attempt.call;
        ServiceCall call { .endpoint = { target.host, target.port }, .attempt = dispatch.attempt, .key = parsed.arrival.key, .request = parsed.serviceRequest, .connectTimeout = connectLimit(dispatch, options, clock), .timeout = parsed.pool.callTimeout, .maxAnswer = options.maxAnswer };
        ServiceCallEnd end = calls.service(call, attempt.stop);
        AttemptResult result { .forTicket = { .attempt = dispatch.attempt, .end = end.end, .detail = std::move(end.detail) },
            .forControl = { .request = dispatch.request, .attempt = dispatch.attempt, .end = end.end } };
        if (end.answer && !parsed.arrival.idempotent)
            result.forControl.storedAnswer = encodeStoredAnswer(*end.answer);
        result.forTicket.answer = std::move(end.answer);
        return result;
    }

} // namespace

void Traffic::runAttempt(detail::Attempt& attempt)
{
    const Dispatch& dispatch = attempt.dispatch;
    std::shared_ptr<const PublishedView> view = m_control.view();
    auto target = view->settings ? view->settings->targets.find(dispatch.target) : std::map<TargetId, TargetSettings>::const_iterator {};
    AttemptResult result;
    // The thread may have slept since the decision, so the clock is read last of all.
    if (!view->settings || target == view->settings->targets.end())
        result = notStarted(dispatch, "the target is not in the settings");
    else if (m_clock.steadyNow() > dispatch.notAfter && !isGuardDisabled(GuardId::DispatchNotAfterChecked))
        result = notStarted(dispatch, "the dispatch came too late");
    else if (target->second.kind == TargetKind::ModelEngine)
        result = runEngineAttempt(attempt, target->second, m_options, m_calls, m_control, m_clock);
    else
        result = runServiceAttempt(attempt, target->second, m_options, m_calls, m_clock);
    if (result.forTicket.end != DispatchEnd::Completed) {
        logLine(LogLevel::Warning, "dispatch_failed", { { "request", dispatch.request.value() }, { "attempt", dispatch.attempt.value() }, { "target", dispatch.target.value() }, { "detail", result.forTicket.detail } });
    }
    // The ticket comes first, so that the final answer finds all pieces before it.
    attempt.ticket->mailbox.post(std::move(result.forTicket));
    m_control.post(std::move(result.forControl));
}

} // namespace limpetpond
