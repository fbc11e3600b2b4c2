#include "daemon/CallHandler.h"

#include "base/Log.h"
#include "caller/CallerApi.h"
#include "caller/CompletionAssembler.h"
#include "daemon/Attempt.h"
#include "daemon/RequestInbox.h"
#include <algorithm>
#include <utility>

namespace limpetpond::detail {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds abortCheckPeriod { 500 }; ///< How often a waiting thread checks for an abort.

    double secondsBetween(SteadyTime from, SteadyTime to) { return toSeconds(to - from); }

    /// Whether a chunk holds only the token usage. Engines send it because the daemon requests the usage of every stream.
    bool isUsageOnly(const EngineChunk& chunk)
    {
        return chunk.promptTokens && chunk.text.empty() && chunk.finishReason.empty() && chunk.data.find("\"choices\":[]") != std::string::npos;
    }

    /// Adds one to a counter until `release` or destruction.
    class ScopedCount {
    public:
        explicit ScopedCount(std::atomic<int>& count)
            : m_count(&count)
        {
            m_count->fetch_add(1);
        }
        ~ScopedCount() { release(); }
        ScopedCount(const ScopedCount&) = delete;
        ScopedCount& operator=(const ScopedCount&) = delete;

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

/// Handles one request from its arrival to its final answer on the caller's thread.
class CallHandler {
public:
    CallHandler(Traffic& traffic, std::shared_ptr<const ParsedCall> call, int callerSocket)
        : m_traffic(traffic)
        , m_call(std::move(call))
        , m_inbox(std::make_shared<RequestInbox>())
        , m_socket(callerSocket)
        , m_open(traffic.m_open)
        , m_waiting(traffic.m_waiting)
        , m_arrivedAt(traffic.m_clock.steadyNow())
        , m_assembler(m_call->routed.route == CallRoute::ChatCompletions ? CompletionKind::Chat : CompletionKind::Text)
    {
    }

    ~CallHandler()
    {
        // If there is no final answer, the head of the stream could not be written and `stream` was never called.
        if (m_final)
            return;
        handleCallerDisconnected();
        if (m_attempt)
            m_attempt->isAbandoned = true;
    }
    CallHandler(const CallHandler&) = delete;
    CallHandler& operator=(const CallHandler&) = delete;

    /// Waits until the status of the answer is known and fills in the response. `self` keeps the handler alive while the
    /// answer is streamed.
    void run(httplib::Response& response, const std::shared_ptr<CallHandler>& self)
    {
        m_traffic.m_control.postArrival(m_call->arrival, m_inbox);
        while (!m_final && m_pendingChunks.empty())
            handleMessages();
        response.set_header(requestIdHeader, id().value());
        // Chunks and the final answer may be received together.
        bool isEmptyStream = m_call->stream && m_final && m_final->outcome == Outcome::Completed && !m_targetAnswer;
        if (!m_pendingChunks.empty() || isEmptyStream) {
            response.status = 200;
            response.set_header("Cache-Control", "no-store");
            // Identifies the head as limpetpond's; the outcome of a stream is sent at its end.
            response.set_header(reasonHeader, "in_stream");
            response.set_chunked_content_provider("text/event-stream",
                [self](std::size_t, httplib::DataSink& sink) { return self->stream(sink); });
            return;
        }
        m_status = fillAnswer(response);
        finish();
    }

private:
    const RequestId& id() const { return m_call->arrival.request; }

    /// Waits once for messages, for the caller to disconnect or for an abort, and handles what was received.
    void handleMessages()
    {
        MailboxWait wait = m_inbox->mailbox.wait(abortCheckPeriod, m_callerDisconnected ? -1 : m_socket);
        if (wait.peerClosed)
            handleCallerDisconnected();
        if (m_traffic.m_aborting && !m_final)
            abort();
        for (RequestMessage& message : m_inbox->mailbox.take())
            std::visit([this](auto& typed) { handle(typed); }, message);
    }

    void handleCallerDisconnected()
    {
        if (std::exchange(m_callerDisconnected, true))
            return;
        m_traffic.m_control.post(CallerDisconnected { id() });
    }

    void abort()
    {
        bool mayRun = m_attempt != nullptr || !m_call->arrival.idempotent;
        handle(FinalAnswer { .request = id(), .outcome = mayRun ? Outcome::Unknown : Outcome::NotRun, .reason = Reason::ShuttingDown });
    }

