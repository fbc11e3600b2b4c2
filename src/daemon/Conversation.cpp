#include "daemon/Conversation.h"

#include "base/Log.h"
#include "caller/CallerApi.h"
#include "caller/CompletionAssembler.h"
#include "daemon/Attempt.h"
#include "daemon/Ticket.h"
#include <algorithm>
#include <utility>

namespace limpetpond::detail {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds waitSlice { 500 }; ///< How often a waiting thread looks for an abort.

    double secondsBetween(SteadyTime from, SteadyTime to) { return std::chrono::duration<double>(to - from).count(); }

    /// The chunk that engines send only because every stream is asked for with its usage.
    bool isUsageOnly(const EngineChunk& chunk)
    {
        return chunk.promptTokens && chunk.text.empty() && chunk.finishReason.empty() && chunk.data.find("\"choices\":[]") != std::string::npos;
    }

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
        m_traffic.m_control.post(CallerDisconnected { id() });
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
        m_assembler.take(piece.chunk.data);
    }

    void noteProgress()
    {
        SteadyTime now = m_traffic.m_clock.steadyNow();
        std::vector<MetricLabel> tier = tierLabel();
        if (!m_firstPieceAt) {
            m_firstPieceAt = now;
            m_traffic.m_metrics.secondsHistogram("limpetpond_first_token_seconds", "From the arrival of a request to the first piece of its answer.", tier)
                .record(secondsBetween(m_arrivedAt, now));
            m_betweenPieces = &m_traffic.m_metrics.secondsHistogram("limpetpond_between_tokens_seconds", "Between two pieces of an answer.", tier);
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
        metrics.secondsHistogram("limpetpond_request_seconds", "From the arrival of a request to its final answer.", tierLabel()).record(secondsBetween(m_arrivedAt, now));
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
    std::optional<HttpResponse> m_targetAnswer;
    std::optional<FinalAnswer> m_final;
    TargetId m_target;
    AttemptId m_lastAttempt;
    bool m_callerGone { false };
    int m_status { 0 };
};

void converse(Traffic& traffic, std::shared_ptr<const ParsedCall> call, int callerSocket, httplib::Response& response)
{
    auto conversation = std::make_shared<Conversation>(traffic, std::move(call), callerSocket);
    conversation->answer(response, conversation);
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
