/// The gateway's handling of requests as they arrive: facts, quotas, admission and refusals.

#include "gateway/Gateway.h"
#include "gateway/HttpText.h"
#include <algorithm>

namespace limpetpond {

using platform::Field;

namespace {

    constexpr Duration defaultTimeout = std::chrono::seconds(30); ///< Used where the caller states none.
    constexpr Duration retryAfterNoSettings = std::chrono::milliseconds(500);
    constexpr Duration retryAfterNoTarget = std::chrono::milliseconds(800);
    constexpr Duration retryAfterRolloutUnknown = std::chrono::milliseconds(500);
    constexpr Duration minQuotaRetryAfter = std::chrono::milliseconds(200);
    constexpr std::chrono::milliseconds bodyRetryAfter { 1000 }; ///< Bodies are held for as long as their requests run.
    constexpr Duration firstTokenOverhead = std::chrono::milliseconds(40); ///< Time to the first token besides reading the prompt: sending, admission and one step.
    /// A streaming request may wait for the longest of these times: a fixed one, a number of latency objectives, and a number
    /// of the route's longest pauses between events.
    constexpr Duration minWaitTime = std::chrono::seconds(2);
    constexpr int waitTimeInObjectives = 4;
    constexpr int waitTimeInPauses = 8;
    constexpr std::size_t maxComparedParts = 64; ///< With what targets have in their caches, which takes time for each part and target.
    constexpr std::string_view rolloutUnknown = "rollout_unknown";
    constexpr int mostUrgentRank = -1; ///< Rank of streams that have begun and wait for a retry.

    std::string lowerCaseHost(std::string_view host)
    {
        std::string name(host.substr(0, host.find(':')));
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return name;
    }

    struct TokenCounts {
        double prompt { 0 };
        double maxAnswer { 0 };
        bool isStated { false };
    };

    TokenCounts tokenCountsOf(const ReceivedRequest& request)
    {
        std::string_view value = fieldValue(request.fields, Field::TokenCounts);
        std::size_t comma = value.find(',');
        if (comma == std::string_view::npos)
            return {};
        std::optional<double> prompt = parseDecimal(value.substr(0, comma));
        std::optional<double> answer = parseDecimal(value.substr(comma + 1));
        if (!prompt || !answer)
            return {};
        return { .prompt = *prompt, .maxAnswer = *answer, .isStated = true };
    }

    std::vector<SharedPart> sharedPartsOf(const ReceivedRequest& request)
    {
        std::vector<SharedPart> parts;
        for (const HeaderField& field : request.fields) {
            if (field.meaning != Field::PromptParts)
                continue;
            for (const platform::PromptPartEntry& entry : platform::promptPartEntries(field.value))
                parts.push_back({ .part = promptPartOf(entry.id), .tokens = entry.tokens });
        }
        if (!parts.empty())
            parts.pop_back();
        return parts;
    }