    void handle(const Dispatch& dispatch)
    {
        if (m_final)
            return;
        m_waiting.release();
        m_inbox->cancelRequested = false;
        m_attempt = std::make_shared<Attempt>();
        m_attempt->dispatch = dispatch;
        m_attempt->inbox = m_inbox;
        m_attempt->call = m_call;
        m_traffic.startAttempt(m_attempt);
    }

    void handle(const CancelDispatch& cancel)
    {
        if (m_attempt && m_attempt->dispatch.attempt == cancel.attempt)
            m_attempt->stop.request();
    }

    void handle(StreamedChunk& streamed)
    {
        auto bytes = static_cast<std::int64_t>(streamed.chunk.data.size());
        if (!m_attempt || streamed.attempt != m_attempt->dispatch.attempt || m_final) {
            m_inbox->bufferedBytes -= bytes;
            return;
        }
        recordChunk();
        if (m_call->stream) {
            m_pendingChunks.push_back(std::move(streamed.chunk));
            return;
        }
        m_inbox->bufferedBytes -= bytes;
        m_assembler.addChunk(streamed.chunk.data);
    }

    void recordChunk()
    {
        SteadyTime now = m_traffic.m_clock.steadyNow();
        std::vector<MetricLabel> tier = tierLabel();
        if (!m_firstChunkAt) {
            m_firstChunkAt = now;
            m_traffic.m_metrics.secondsHistogram("limpetpond_first_token_seconds", "From the arrival of a request to the first piece of its answer.", tier)
                .record(secondsBetween(m_arrivedAt, now));
            m_betweenChunks = &m_traffic.m_metrics.secondsHistogram("limpetpond_between_tokens_seconds", "Between two pieces of an answer.", tier);
        } else {
            m_betweenChunks->record(secondsBetween(m_lastChunkAt, now));
        }
        m_lastChunkAt = now;
    }

    void handle(AttemptEnded& ended)
    {
        if (!m_attempt || ended.attempt != m_attempt->dispatch.attempt)
            return;
        m_target = m_attempt->dispatch.target;
        m_lastAttempt = ended.attempt;
        if (ended.end == DispatchEnd::NotStarted)
            m_attempt = nullptr;
        else if (ended.answer)
            m_targetAnswer = std::move(ended.answer);
        recordWastedPrefill(ended);
    }

    void recordWastedPrefill(const AttemptEnded& ended)
    {
        bool isWasted = ended.end == DispatchEnd::Cancelled || ended.end == DispatchEnd::Lost;
        if (!isWasted || !ended.started)
            return;
        std::int64_t prompt = ended.promptTokens && ended.promptTokens->count() ? ended.promptTokens->count() : m_call->arrival.promptTokens.count();
        std::int64_t cached = ended.cachedPromptTokens ? ended.cachedPromptTokens->count() : 0;
        m_traffic.m_metrics.counter("limpetpond_wasted_prefill_tokens_total", "Prompt tokens whose processing was thrown away.", tierLabel())
            .add(std::max<std::int64_t>(prompt - cached, 0));
    }

    void handle(const FinalAnswer& final)
    {
        if (m_final)
            return;
        m_final = final;
        m_waiting.release();
        if (!m_attempt)
            return;
        m_attempt->isAbandoned = !m_call->stream || m_callerDisconnected;
        // A claimed call is not cancelled, so that a later request with the same key gets its answer.
        if (m_call->arrival.idempotent && final.outcome != Outcome::Completed)
            m_attempt->stop.request();
    }

    /// Forwards chunks until the final answer, after the head was sent. Returns false if the caller disconnected.
    bool stream(httplib::DataSink& sink)
    {
        for (;;) {
            writePendingChunks(sink);
            if (m_final)
                break;
            handleMessages();
        }
        bool isComplete = m_final->outcome == Outcome::Completed && !m_targetAnswer;
        std::string end = isComplete ? streamEnd(id()) : streamError(finalError(), id());
        if (!m_callerDisconnected && !sink.write(end.data(), end.size()))
            m_callerDisconnected = true;
        m_status = 200;
        finish();
        sink.done();
        return !m_callerDisconnected;
    }

    void writePendingChunks(httplib::DataSink& sink)
    {
        std::vector<EngineChunk> pending;
        pending.swap(m_pendingChunks);
        for (const EngineChunk& chunk : pending) {
            if (!m_callerDisconnected && (m_call->forwardsUsage || !isUsageOnly(chunk))) {
                std::string event = streamEvent(chunk.data);
                if (!sink.write(event.data(), event.size()))
                    handleCallerDisconnected();
            }
            m_inbox->bufferedBytes -= static_cast<std::int64_t>(chunk.data.size());
        }
    }

