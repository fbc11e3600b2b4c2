#include "gateway/Gateway.h"

#include "core/Guard.h"
#include "gateway/AnswerText.h"
#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>

namespace limpetpond {

using platform::Field;

namespace {

    constexpr Duration unknownDeadline = std::chrono::seconds(30); ///< Neither the caller nor the route states one.
    constexpr Duration retryAfterNoSettings = std::chrono::milliseconds(500);
    constexpr Duration retryAfterStopping = std::chrono::milliseconds(100); ///< Another instance takes the next connection.
    constexpr Duration retryAfterNoTarget = std::chrono::milliseconds(800);
    constexpr Duration leastQuotaRetryAfter = std::chrono::milliseconds(200);
    constexpr double tokensPerEvent = 5; ///< Only compares targets of one pool, where it cancels out.
    constexpr Duration firstTokenTime = std::chrono::milliseconds(40); ///< Besides the prompt: sending, admission, one step.
    constexpr Duration leastPatience = std::chrono::seconds(2);
    constexpr int goalsOfPatience = 4;
    constexpr int pausesOfPatience = 8;
    constexpr int mostUrgent = -1;
    constexpr std::size_t mostPassedBy = 6; ///< Requests looked at in the order of the line.
    constexpr double retrySpread = 0.5; ///< Callers turned away together return over this share more of the time.

    Duration fromMilliseconds(double value) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value)); }

    std::optional<double> numberOf(std::string_view text)
    {
        double number = 0;
        auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        if (parsed.ec != std::errc() || number < 0)
            return std::nullopt;
        return number;
    }

    std::string hostName(std::string_view host)
    {
        std::string name(host.substr(0, host.find(':')));
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return name;
    }

    struct TokenCounts {
        double prompt { 0 };
        double mostAnswer { 0 };
        bool isStated { false };
    };

    TokenCounts tokenCountsOf(const ReceivedRequest& request)
    {
        std::string_view value = fieldValue(request.fields, Field::TokenCounts);
        std::size_t comma = value.find(',');
        if (comma == std::string_view::npos)
            return {};
        std::optional<double> prompt = numberOf(value.substr(0, comma));
        std::optional<double> answer = numberOf(value.substr(comma + 1));
        if (!prompt || !answer)
            return {};
        return { .prompt = *prompt, .mostAnswer = *answer, .isStated = true };
    }

    SteadyTime deadlineOf(const ReceivedRequest& request, const RouteSettings& route, SteadyTime now)
    {
        std::optional<double> left = numberOf(fieldValue(request.fields, Field::TimeLeft));
        Duration time = left ? fromMilliseconds(std::min(*left, 1e8)) : unknownDeadline;
        if (route.timeout.count() > 0)
            time = std::min<Duration>(time, route.timeout);
        return now + time;
    }

} // namespace

Gateway::Gateway(boost::asio::io_context& context, const Clock& clock, const platform::BootSettings& boot, EventLog& log)
    : m_clock(clock)
    , m_boot(boot)
    , m_log(log)
    , m_pools(context, clock, { .hash = shortHash(boot.instance.value()), .failureDomain = boot.failureDomain }, { .ratio = boot.retryRatio, .slack = boot.retrySlack, .window = boot.retryWindow })
    , m_random(std::hash<std::string> {}(boot.instance.value()))
    , m_incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(clock.systemNow().time_since_epoch()).count()))
    , m_idleCheckedAt(clock.steadyNow())
{
}

bool Gateway::applySettings(ServingSettings settings)
{
    if (m_settings && settings.version <= m_settings->settings.version && !isGuardDisabled(GuardId::LowerVersionRefused))
        return false;
    m_settings = indexSettings(std::move(settings));
    m_metrics.settingsVersion.set(static_cast<std::int64_t>(m_settings->settings.version.value()));
    m_pools.applySettings(m_settings->settings.pools);
    SteadyTime now = m_clock.steadyNow();
    m_accountOfHash.clear();
    for (const AccountSettings& account : m_settings->settings.accounts) {
        setQuota(m_quotas[account.id], account.perSecond, account.burst, now);
        m_accountOfHash[shortHash(account.id.value())] = account.id;
    }
    return true;
}

