/// The gateway's handling of attempts at targets: how they end, retries and timeouts.

#include "gateway/Gateway.h"
#include "gateway/HttpText.h"
#include <algorithm>
#include <set>

namespace limpetpond {

namespace {

    constexpr Duration answerGrace = std::chrono::milliseconds(60); ///< The answer that the target itself sends at the deadline may still arrive.
    constexpr Duration minTimeToRetry = std::chrono::milliseconds(100);
    constexpr int stallTimeInObjectives = 2; ///< Latency objectives without a first event or an answer until an attempt counts as stalled.
    constexpr double stallTimeInPauses = 2.5; ///< The same for the time between two events, in longest pauses of the route.
    constexpr Duration immediateBreakTime = std::chrono::milliseconds(25); ///< The target did no work if the connection breaks sooner.
    constexpr double serviceTimeWeight = 0.05; ///< Weight of the newest request in the moving average of the service time.
    constexpr int minMeasuredEvents = 4; ///< Shorter streams don't count for the target's measured speed.
    constexpr Duration idleCheckInterval = std::chrono::milliseconds(500);
    constexpr std::size_t maxLoggedRetryAfter = 40; ///< Bytes of an unreadable value in a line of the log.
    constexpr std::size_t maxLoggedPromptParts = 200; ///< Bytes of a request's list of prompt parts in a line of the log.
    constexpr std::size_t maxUnwrittenBytes = 262144; ///< Reading from the target pauses while more bytes wait for a slow caller.
    constexpr std::size_t maxHeldEventBytes = 16384; ///< Of an event that has begun; a larger one waits while memory is short.
    constexpr double minPromptTokensPerMillisecond = 25; ///< The stall time also allows for reading the prompt at this rate.

    std::string_view attemptEndName(AttemptEnd end)
    {
        switch (end) {
        case AttemptEnd::Answered:
            return "answered";
        case AttemptEnd::NotRun:
            return "not_run";
        case AttemptEnd::WrongTarget:
            return "wrong_target";
        case AttemptEnd::FailedAnswer:
            return "failed_answer";
        case AttemptEnd::BadAnswer:
            return "bad_answer";
        case AttemptEnd::NotConnected:
            return "not_connected";
        case AttemptEnd::Broken:
            return "connection_lost";
        case AttemptEnd::Stalled:
            return "stalled";
        }
        return "unknown";
    }

    SendProgress progressOf(AttemptEnd end)
    {
        switch (end) {
        case AttemptEnd::NotConnected:
            return SendProgress::NothingWritten;
        case AttemptEnd::NotRun:
        case AttemptEnd::WrongTarget:
            return SendProgress::AnsweredNotRun;
        default:
            return SendProgress::Written;
        }
    }

    /// The time that one unit of work took: one event of a stream, or a whole call that isn't streamed. Nothing for short streams.
    std::optional<double> unitMilliseconds(const Exchange& exchange, const Attempt& attempt, SteadyTime now)
    {
        if (!exchange.isStreaming())
            return toMilliseconds(now - attempt.sentAt);
        if (!attempt.firstEventAt || attempt.events < minMeasuredEvents)
            return std::nullopt;
        return toMilliseconds(attempt.lastProgressAt - *attempt.firstEventAt) / (attempt.events - 1);
    }

    /// Whether there is a target that the request was not sent to and that may take it, once it has a free slot.
    bool hasFurtherTarget(const std::vector<TargetState>& targets, const std::vector<TargetId>& tried, SteadyTime now)
    {
        return std::any_of(targets.begin(), targets.end(), [&](const TargetState& target) {
            return isUsable(target) && !isPaused(target, now) && !isEjected(target, now) && std::find(tried.begin(), tried.end(), target.entry.id) == tried.end();
        });
    }

    /// A caller takes 503 for the promise that its request has not run, at any target.
    bool mayPassOnFailedAnswer(const Exchange& exchange)
    {
        bool saysNotRun = exchange.answerStatus() == platform::unavailableStatus;
        return !exchange.hasBegunAnswer() && !(saysNotRun && exchange.mayHaveRunBefore());
    }

