#include "daemon/Attempt.h"

#include "base/Log.h"
#include "core/Guard.h"
#include <algorithm>
#include <thread>

namespace limpetpond::detail {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds bufferPollPeriod { 2 };

    /// The end of an attempt, as it is posted to the caller's thread and to the control thread.
    struct AttemptResult {
        AttemptEnded forCaller;
        DispatchEnded forControl;
    };

    AttemptResult notStarted(const Dispatch& dispatch, std::string detail)
    {
        return { .forCaller = { .attempt = dispatch.attempt, .end = DispatchEnd::NotStarted, .detail = std::move(detail) },
            .forControl = { .request = dispatch.request, .attempt = dispatch.attempt, .end = DispatchEnd::NotStarted } };
    }

    /// The first byte is sent when the connection is established, so connecting must end by `notAfter` too.
    milliseconds boundedConnectTimeout(const Dispatch& dispatch, const TrafficOptions& options, const Clock& clock)
    {
        auto left = std::chrono::duration_cast<milliseconds>(dispatch.notAfter - clock.steadyNow());
        return std::clamp(left, milliseconds(1), options.connectTimeout);
    }

    AttemptResult runEngineAttempt(Attempt& attempt, const TargetSettings& target, const TrafficOptions& options, const TargetCalls& calls, ControlThread& control, const Clock& clock)
    {
        const Dispatch& dispatch = attempt.dispatch;
        const ParsedCall& parsed = *attempt.call;
        EngineCall call { .attempt = dispatch.attempt,
            .path = parsed.routed.route == CallRoute::ChatCompletions ? "/v1/chat/completions" : "/v1/completions",
            .body = parsed.body,
            .timeout = parsed.pool.callTimeout,
            .connectTimeout = boundedConnectTimeout(dispatch, options, clock) };
        if (!isGuardDisabled(GuardId::DispatchNotAfterChecked))
            call.sendBefore = dispatch.notAfter;
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
            attempt.inbox->bufferedBytes += bytes;
            attempt.inbox->mailbox.post(StreamedChunk { dispatch.attempt, chunk });
            auto isCancelled = [&attempt] { return attempt.stop.isRequested() || attempt.inbox->cancelRequested; };
            while (attempt.inbox->bufferedBytes > options.maxStreamBuffer.count() && !isCancelled() && !attempt.isAbandoned)
                std::this_thread::sleep_for(bufferPollPeriod);
            return !isCancelled();
        };
        EngineCallEnd end = calls.engine({ target.id, { target.host, target.port } }, call, handlers, attempt.stop);
        return { .forCaller = { .attempt = dispatch.attempt, .end = end.end, .answer = std::move(end.error), .promptTokens = end.promptTokens, .cachedPromptTokens = end.cachedPromptTokens, .started = started, .detail = std::move(end.detail) },
            .forControl = { .request = dispatch.request, .attempt = dispatch.attempt, .end = end.end, .answerTokens = end.answerTokens, .answerForwarded = end.answerForwarded } };
    }

    AttemptResult runServiceAttempt(Attempt& attempt, const TargetSettings& target, const TrafficOptions& options, const TargetCalls& calls, const Clock& clock)
    {
        const Dispatch& dispatch = attempt.dispatch;
        const ParsedCall& parsed = *attempt.call;
        ServiceCall call { .endpoint = { target.host, target.port }, .attempt = dispatch.attempt, .key = parsed.arrival.key, .request = parsed.serviceRequest, .connectTimeout = boundedConnectTimeout(dispatch, options, clock), .timeout = parsed.pool.callTimeout, .maxAnswer = options.maxAnswer };
        ServiceCallEnd end = calls.service(call, attempt.stop);
        AttemptResult result { .forCaller = { .attempt = dispatch.attempt, .end = end.end, .detail = std::move(end.detail) },
            .forControl = { .request = dispatch.request, .attempt = dispatch.attempt, .end = end.end } };
        if (end.answer && !parsed.arrival.idempotent)
            result.forControl.storedAnswer = encodeStoredAnswer(*end.answer);
        result.forCaller.answer = std::move(end.answer);
        return result;
    }

} // namespace

void runAttempt(Attempt& attempt, const TrafficOptions& options, const TargetCalls& calls, ControlThread& control, const Clock& clock)
{
    const Dispatch& dispatch = attempt.dispatch;
    std::shared_ptr<const PublishedView> view = control.view();
    auto target = view->settings ? view->settings->targets.find(dispatch.target) : std::map<TargetId, TargetSettings>::const_iterator {};
    AttemptResult result;
    // The thread may have been suspended since the decision, so the clock is read last.
    if (!view->settings || target == view->settings->targets.end())
        result = notStarted(dispatch, "the target is not in the settings");
    else if (clock.steadyNow() > dispatch.notAfter && !isGuardDisabled(GuardId::DispatchNotAfterChecked))
        result = notStarted(dispatch, "the dispatch expired before it was sent");
    else if (target->second.kind == TargetKind::ModelEngine)
        result = runEngineAttempt(attempt, target->second, options, calls, control, clock);
    else
        result = runServiceAttempt(attempt, target->second, options, calls, clock);
    if (result.forCaller.end != DispatchEnd::Completed) {
        logLine(LogLevel::Warning, "dispatch_failed", { { "request", dispatch.request.value() }, { "attempt", dispatch.attempt.value() }, { "target", dispatch.target.value() }, { "detail", result.forCaller.detail } });
    }
    // The inbox comes first, so that the final answer is posted to it after all chunks and the end of the attempt.
    attempt.inbox->mailbox.post(std::move(result.forCaller));
    control.post(std::move(result.forControl));
}

} // namespace limpetpond::detail