void Gateway::targetsChanged()
{
    m_metrics.targets.set(static_cast<std::int64_t>(m_pools.targets()));
    for (auto& [id, pool] : m_pools.all())
        pump(pool);
}

void Gateway::takePeerNews(const InstanceNews& news)
{
    PeerView view { .failureDomain = news.failureDomain, .closedTargets = news.closedTargets };
    for (const InstanceNews::PoolDemand& demand : news.demands)
        view.demands[demand.pool] = demand.demand;
    for (const InstanceNews::TargetWork& target : news.targets)
        view.work[target.target] = target.inProgress;
    std::sort(view.closedTargets.begin(), view.closedTargets.end());
    m_pools.setPeer(news.instance, std::move(view));
    m_metrics.peers.set(m_pools.peers());
    SteadyTime now = m_clock.steadyNow();
    for (const InstanceNews::AccountUse& use : news.accounts) {
        auto account = m_accountOfHash.find(use.account);
        if (account != m_accountOfHash.end())
            peerAdmitted(m_quotas[account->second], news.instance, news.incarnation, use.admitted, now);
    }
    for (auto& [id, pool] : m_pools.all())
        pump(pool);
}

void Gateway::peerSilent(const InstanceId& peer)
{
    m_pools.removePeer(peer);
    m_metrics.peers.set(m_pools.peers());
}

InstanceNews Gateway::news() const
{
    SteadyTime now = m_clock.steadyNow();
    InstanceNews news {
        .instance = m_boot.instance,
        .failureDomain = m_boot.failureDomain,
        .incarnation = m_incarnation,
        .settingsVersion = m_settings ? m_settings->settings.version : SettingsVersion(),
        .isLeaving = m_isShuttingDown,
    };
    for (const auto& [id, pool] : m_pools.all()) {
        if (!pool.line.requests.empty())
            news.demands.push_back({ .pool = pool.hash, .demand = static_cast<int>(waitingDemand(pool)) });
        for (std::size_t i = 0; i < pool.targets.size(); ++i) {
            if (pool.targets[i].ownInProgress > 0)
                news.targets.push_back({ .target = pool.links[i].hash, .inProgress = pool.targets[i].ownInProgress });
            if (isClosed(pool.targets[i], now))
                news.closedTargets.push_back(pool.links[i].hash);
        }
    }
    for (const auto& [account, quota] : m_quotas) {
        if (quota.admittedHere > 0)
            news.accounts.push_back({ .account = shortHash(account.value()), .admitted = quota.admittedHere });
    }
    return news;
}

void Gateway::addConnection(const std::shared_ptr<HttpServerConnection>& connection)
{
    m_connections[connection.get()] = connection;
    connection->start();
}

void Gateway::stopTakingRequests()
{
    m_takesRequests = false;
    for (const std::shared_ptr<HttpServerConnection>& connection : openConnections())
        connection->closeIfIdle();
}

std::vector<std::shared_ptr<HttpServerConnection>> Gateway::openConnections() const
{
    std::vector<std::shared_ptr<HttpServerConnection>> open;
    for (const auto& [key, connection] : m_connections) {
        if (std::shared_ptr<HttpServerConnection> kept = connection.lock())
            open.push_back(std::move(kept));
    }
    return open;
}

bool Gateway::owesAnswers() const
{
    if (!m_exchanges.empty())
        return true;
    std::vector<std::shared_ptr<HttpServerConnection>> open = openConnections();
    return std::any_of(open.begin(), open.end(), [](const auto& connection) { return connection->unwrittenBytes() > 0; });
}

CallerLimits Gateway::callerLimits() const { return m_settings ? m_settings->settings.limits : CallerLimits {}; }

