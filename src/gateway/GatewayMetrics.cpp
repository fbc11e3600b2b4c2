#include "gateway/GatewayMetrics.h"

namespace limpetpond {

GatewayMetrics::GatewayMetrics()
    : requests(registry.counter("limpetpond_requests_total", "Requests of callers."))
    , answered(registry.counter("limpetpond_answered_total", "Requests whose target's answer was passed on whole."))
    , refusedOverload(registry.counter("limpetpond_refused_overload_total", "Requests turned away because the targets have no room in time."))
    , refusedQuarantined(registry.counter("limpetpond_refused_quarantined_total", "Requests refused because a part of their prompt crashes targets."))
    , refusedQuota(registry.counter("limpetpond_refused_quota_total", "Requests turned away by their account's quota."))
    , quotaSharePercent(registry.gauge("limpetpond_quota_share_percent", "Part of each quota that this instance and the peers that it hears may use together."))
    , refusedOther(registry.counter("limpetpond_refused_other_total", "Requests without a known route or key, or before any settings."))
    , failed(registry.counter("limpetpond_failed_total", "Requests that may have run and have no answer to pass on."))
    , callersDisconnected(registry.counter("limpetpond_callers_gone_total", "Requests whose caller closed the connection first."))
    , callersTimedOut(registry.counter("limpetpond_callers_timed_out_total", "Connections of callers closed for the idle, header or body timeout."))
    , sends(registry.counter("limpetpond_sends_total", "Requests sent to targets."))
    , retries(registry.counter("limpetpond_resends_total", "Requests sent to a further target."))
    , resumes(registry.counter("limpetpond_resumes_total", "Streams that went on at a further target."))
    , notRunAnswers(registry.counter("limpetpond_not_run_answers_total", "Targets' answers that they did not run a request."))
    , brokenAnswers(registry.counter("limpetpond_broken_answers_total", "Targets' answers that ended early or could not be read."))
    , oversizedAnswers(registry.counter("limpetpond_oversized_answers_total", "Targets' answers that were ended because all buffered answers together took too much memory."))
    , answerBufferBytes(registry.gauge("limpetpond_answer_buffer_bytes", "Memory of the targets' answers that are buffered until they are whole."))
    , refusedBodies(registry.counter("limpetpond_refused_bodies_total", "Requests turned away because the bodies of all requests took too much memory."))
    , requestBodyBytes(registry.gauge("limpetpond_request_body_bytes", "Memory of the bodies of requests that are read, wait or are in progress."))
    , callerConnections(registry.gauge("limpetpond_caller_connections", "Open connections of callers."))
    , waiting(registry.gauge("limpetpond_waiting", "Requests that wait for a target."))
    , inProgress(registry.gauge("limpetpond_in_progress", "Requests at targets."))
    , settingsVersion(registry.gauge("limpetpond_settings_version", "Version of the settings in force; 0 for none."))
    , targets(registry.gauge("limpetpond_targets", "Targets known."))
    , peers(registry.gauge("limpetpond_peers", "Other instances heard from lately."))
    , leavingTargets(registry.gauge("limpetpond_leaving_targets", "Targets with an entry that said in an answer that they leave."))
    , pausedTargets(registry.gauge("limpetpond_paused_targets", "Targets with an entry that want no requests now, by their own answers."))
    , targetPauses(registry.counter("limpetpond_target_pauses_total", "Targets' answers that they want no requests for some time."))
    , quarantinedParts(registry.gauge("limpetpond_quarantined_parts", "Parts of prompts that crash targets and are refused."))
    , targetCrashes(registry.counter("limpetpond_target_crashes_total", "Targets that refused connections right after they had closed one early."))
    , waitSeconds(registry.secondsHistogram("limpetpond_wait_seconds", "From a request's arrival to its first send."))
    , firstByteSeconds(registry.secondsHistogram("limpetpond_first_byte_seconds", "From a request's arrival to the first bytes of its answer."))
    , wholeSeconds(registry.secondsHistogram("limpetpond_whole_seconds", "From a request's arrival to the end of its answer."))
{
}

} // namespace limpetpond