    void recordAttemptEnd(TargetState& target, const Exchange& exchange, const Attempt& attempt, AttemptEnd end, SteadyTime now)
    {
        // A target that says when to return isn't slower or failing, and its pause takes the place of a lower concurrency limit.
        if (exchange.answerStatus() == platform::unavailableStatus && isPaused(target, now) && (end == AttemptEnd::NotRun || end == AttemptEnd::FailedAnswer))
            return;
        switch (end) {
        case AttemptEnd::Answered:
            recordAnswer(target, unitMilliseconds(exchange, attempt, now), now);
            return;
        case AttemptEnd::FailedAnswer:
        case AttemptEnd::BadAnswer:
            recordFailedAnswer(target, now);
            return;
        case AttemptEnd::NotConnected:
        case AttemptEnd::Broken:
        case AttemptEnd::Stalled:
            recordConnectionFailure(target, now - attempt.sentAt < immediateBreakTime ? ConnectionFailure::Immediate : ConnectionFailure::Late, now);
            return;
        case AttemptEnd::NotRun:
            recordTargetFull(target);
            return;
        case AttemptEnd::WrongTarget:
            return;
        }
    }

} // namespace

void Gateway::onAnswerHead(const Exchange& exchange, const Attempt& attempt, const HttpAnswerHead& head)
{
    if (head.status == platform::wrongTargetStatus)
        return;
    recordNotices(exchange, attempt, head);
    TargetState* target = m_pools.findTarget(attempt.target);
    if (!target)
        return;
    bool statesLimit = hasField(head.fields, platform::Field::RateLimit);
    std::optional<double> limit = parseDecimal(fieldValue(head.fields, platform::Field::RateLimit));
    // An answer that isn't the target's own says nothing about the end of a limit.
    bool isKnown = statesLimit ? limit.has_value() : hasField(head.fields, platform::Field::TargetSignature);
    if (isKnown && recordStatement(target->rateLimit, { .perSecond = limit, .at = m_clock.steadyNow() }))
        logRateLimit(attempt.target, limit, exchange.facts().id);
}

void Gateway::recordNotices(const Exchange& exchange, const Attempt& attempt, const HttpAnswerHead& head)
{
    SteadyTime now = m_clock.steadyNow();
    const std::string& request = exchange.facts().id;
    if (platform::statesLeaving(fieldValue(head.fields, platform::Field::Leaving)) && m_pools.recordLeaving(attempt.target, attempt.targetStartedAt, now))
        m_log.line("info", "target_leaving", { { "target", attempt.target.value() }, { "request", request } });
    if (head.status != platform::unavailableStatus || !hasField(head.fields, platform::Field::RetryAfter))
        return;
    std::string_view value = fieldValue(head.fields, platform::Field::RetryAfter);
    std::optional<double> seconds = platform::retryAfterSeconds(value);
    if (!seconds) {
        m_log.line("warning", "target_pause_unreadable",
            { { "target", attempt.target.value() }, { "request", request }, { "retry_after", value.substr(0, maxLoggedRetryAfter) } });
        return;
    }
    if (*seconds <= 0)
        return;
    SteadyTime until = m_pools.recordPause(attempt.target, attempt.targetStartedAt, pauseTime(*seconds), now);
    m_metrics.targetPauses.add();
    m_log.line("info", "target_paused",
        { { "target", attempt.target.value() }, { "request", request }, { "seconds", *seconds }, { "returns_after_ms", toMilliseconds(until - now) } });
}

/// An empty request id stands for a peer's answer.
void Gateway::logRateLimit(const TargetId& target, std::optional<double> perSecond, std::string_view request)
{
    m_log.line("info", "target_rate_limit", { { "target", target.value() }, { "per_second", perSecond.value_or(-1) }, { "request", request } });
}

void Gateway::releaseAttempt(Exchange& exchange, std::optional<AttemptEnd> end)
{
    Attempt attempt = std::move(*exchange.attempt());
    exchange.attempt().reset();
    m_pools.pool(exchange.facts().pool).stalled.erase(exchange.ticket());
    SteadyTime now = m_clock.steadyNow();
    if (end)
        recordPromptOutcome(exchange, attempt, *end, now);
    // The same target may have started again since.
    TargetState* target = m_pools.findTarget(attempt.target);
    bool isSameIncarnation = target && target->entry.startedAt == attempt.targetStartedAt;
    bool asksForPause = target && exchange.answerStatus() == platform::unavailableStatus && isPaused(*target, now);
    m_rollouts.recordEnd(exchange, end, asksForPause);
    if (isSameIncarnation) {
        if (end)
            recordAttemptEnd(*target, exchange, attempt, *end, now);
        target->ownInProgress = std::max(target->ownInProgress - 1, 0);
        if (!attempt.isPromptRead)
            target->ownPromptTokens = std::max(target->ownPromptTokens - exchange.facts().promptTokens, 0.0);
        target->probeInProgress = false;
    }
    if (end == AttemptEnd::Answered) {
        PoolState& pool = m_pools.pool(exchange.facts().pool);
        double measured = toMilliseconds(now - attempt.sentAt);
        pool.serviceMilliseconds += (pool.serviceMilliseconds > 0 ? serviceTimeWeight : 1) * (measured - pool.serviceMilliseconds);
        if (attempt.firstEventAt)
            updateFirstEventFactor(pool.firstEventFactor, toMilliseconds(*attempt.firstEventAt - attempt.sentAt), attempt.estimatedFirstEventMilliseconds);
    }
    m_pools.returnConnection(attempt.target, attempt.connection, now);
    if (end == AttemptEnd::WrongTarget && isSameIncarnation)
        m_pools.removeTarget(attempt.target);
}

void Gateway::logAttemptEnd(const Exchange& exchange, AttemptEnd end, SteadyTime now)
{
    const RequestFacts& facts = exchange.facts();
    const Attempt& attempt = *exchange.attempt();
    m_log.line(end == AttemptEnd::Answered ? "info" : "warning", "send_ended",
        { { "request", facts.id }, { "target", attempt.target.value() }, { "end", attemptEndName(end) }, { "events", std::int64_t { attempt.events } },
            { "first_event_after_send_ms", attempt.firstEventAt ? toMilliseconds(*attempt.firstEventAt - attempt.sentAt) : -1.0 },
            { "after_send_ms", toMilliseconds(now - attempt.sentAt) }, { "after_ms", toMilliseconds(now - facts.arrivedAt) } });
    if (progressOf(end) != SendProgress::Written || end == AttemptEnd::Answered || end == AttemptEnd::FailedAnswer)
        return;
    m_log.line("warning", "answer_lost",
        { { "request", facts.id }, { "target", attempt.target.value() }, { "route", facts.route->name }, { "account", facts.account },
            { "prompt_parts", fieldValue(exchange.request().fields, platform::Field::PromptParts).substr(0, maxLoggedPromptParts) } });
}

void Gateway::onAttemptEnd(Exchange& exchange, AttemptEnd end)
{
    std::shared_ptr<Exchange> kept = exchange.shared_from_this();
    const RequestFacts& facts = exchange.facts();
    SteadyTime now = m_clock.steadyNow();
    std::optional<SteadyTime> firstEventAt = exchange.attempt()->firstEventAt;
    logAttemptEnd(exchange, end, now);
    releaseAttempt(exchange, end);
    PoolState& pool = m_pools.pool(facts.pool);
    if (end == AttemptEnd::Answered) {
        m_metrics.answered.add();
        m_metrics.wholeSeconds.record(toSeconds(now - facts.arrivedAt));
        m_metrics.firstByteSeconds.record(toSeconds(firstEventAt.value_or(now) - facts.arrivedAt));
        finish(exchange);
    } else if (tryRetry(exchange, end)) {
        exchange.dropBufferedAnswer();
        m_metrics.retries.add();
    } else if (end == AttemptEnd::FailedAnswer && mayPassOnFailedAnswer(exchange)) {
        exchange.passOnFailedAnswer();
        finish(exchange);
    } else {
        finishWithFailure(exchange, { .reason = attemptEndName(end) });
    }
    dispatchWaiting(pool);
}

bool Gateway::mayRetryExchange(const Exchange& exchange, SendProgress progress, SteadyTime now) const
{
    const RequestFacts& facts = exchange.facts();
    if (facts.deadline - now < minTimeToRetry)
        return false;
    bool mayRepeat = mayRunAgain(*facts.route);
    if (exchange.hasBegunAnswer() && (!mayRepeat || !exchange.resumePoint()))
        return false;
    return mayRetry({ .progress = progress, .mayRunAgain = mayRepeat, .targetsSent = exchange.targetsSent(), .maxTargets = facts.route->maxTargets })
        || mayReturn({ .progress = progress, .mayRunAgain = mayRepeat, .mayHaveRun = exchange.mayHaveRun(), .returns = exchange.returns() });
}

bool Gateway::tryRetry(Exchange& exchange, AttemptEnd end)
{
    SteadyTime now = m_clock.steadyNow();
    if (end == AttemptEnd::NotRun || end == AttemptEnd::WrongTarget)
        m_metrics.notRunAnswers.add();
    if (end == AttemptEnd::Broken || end == AttemptEnd::BadAnswer)
        m_metrics.brokenAnswers.add();
    SendProgress progress = progressOf(end);
    if (!mayRetryExchange(exchange, progress, now))
        return false;
    const RequestFacts& facts = exchange.facts();
    PoolState& pool = m_pools.pool(facts.pool);
    if (!hasUsableTarget(pool.targets))
        return false;
    RankedRequest waiting = waitingRequest(exchange);
    if (std::optional<SteadyTime> until = poolPausedUntil(pool.targets, now); until && waiting.expiresAt <= *until)
        return false;
    if (progress != SendProgress::NothingWritten && !spendRetry(pool.retryBudget, instances(), now))
        return false;
    if (exchange.targetsSent() >= facts.route->maxTargets)
        exchange.beginReturn();
    if (exchange.hasBegunAnswer())
        m_metrics.resumes.add();
    enqueue(pool.queue, waiting);
    return true;
}

bool Gateway::isStalled(const Exchange& exchange, SteadyTime now) const
{
    const RequestFacts& facts = exchange.facts();
    const RouteSettings& route = *facts.route;
    const Attempt& attempt = *exchange.attempt();
    // A caller that reads slowly holds up a sound target.
    if (route.latencyObjective.count() <= 0 || exchange.isPaused())
        return false;
    Duration promptTime = std::chrono::milliseconds(static_cast<std::int64_t>(facts.promptTokens / minPromptTokensPerMillisecond));
    Duration limit = attempt.firstEventAt && route.maxEventGap.count() > 0
        ? std::chrono::duration_cast<Duration>(stallTimeInPauses * route.maxEventGap)
        : stallTimeInObjectives * Duration(route.latencyObjective) + promptTime;
    return now - attempt.lastProgressAt > limit;
}

void Gateway::checkStalled(Exchange& exchange, SteadyTime now)
{
    PoolState& pool = m_pools.pool(exchange.facts().pool);
    if (!isStalled(exchange, now) || !mayRetryExchange(exchange, SendProgress::Written, now) || !hasRetryLeft(pool.retryBudget, instances(), now)) {
        pool.stalled.erase(exchange.ticket());
        return;
    }
    // Before any part of an answer, a request that can still wait loses nothing, and the silent target's slot is free for others.
    bool canWait = !exchange.hasBegunAnswer() && waitingRequest(exchange).expiresAt > now;
    if (canWait && hasFurtherTarget(pool.targets, exchange.triedTargets(), now)) {
        exchange.endAsStalled();
        return;
    }
    if (pool.stalled.insert(exchange.ticket()).second)
        replaceStalledAttempts(pool, now);
}

bool Gateway::giveUpStalledAttempt(PoolState& pool, Exchange& exchange, SteadyTime now)
{
    // The target may have gone on, and other requests may have used up the retry budget, since the last check.
    if (!isStalled(exchange, now) || !spendRetry(pool.retryBudget, instances(), now))
        return false;
    logAttemptEnd(exchange, AttemptEnd::Stalled, now);
    exchange.abandonAttempt();
    releaseAttempt(exchange, AttemptEnd::Stalled);
    m_metrics.retries.add();
    if (exchange.hasBegunAnswer())
        m_metrics.resumes.add();
    return true;
}

void Gateway::endRequests()
{
    std::vector<std::shared_ptr<Exchange>> exchanges;
    exchanges.reserve(m_exchanges.size());
    for (const auto& [ticket, exchange] : m_exchanges)
        exchanges.push_back(exchange);
    for (const std::shared_ptr<Exchange>& exchange : exchanges) {
        if (exchange->attempt()) {
            exchange->abandonAttempt();
            releaseAttempt(*exchange, std::nullopt);
        }
        finishWithFailure(*exchange, { .reason = "stopping", .retryAfter = retryAfterShutdown });
    }
}

void Gateway::onAnswerBuffersExceeded()
{
    while (m_answerBuffers->isExceeded()) {
        std::shared_ptr<Exchange> largest;
        for (const auto& [ticket, exchange] : m_exchanges) {
            if (exchange->attempt() && exchange->bufferedMemory() > (largest ? largest->bufferedMemory() : 0))
                largest = exchange;
        }
        if (!largest)
            return;
        m_metrics.oversizedAnswers.add();
        m_log.line("warning", "answer_too_large",
            { { "request", largest->facts().id }, { "target", largest->attempt()->target.value() }, { "bytes", static_cast<std::int64_t>(largest->bufferedMemory()) },
                { "bytes_of_all", static_cast<std::int64_t>(m_answerBuffers->used) } });
        largest->endAsBad();
    }
}

bool Gateway::mayReadMore(const Exchange& exchange) const
{
    if (exchange.unwrittenBytes() > maxUnwrittenBytes)
        return false;
    if (!m_unwrittenAnswers->isExceeded())
        return true;
    if (exchange.unwrittenBytes() > 0)
        return false;
    std::size_t held = exchange.heldEventMemory();
    if (held <= maxHeldEventBytes)
        return true;
    // One event is completed after the other, the largest first, so that its memory is free again.
    return std::none_of(m_exchanges.begin(), m_exchanges.end(), [&](const auto& other) {
        std::size_t otherHeld = other.second->heldEventMemory();
        return otherHeld > held || (otherHeld == held && other.first < exchange.ticket());
    });
}

void Gateway::closeStalledCallers(SteadyTime now)
{
    if (!m_unwrittenAnswers->isExceeded())
        return;
    std::vector<std::pair<std::size_t, std::shared_ptr<HttpServerConnection>>> stalled;
    for (std::shared_ptr<HttpServerConnection>& connection : openConnections()) {
        if (std::size_t memory = connection->stalledAnswerMemory(allowedStall(*m_unwrittenAnswers), now))
            stalled.emplace_back(memory, std::move(connection));
    }
    std::sort(stalled.begin(), stalled.end(), std::greater<>());
    for (const auto& [memory, connection] : stalled) {
        if (!m_unwrittenAnswers->isExceeded())
            return;
        m_metrics.untakenAnswers.add();
        m_log.line("warning", "answer_not_taken", { { "bytes", static_cast<std::int64_t>(memory) }, { "bytes_of_all", static_cast<std::int64_t>(m_unwrittenAnswers->used) } });
        connection->closeStalled();
    }
}

void Gateway::tick()
{
    SteadyTime now = m_clock.steadyNow();
    closeStalledCallers(now);
    applyQuotaShare(now);
    checkWaiting(now);
    checkInProgress(now);
    if (now - m_idleCheckedAt < idleCheckInterval)
        return;
    m_idleCheckedAt = now;
    for (const std::shared_ptr<HttpServerConnection>& connection : openConnections())
        connection->closeIfTimedOut(now);
}

void Gateway::checkWaiting(SteadyTime now)
{
    m_pools.refreshDistances(now);
    m_crashChecks.tick(now);
    std::int64_t waiting = 0;
    std::set<PromptPart> quarantined;
    for (auto& [id, pool] : m_pools.all()) {
        for (WaitTicket ticket : expiredRequests(pool.queue, now))
            finishWithFailure(*m_exchanges.at(ticket), { .reason = "waited_too_long", .timedOut = true });
        checkQuarantines(pool, now);
        quarantined.insert(pool.loggedQuarantines.begin(), pool.loggedQuarantines.end());
        refuseUnsendable(pool, now);
        m_pools.divideRateLimits(pool, now);
        dispatchWaiting(pool); // Ejected targets may have been readmitted.
        waiting += static_cast<std::int64_t>(pool.queue.requests.size());
    }
    m_metrics.waiting.set(waiting);
    m_metrics.quarantinedParts.set(static_cast<std::int64_t>(quarantined.size()));
    Pools::NoticeCounts notices = m_pools.noticeCounts(now);
    m_metrics.leavingTargets.set(notices.leaving);
    m_metrics.pausedTargets.set(notices.paused);
}

void Gateway::checkInProgress(SteadyTime now)
{
    std::vector<std::shared_ptr<Exchange>> inProgress;
    for (const auto& [ticket, exchange] : m_exchanges) {
        if (exchange->attempt())
            inProgress.push_back(exchange);
    }
    m_metrics.inProgress.set(static_cast<std::int64_t>(inProgress.size()));
    m_metrics.callerConnections.set(static_cast<std::int64_t>(m_connections.size()));
    m_metrics.answerBufferBytes.set(static_cast<std::int64_t>(m_answerBuffers->used));
    m_metrics.requestBodyBytes.set(static_cast<std::int64_t>(m_requestBodies->used));
    m_metrics.unwrittenAnswerBytes.set(static_cast<std::int64_t>(m_unwrittenAnswers->used));
    for (const std::shared_ptr<Exchange>& exchange : inProgress) {
        if (exchange->isPaused() && exchange->unwrittenBytes() == 0 && mayReadMore(*exchange))
            exchange->resumeReading();
        if (exchange->attempt())
            checkAttempt(*exchange, now);
    }
}

void Gateway::checkAttempt(Exchange& exchange, SteadyTime now)
{
    const RequestFacts& facts = exchange.facts();
    Attempt& attempt = *exchange.attempt();
    if (attempt.firstEventAt && !attempt.isPromptRead) {
        attempt.isPromptRead = true;
        if (TargetState* target = m_pools.findTarget(attempt.target))
            target->ownPromptTokens = std::max(target->ownPromptTokens - facts.promptTokens, 0.0);
    }
    if (attempt.connection->isConnecting() && now > attempt.connection->connectDeadline()) {
        attempt.connection->failConnect();
        return;
    }
    if (now > facts.deadline + answerGrace) {
        exchange.abandonAttempt();
        releaseAttempt(exchange, std::nullopt);
        PoolState& pool = m_pools.pool(facts.pool);
        finishWithFailure(exchange, { .reason = "deadline", .timedOut = true });
        dispatchWaiting(pool);
        return;
    }
    std::shared_ptr<HttpClientConnection> connection = attempt.connection;
    connection->closeIfSilent(now);
    if (exchange.attempt() && exchange.attempt()->connection == connection)
        checkStalled(exchange, now);
}

} // namespace limpetpond