void Gateway::onRequest(const std::shared_ptr<HttpServerConnection>& caller, ReceivedRequest&& request)
{
    m_metrics.requests.add();
    RequestFacts facts;
    if (std::optional<Refusal> refusal = readFacts(request, facts)) {
        answerRefusal(*caller, request, facts.id, *refusal);
        return;
    }
    WaitTicket ticket = ++m_lastTicket;
    auto exchange = std::make_shared<Exchange>(*this, m_clock, ticket, caller, std::move(request), std::move(facts));
    m_exchanges[ticket] = exchange;
    m_exchangeOf[caller.get()] = ticket;
    admitOrRefuse(exchange);
}

std::optional<Gateway::Refusal> Gateway::readFacts(const ReceivedRequest& request, RequestFacts& facts)
{
    facts.id = fieldValue(request.fields, Field::RequestId);
    if (!m_takesRequests)
        return Refusal { .reason = "stopping", .retryAfter = retryAfterStopping };
    if (!m_settings)
        return Refusal { .reason = "no_settings_yet", .retryAfter = retryAfterNoSettings };
    if (facts.id.empty())
        return Refusal { .status = 400, .reason = "no_request_id" };
    facts.settings = m_settings;
    facts.route = findRoute(*m_settings, hostName(fieldValue(request.fields, Field::Host)), request.path);
    if (!facts.route)
        return Refusal { .status = 404, .reason = "no_route" };
    facts.arrivedAt = m_clock.steadyNow();
    facts.deadline = deadlineOf(request, *facts.route, facts.arrivedAt);
    facts.rank = facts.route->rank * ranksInLevel + facts.route->rank;
    TokenCounts tokens = tokenCountsOf(request);
    facts.promptTokens = tokens.prompt;
    facts.expectedAnswerTokens = std::min(numberOf(fieldValue(request.fields, Field::AnswerTokensHint)).value_or(tokens.mostAnswer), tokens.mostAnswer);
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
        facts.rank = *account->rank * ranksInLevel + facts.route->rank;
    facts.quotaUnits = 1;
    if (account->countsTokens) {
        TokenCounts tokens = tokenCountsOf(request);
        facts.quotaUnits = tokens.isStated ? tokens.prompt + tokens.mostAnswer : account->defaultTokens;
    }
    AccountQuota& quota = m_quotas[account->id];
    if (admit(quota, { .units = facts.quotaUnits, .rank = facts.route->rank }, facts.arrivedAt))
        return std::nullopt;
    Duration retryAfter = std::max(timeUntil(quota, facts.quotaUnits, facts.arrivedAt), leastQuotaRetryAfter);
    m_metrics.refusedQuota.add();
    m_log.line("info", "quota_exceeded",
        { { "request", facts.id }, { "account", facts.account }, { "units", facts.quotaUnits }, { "left", quota.left }, { "per_second", quota.perSecond },
            { "burst", quota.burst }, { "admitted_here", quota.admittedHere } });
    return Refusal { .status = 429, .reason = "over_quota", .retryAfter = retryAfter };
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
    caller.write(ownAnswerText({ .status = refusal.status, .reason = refusal.reason, .requestId = requestId, .retryAfter = retryAfter, .keepAlive = keepAlive }));
    caller.finishAnswer(keepAlive);
}

WaitingRequest Gateway::waitingRequest(const Exchange& exchange) const
{
    const RequestFacts& facts = exchange.facts();
    const RouteSettings& route = *facts.route;
    SteadyTime now = m_clock.steadyNow();
    if (exchange.hasBegunAnswer())
        return { .ticket = exchange.ticket(), .rank = mostUrgent, .arrivedAt = now, .goalAt = now + route.longestPause, .giveUpAt = std::min(facts.deadline, now + leastPatience) };
    Duration firstAnswer = exchange.isStreaming() ? firstTokenTime + fromMilliseconds(facts.promptTokens / usualPromptTokensPerMillisecond) : Duration(firstTokenTime);
    Duration goal = route.goal.count() > 0 ? Duration(route.goal) : facts.deadline - facts.arrivedAt;
    Duration patience = facts.deadline - facts.arrivedAt;
    if (exchange.isStreaming())
        patience = std::min(patience, std::max({ leastPatience, goalsOfPatience * goal, pausesOfPatience * Duration(route.longestPause) }));
    return {
        .ticket = exchange.ticket(),
        .rank = facts.rank,
        .arrivedAt = facts.arrivedAt,
        .goalAt = facts.arrivedAt + goal - firstAnswer,
        .giveUpAt = facts.arrivedAt + patience - firstAnswer,
    };
}