    ApiError finalError() const
    {
        ApiError error { .status = statusOf(m_final->outcome, m_final->reason), .outcome = m_final->outcome, .reason = m_final->reason, .retryAfter = m_final->retryAfter, .retryToken = m_final->retryToken };
        if (m_targetAnswer)
            error.message = "The target ended the stream with an error.";
        return error;
    }

    int fillAnswer(httplib::Response& response)
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
            return fillAnswerNotStored(response);
        response.status = 200;
        response.set_content(m_assembler.toJson(), jsonContentType);
        return response.status;
    }

    int fillStored(httplib::Response& response)
    {
        std::optional<HttpResponse> stored = decodeStoredAnswer(m_final->storedAnswer);
        if (!stored)
            return fillAnswerNotStored(response);
        if (!m_targetAnswer)
            response.set_header(storedAnswerHeader, "true");
        return fillTargetAnswer(response, *stored);
    }

    /// An earlier request with the same key completed the call, but its answer was too large to store.
    int fillAnswerNotStored(httplib::Response& response)
    {
        constexpr int statusGone = 410;
        ApiError error { .status = statusGone, .outcome = Outcome::Completed, .reason = Reason::None, .message = "The call was completed earlier; its answer is not kept." };
        response.status = statusGone;
        response.set_content(errorBody(error, id()), jsonContentType);
        return statusGone;
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

    std::vector<MetricLabel> tierLabel() const { return { { "tier", std::to_string(m_call->arrival.tier.level) } }; }

    /// Records the metrics and the log line of a finished request; called once for each request.
    void finish()
    {
        SteadyTime now = m_traffic.m_clock.steadyNow();
        std::vector<MetricLabel> labels = tierLabel();
        labels.push_back({ "outcome", std::string(toString(m_final->outcome)) });
        labels.push_back({ "reason", std::string(toString(m_final->reason)) });
        Metrics& metrics = m_traffic.m_metrics;
        metrics.counter("limpetpond_requests_total", "Requests that got their final answer, by tier, outcome and reason.", labels).add();
        bool isUseful = m_final->outcome == Outcome::Completed && !m_callerDisconnected && (!m_targetAnswer || m_targetAnswer->status < 500);
        if (isUseful)
            metrics.counter("limpetpond_goodput_total", "Completed useful answers.", tierLabel()).add();
        if (m_final->outcome == Outcome::NotRun && m_final->reason == Reason::Overloaded)
            metrics.counter("limpetpond_shed_total", "Requests given up on under overload.", tierLabel()).add();
        metrics.secondsHistogram("limpetpond_request_seconds", "From the arrival of a request to its final answer.", tierLabel()).record(secondsBetween(m_arrivedAt, now));
        logLine(LogLevel::Info, "request_ended", { { "request", id().value() }, { "attempt", m_lastAttempt.value() }, { "target", m_target.value() }, { "account", m_call->arrival.account.value() }, { "pool", m_call->arrival.pool.value() }, { "tier", m_call->arrival.tier.level }, { "outcome", toString(m_final->outcome) }, { "reason", toString(m_final->reason) }, { "status", m_status }, { "caller_gone", m_callerDisconnected }, { "seconds", secondsBetween(m_arrivedAt, now) } });
        m_open.release();
    }

    Traffic& m_traffic;
    std::shared_ptr<const ParsedCall> m_call;
    std::shared_ptr<RequestInbox> m_inbox;
    int m_socket;
    ScopedCount m_open;
    ScopedCount m_waiting;
    SteadyTime m_arrivedAt;
    std::optional<SteadyTime> m_firstChunkAt;
    SteadyTime m_lastChunkAt;
    SecondsHistogram* m_betweenChunks { nullptr };
    std::shared_ptr<Attempt> m_attempt;
    std::vector<EngineChunk> m_pendingChunks;
    CompletionAssembler m_assembler;
    std::optional<HttpResponse> m_targetAnswer;
    std::optional<FinalAnswer> m_final;
    TargetId m_target;
    AttemptId m_lastAttempt;
    bool m_callerDisconnected { false };
    int m_status { 0 };
};

void handleCall(Traffic& traffic, std::shared_ptr<const ParsedCall> call, int callerSocket, httplib::Response& response)
{
    auto handler = std::make_shared<CallHandler>(traffic, std::move(call), callerSocket);
    handler->run(response, handler);
}

int fillError(httplib::Response& response, const ApiError& error, const RequestId& request)
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

} // namespace limpetpond::detail