    SteadyTime deadlineOf(const ReceivedRequest& request, const RouteSettings& route, SteadyTime now)
    {
        std::optional<double> left = parseDecimal(fieldValue(request.fields, Field::TimeLeft));
        Duration time = left ? fromMilliseconds(std::min(*left, 1e8)) : defaultTimeout;
        if (route.timeout.count() > 0)
            time = std::min<Duration>(time, route.timeout);
        return now + time;
    }

} // namespace

void Gateway::onRequest(const std::shared_ptr<HttpServerConnection>& caller, ReceivedRequest&& request)
{
    m_metrics.requests.add();
    RequestFacts facts;
    if (std::optional<Refusal> refusal = readFacts(request, facts)) {
        caller->setAnswerDeadline(m_clock.steadyNow() + callerLimits().idleTimeout);
        answerRefusal(*caller, request, facts.id, *refusal);
        return;
    }
    caller->setAnswerDeadline(facts.deadline);
    WaitTicket ticket = ++m_lastTicket;
    auto exchange = std::make_shared<Exchange>(*this, m_clock, ticket, caller, std::move(request), std::move(facts));
    m_exchanges[ticket] = exchange;
    m_ticketByCaller[caller.get()] = ticket;
    admitOrRefuse(exchange);
}

std::optional<Gateway::Refusal> Gateway::readFacts(const ReceivedRequest& request, RequestFacts& facts)
{
    facts.id = fieldValue(request.fields, Field::RequestId);
    if (!m_acceptsRequests)
        return Refusal { .reason = "stopping", .retryAfter = retryAfterShutdown };
    if (!m_settings)
        return Refusal { .reason = "no_settings_yet", .retryAfter = retryAfterNoSettings };
    if (facts.id.empty())
        return Refusal { .status = 400, .reason = "no_request_id" };
    facts.settings = m_settings;
    facts.route = findRoute(*m_settings, lowerCaseHost(fieldValue(request.fields, Field::Host)), request.path);
    if (!facts.route)
        return Refusal { .status = 404, .reason = "no_route" };
    facts.arrivedAt = m_clock.steadyNow();
    facts.deadline = deadlineOf(request, *facts.route, facts.arrivedAt);
    facts.rank = facts.route->rank * routeRanksPerAccountRank + facts.route->rank;
    TokenCounts tokens = tokenCountsOf(request);
    facts.promptTokens = tokens.prompt;
    facts.sharedParts = sharedPartsOf(request);
    facts.promptParts.reserve(facts.sharedParts.size());
    for (const SharedPart& shared : facts.sharedParts)
        facts.promptParts.push_back(shared.part);
    facts.sharedParts.resize(std::min(facts.sharedParts.size(), maxComparedParts));
    facts.expectedAnswerTokens = std::min(parseDecimal(fieldValue(request.fields, Field::AnswerTokensHint)).value_or(tokens.maxAnswer), tokens.maxAnswer);
    if (std::optional<Refusal> refusal = checkAccount(request, facts))
        return refusal;
    facts.pool = choosePool(*facts.route, m_random());
    return std::nullopt;
}

std::optional<Gateway::Refusal> Gateway::checkAccount(const ReceivedRequest& request, RequestFacts& facts)
{
    if (facts.route->isPublic || facts.settings->settings.accounts.empty())
        return std::nullopt;
    const AccountSettings* account = findAccount(*facts.settings, platform::apiKeyFromAuthorization(fieldValue(request.fields, Field::ApiKey)));
    if (!account)
        return Refusal { .status = 401, .reason = "unknown_key" };
    facts.account = account->id.value();
    if (account->rank)
        facts.rank = *account->rank * routeRanksPerAccountRank + facts.route->rank;
    facts.quotaUnits = 1;
    if (account->countsTokens) {
        TokenCounts tokens = tokenCountsOf(request);
        facts.quotaUnits = tokens.isStated ? tokens.prompt + tokens.maxAnswer : account->defaultTokens;
    }
    AccountQuota& quota = m_quotas[account->id];
    if (admit(quota, { .units = facts.quotaUnits, .rank = facts.route->rank }, facts.arrivedAt))
        return std::nullopt;
    Duration retryAfter = std::max(timeUntil(quota, facts.quotaUnits, facts.arrivedAt), minQuotaRetryAfter);
    m_metrics.refusedQuota.add();
    m_log.line("info", "quota_exceeded",
        { { "request", facts.id }, { "account", facts.account }, { "units", facts.quotaUnits }, { "left", quota.left }, { "per_second", quota.perSecond },
            { "burst", quota.burst }, { "share", quota.share.part }, { "admitted_here", quota.admittedHere } });
    return Refusal { .status = 429, .reason = "over_quota", .retryAfter = retryAfter };
}

std::string Gateway::refuseBody(const ReceivedRequest& request)
{
    std::string_view requestId = fieldValue(request.fields, Field::RequestId);
    m_metrics.refusedBodies.add();
    m_log.line("warning", "body_refused",
        { { "request", requestId }, { "bytes", static_cast<std::int64_t>(bodyMemory(request)) }, { "bytes_of_all", static_cast<std::int64_t>(m_requestBodies->used) } });
    return gatewayAnswerText({ .status = 503, .reason = "bodies_too_large", .requestId = requestId, .retryAfter = bodyRetryAfter, .keepAlive = false });
}

void Gateway::refuseStalledBodies()
{
    SteadyTime now = m_clock.steadyNow();
    while (m_requestBodies->isExceeded()) {
        std::shared_ptr<HttpServerConnection> largest;
        std::size_t memory = 0;
        for (const auto& [key, open] : m_connections) {
            std::shared_ptr<HttpServerConnection> connection = open.lock();
            std::size_t stalled = connection ? connection->stalledBodyMemory(now) : 0;
            if (stalled > memory && mustRefuseBody(*m_requestBodies, stalled)) {
                memory = stalled;
                largest = std::move(connection);
            }
        }
        if (!largest)
            return;
        largest->refuseBody();
    }
}

void Gateway::answerRefusal(HttpServerConnection& caller, const ReceivedRequest& request, std::string_view requestId, const Refusal& refusal)
{
    if (refusal.status != 429 && refusal.status != 503)
        m_metrics.refusedOther.add();
    std::optional<Milliseconds> retryAfter;
    if (refusal.retryAfter)
        retryAfter = std::chrono::duration_cast<Milliseconds>(*refusal.retryAfter);
    bool keepAlive = request.keepAlive && keepsCallerConnections();
    m_log.line("info", "request_refused",
        { { "request", requestId }, { "status", std::int64_t { refusal.status } }, { "reason", refusal.reason },
            { "settings", static_cast<std::int64_t>(m_settings ? m_settings->settings.version.value() : 0) },
            { "retry_after_ms", retryAfter ? std::int64_t { retryAfter->count() } : std::int64_t { -1 } } });
    caller.write(gatewayAnswerText({ .status = refusal.status, .reason = refusal.reason, .requestId = requestId, .retryAfter = retryAfter, .keepAlive = keepAlive }));
    caller.finishAnswer(keepAlive);
}

RankedRequest Gateway::waitingRequest(const Exchange& exchange) const
{
    const RequestFacts& facts = exchange.facts();
    const RouteSettings& route = *facts.route;
    SteadyTime now = m_clock.steadyNow();
    if (exchange.hasBegunAnswer())
        return { .ticket = exchange.ticket(), .rank = mostUrgentRank, .arrivedAt = now, .objectiveAt = now + route.maxEventGap, .expiresAt = std::min(facts.deadline, now + minWaitTime) };
    Duration firstAnswer = exchange.isStreaming() ? firstTokenOverhead + fromMilliseconds(facts.promptTokens / typicalPromptTokensPerMillisecond) : Duration(firstTokenOverhead);
    Duration objective = route.latencyObjective.count() > 0 ? Duration(route.latencyObjective) : facts.deadline - facts.arrivedAt;
    Duration waitTime = facts.deadline - facts.arrivedAt;
    if (exchange.isStreaming())
        waitTime = std::min(waitTime, std::max({ minWaitTime, waitTimeInObjectives * objective, waitTimeInPauses * Duration(route.maxEventGap) }));
    return {
        .ticket = exchange.ticket(),
        .rank = facts.rank,
        .arrivedAt = facts.arrivedAt,
        .objectiveAt = facts.arrivedAt + objective - firstAnswer,
        .expiresAt = facts.arrivedAt + waitTime - firstAnswer,
    };
}

void Gateway::admitOrRefuse(const std::shared_ptr<Exchange>& exchange)
{
    const RequestFacts& facts = exchange->facts();
    SteadyTime now = m_clock.steadyNow();
    PoolState& pool = m_pools.pool(facts.pool);
    recordRequest(pool.retryBudget, now);
    if (std::optional<Duration> wait = quarantineTime(pool, facts, now)) {
        refuseQuarantined(*exchange, *wait);
        return;
    }
    if (!m_rollouts.mayUsePool(pool)) {
        finishWithFailure(*exchange, { .reason = rolloutUnknown, .retryAfter = retryAfterRolloutUnknown });
        return;
    }
    recordArrival(pool.arrivals, demandOf(facts.route->rank), now);
    if (!hasUsableTarget(pool.targets)) {
        finishWithFailure(*exchange, { .reason = "no_target", .retryAfter = retryAfterNoTarget });
        return;
    }
    RankedRequest waiting = waitingRequest(*exchange);
    if (pool.queue.requests.empty())
        beginCounting(pool.sendRate, now);
    enqueue(pool.queue, waiting);
    dispatchWaiting(pool);
    if (!pool.queue.requests.contains(exchange->ticket()))
        return;
    Duration pauseLeft = poolPausedUntil(pool.targets, now).value_or(now) - now;
    AdmissionDecision decision = decideAdmission({
        .ahead = countAhead(pool.queue, facts.rank) - 1,
        .sentPerSecond = pool.sendRate.perSecond,
        .timeToExpiry = waiting.expiresAt - now,
        .pauseLeft = pauseLeft,
    });
    if (decision.mayWait)
        return;
    finishWithFailure(*exchange, { .reason = pauseLeft > Duration::zero() ? "targets_paused" : "overloaded" });
}

void Gateway::refuseUnsendable(PoolState& pool, SteadyTime now)
{
    if (pool.queue.requests.empty())
        return;
    if (!pool.targets.empty() && !hasUsableTarget(pool.targets)) {
        for (WaitTicket ticket : expiredRequests(pool.queue, SteadyTime::max()))
            finishWithFailure(*m_exchanges.at(ticket), { .reason = "no_target", .retryAfter = retryAfterNoTarget });
    } else if (std::optional<SteadyTime> until = poolPausedUntil(pool.targets, now)) {
        for (WaitTicket ticket : expiredRequests(pool.queue, *until))
            finishWithFailure(*m_exchanges.at(ticket), { .reason = "targets_paused" });
    }
}

void Gateway::refuseHeld(PoolState& pool)
{
    for (WaitTicket ticket : expiredRequests(pool.queue, SteadyTime::max())) {
        std::shared_ptr<Exchange> exchange = m_exchanges.at(ticket);
        if (!exchange->hasBegunAnswer())
            finishWithFailure(*exchange, { .reason = rolloutUnknown, .retryAfter = retryAfterRolloutUnknown });
    }
}

/// The time until the pool has room for a request of the rank.
Duration Gateway::timeToReturn(const PoolState& pool, int rank, SteadyTime now)
{
    return limpetpond::timeToReturn({
        .ahead = countAhead(pool.queue, rank),
        .sentPerSecond = pool.sendRate.perSecond,
        .pauseLeft = poolPausedUntil(pool.targets, now).value_or(now) - now,
        .random = std::uniform_real_distribution<>(0, 1)(m_random),
    });
}

void Gateway::finishWithFailure(Exchange& exchange, const RequestFailure& failure)
{
    auto self = exchange.shared_from_this();
    const RequestFacts& facts = exchange.facts();
    PoolState& pool = m_pools.pool(facts.pool);
    removeWaiting(pool.queue, exchange.ticket());
    if (exchange.hasBegunAnswer()) {
        m_metrics.failed.add();
        m_log.line("warning", "answer_cut", { { "request", facts.id }, { "reason", failure.reason }, { "sends", std::int64_t { exchange.sendCount() } } });
        exchange.caller().truncateAnswer();
        finish(exchange);
        return;
    }
    Refusal refusal { .reason = failure.reason };
    switch (failureAnswer({ .mayHaveRun = exchange.mayHaveRun(), .timedOut = failure.timedOut })) {
    case FailureAnswer::NotRun:
        refusal.status = 503;
        if (auto quota = m_quotas.find(ClientAccountId(facts.account)); quota != m_quotas.end())
            refund(quota->second, facts.quotaUnits);
        refusal.retryAfter = failure.retryAfter ? *failure.retryAfter : timeToReturn(pool, facts.rank, m_clock.steadyNow());
        (failure.isQuarantined ? m_metrics.refusedQuarantined : m_metrics.refusedOverload).add();
        break;
    case FailureAnswer::MayHaveRun:
        refusal.status = 502;
        m_metrics.failed.add();
        break;
    case FailureAnswer::TimedOut:
        refusal.status = 504;
        m_metrics.failed.add();
        break;
    }
    answerRefusal(exchange.caller(), exchange.request(), facts.id, refusal);
    finish(exchange);
}

} // namespace limpetpond