void Gateway::admitOrRefuse(const std::shared_ptr<Exchange>& exchange)
{
    const RequestFacts& facts = exchange->facts();
    SteadyTime now = m_clock.steadyNow();
    PoolState& pool = m_pools.pool(facts.pool);
    noteRequest(pool.resends, now);
    if (!hasUsableTarget(pool.targets)) {
        finishWithFailure(*exchange, false, "no_target");
        return;
    }
    WaitingRequest waiting = waitingRequest(*exchange);
    if (pool.line.requests.empty())
        beginCounting(pool.sendRate, now);
    enqueue(pool.line, waiting);
    pump(pool);
    if (!pool.line.requests.contains(exchange->ticket()))
        return;
    AdmissionDecision decision = decideAdmission({
        .before = countBefore(pool.line, facts.rank) - 1,
        .sentPerSecond = pool.sendRate.perSecond,
        .patience = waiting.giveUpAt - now,
    });
    if (decision.mayWait)
        return;
    finishWithFailure(*exchange, false, "overloaded");
}

PlacementCase Gateway::placementCase(const PoolState& pool, const Exchange& exchange, bool avoidsTried, SteadyTime now) const
{
    const RequestFacts& facts = exchange.facts();
    return {
        .ownFailureDomain = m_boot.failureDomain,
        .promptTokens = facts.promptTokens,
        .work = exchange.isStreaming() ? std::max(facts.expectedAnswerTokens / tokensPerEvent, 1.0) : 1.0,
        .timeLeft = facts.deadline - now,
        .roomForEachSlot = roomForEachSlot(fromMilliseconds(pool.serviceMilliseconds), m_newsInterval),
        .trustInNews = trustInNews(fromMilliseconds(pool.serviceMilliseconds), m_newsInterval),
        .avoid = avoidsTried ? &const_cast<Exchange&>(exchange).triedTargets() : nullptr,
    };
}

std::optional<std::size_t> Gateway::placeFor(const PoolState& pool, Exchange& exchange, SteadyTime now) const
{
    std::optional<std::size_t> place = choosePlace(pool.targets, placementCase(pool, exchange, true, now), now);
    if (!place && !exchange.triedTargets().empty())
        place = choosePlace(pool.targets, placementCase(pool, exchange, false, now), now);
    return place;
}

void Gateway::pump(PoolState& pool)
{
    SteadyTime now = m_clock.steadyNow();
    while (!pool.line.requests.empty()) {
        bool sentAny = false;
        // A request that waits for a fast target doesn't hold up the few behind it that others would do for.
        for (WaitTicket ticket : firstWaiting(pool.line, mostPassedBy, now)) {
            std::shared_ptr<Exchange> exchange = m_exchanges.at(ticket);
            std::optional<std::size_t> place = placeFor(pool, *exchange, now);
            if (!place)
                continue;
            removeWaiting(pool.line, ticket);
            if (!pool.line.requests.empty())
                noteSent(pool.sendRate, now);
            sendTo(pool, *place, *exchange, now);
            sentAny = true;
            break;
        }
        if (!sentAny)
            return;
    }
}

void Gateway::sendTo(PoolState& pool, std::size_t place, Exchange& exchange, SteadyTime now)
{
    const RequestFacts& facts = exchange.facts();
    std::int64_t left = std::chrono::duration_cast<Milliseconds>(facts.deadline - now).count();
    if (left <= 0) {
        finishWithFailure(exchange, true, "deadline");
        return;
    }
    TargetState& target = pool.targets[place];
    ++target.ownInProgress;
    target.ownPromptTokens += facts.promptTokens;
    target.trialInProgress = target.failuresInRow > 0;
    std::optional<std::uint64_t> resumeAfter;
    if (exchange.hasBegunAnswer())
        resumeAfter = exchange.resumePoint();
    std::string bytes = targetRequestText(exchange.request(),
        { .target = target.entry.id.value(), .account = facts.account, .millisecondsLeft = left, .resumeAfter = resumeAfter });
    m_metrics.sends.add();
    if (exchange.targetsSent() == 0)
        m_metrics.waitSeconds.record(std::chrono::duration<double>(now - facts.arrivedAt).count());
    m_log.line("info", "request_sent",
        { { "request", facts.id }, { "route", facts.route->name }, { "target", target.entry.id.value() }, { "rank", std::int64_t { facts.rank } },
            { "waited_ms", std::chrono::duration<double, std::milli>(now - facts.arrivedAt).count() }, { "left_ms", left },
            { "send", std::int64_t { exchange.targetsSent() + 1 } }, { "own_in_progress", std::int64_t { target.ownInProgress } },
            { "peers_in_progress", std::int64_t { target.peersInProgress } }, { "settings", static_cast<std::int64_t>(facts.settings->settings.version.value()) } });
    TargetId id = target.entry.id;
    exchange.send(m_pools.takeConnection(pool, place, now), id, std::move(bytes));
}

void Gateway::onCallerDisconnected(HttpServerConnection& caller)
{
    auto found = m_exchangeOf.find(&caller);
    if (found == m_exchangeOf.end())
        return;
    std::shared_ptr<Exchange> exchange = m_exchanges.at(found->second);
    m_metrics.callersGone.add();
    m_log.line("info", "caller_gone", { { "request", exchange->facts().id }, { "sends", std::int64_t { exchange->targetsSent() } } });
    PoolState& pool = m_pools.pool(exchange->facts().pool);
    removeWaiting(pool.line, exchange->ticket());
    if (exchange->attempt()) {
        if (isGuardDisabled(GuardId::CallerGoneEndsWork))
            return;
        exchange->abandonAttempt();
        releaseAttempt(*exchange, std::nullopt);
    }
    finish(*exchange);
    pump(pool);
}

void Gateway::onWriteBufferEmpty(HttpServerConnection& caller)
{
    auto found = m_exchangeOf.find(&caller);
    if (found != m_exchangeOf.end())
        m_exchanges.at(found->second)->resumeReading();
}

void Gateway::onConnectionClosed(HttpServerConnection& caller) { m_connections.erase(&caller); }

void Gateway::finish(Exchange& exchange)
{
    m_exchangeOf.erase(&exchange.caller());
    m_exchanges.erase(exchange.ticket());
}

void Gateway::finishWithFailure(Exchange& exchange, bool timedOut, std::string_view reason)
{
    auto self = exchange.shared_from_this();
    const RequestFacts& facts = exchange.facts();
    PoolState& pool = m_pools.pool(facts.pool);
    removeWaiting(pool.line, exchange.ticket());
    if (exchange.hasBegunAnswer()) {
        m_metrics.failed.add();
        m_log.line("warning", "answer_cut", { { "request", facts.id }, { "reason", reason }, { "sends", std::int64_t { exchange.targetsSent() } } });
        exchange.caller().truncateAnswer();
        finish(exchange);
        return;
    }
    Refusal refusal { .reason = reason };
    switch (failureAnswer({ .mayHaveRun = exchange.mayHaveRun(), .timedOut = timedOut })) {
    case FailureAnswer::NotRun: {
        refusal.status = 503;
        if (auto quota = m_quotas.find(ClientAccountId(facts.account)); quota != m_quotas.end())
            giveBack(quota->second, facts.quotaUnits);
        double wait = pool.sendRate.perSecond > 0 ? 1000 * static_cast<double>(countBefore(pool.line, facts.rank)) / pool.sendRate.perSecond : 0;
        double spread = 1 + retrySpread * std::uniform_real_distribution<>(0, 1)(m_random);
        refusal.retryAfter = fromMilliseconds(std::clamp(wait * spread, 250.0, 5000.0));
        if (reason == "no_target")
            refusal.retryAfter = retryAfterNoTarget;
        m_metrics.refusedOverload.add();
        break;
    }
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
