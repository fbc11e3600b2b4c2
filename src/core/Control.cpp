#include "core/Control.h"

#include "core/Guard.h"
#include "core/Invariant.h"
#include <algorithm>

namespace limpetpond {

using detail::ActiveRequest;
using detail::RequestPhase;

namespace {

    constexpr std::chrono::seconds defaultRetryAfter { 1 };
    constexpr Duration alarmLifetime = std::chrono::minutes(1);

    bool needsClaim(const RequestArrived& arrival)
    {
        return !arrival.idempotent && !isGuardDisabled(GuardId::KeyedCallIsClaimed);
    }

    QueuedRequest toQueuedRequest(const ActiveRequest& active)
    {
        QueuedRequest queued;
        queued.request = active.arrival.request;
        queued.account = active.arrival.account;
        queued.tier = active.arrival.tier;
        queued.promptTokens = active.arrival.promptTokens;
        queued.answerTokens = active.arrival.answerTokens;
        queued.prefixBlocks = active.arrival.prefixBlocks;
        queued.deadline = active.arrival.deadline;
        queued.arrivedAt = active.arrivedAt;
        queued.dispatchesSoFar = active.dispatches;
        queued.cancellable = active.arrival.idempotent;
        if (active.dispatches)
            queued.excludedTarget = active.target;
        return queued;
    }

} // namespace

Control::Control(ControlOptions options, SteadyTime now)
    : m_options(std::move(options))
    , m_lastBroadcastAt(now)
{
    m_replica.self = m_options.instance;
    m_replica.startedAt = now;
    m_drains = makeDrainTracker(m_options.instance, now);
    m_membership = makeMembership({ .self = m_options.instance, .incarnation = m_options.incarnation, .seed = m_options.seed }, now);
}

void Control::handle(const ControlEvent& event, SteadyTime now, ControlActions& out)
{
    const std::size_t firstNewAction = out.size();
    std::visit([&](const auto& typed) { onEvent(typed, now, out); }, event);
    schedule(now, out);
    recordAlarms(firstNewAction, now, out);
}

bool Control::isReady(SteadyTime now) const
{
    return !m_isShuttingDown && m_replica.settings && mayDispatch(m_replica, now);
}

// ---- Requests ----

std::optional<Reason> Control::refusalReason(const RequestArrived& arrival, SteadyTime now) const
{
    if (m_isShuttingDown)
        return Reason::ShuttingDown;
    if (!m_replica.settings)
        return Reason::NotReady;
    if (!m_replica.settings->pools.contains(arrival.pool))
        return Reason::NoTarget;
    if (!mayDispatch(m_replica, now) && m_staleSince && now - *m_staleSince > m_options.staleGrace)
        return Reason::ViewStale;
    return std::nullopt;
}

void Control::refuse(const RequestArrived& arrival, Reason reason, SteadyTime now, ControlActions& out)
{
    if (!needsClaim(arrival)) {
        out.push_back(FinalAnswer { .request = arrival.request, .outcome = Outcome::NotRun, .reason = reason, .retryAfter = defaultRetryAfter });
        return;
    }
    // An earlier attempt with this key may run elsewhere, so the key is closed before the caller gets "not run".
    ActiveRequest active { .arrival = arrival, .phase = RequestPhase::Claiming, .arrivedAt = now };
    active.attempt = nextAttempt();
    active.claim = startClosingClaim(arrival, active.attempt, m_options.instance, reason, defaultRetryAfter, m_options.claims, now, out);
    m_openClaims.insert(arrival.request);
    m_requests.emplace(arrival.request, std::move(active));
}

void Control::onEvent(const RequestArrived& arrival, SteadyTime now, ControlActions& out)
{
    if (const std::optional<Reason> reason = refusalReason(arrival, now)) {
        refuse(arrival, *reason, now, out);
        return;
    }
    ActiveRequest active { .arrival = arrival, .arrivedAt = now };
    if (needsClaim(arrival)) {
        active.phase = RequestPhase::Claiming;
        active.attempt = nextAttempt();
        active.claim = startClaim(arrival, active.attempt, m_options.instance, m_options.claims, now, out);
        m_openClaims.insert(arrival.request);
        m_requests.emplace(arrival.request, std::move(active));
        return;
    }
    ActiveRequest& stored = m_requests.emplace(arrival.request, std::move(active)).first->second;
    queue(stored, now);
}

AttemptId Control::nextAttempt()
{
    const std::string start = m_options.instance.value() + "-" + std::to_string(m_options.incarnation.value());
    return AttemptId(start + "-" + std::to_string(++m_attemptsMade));
}

void Control::queue(ActiveRequest& active, SteadyTime now)
{
    active.phase = RequestPhase::Waiting;
    enqueue(m_schedulers.at(active.arrival.pool), toQueuedRequest(active), now);
}

void Control::onEvent(const AnswerStarted& started, SteadyTime now, ControlActions&)
{
    const auto found = m_requests.find(started.request);
    if (found == m_requests.end() || found->second.attempt != started.attempt)
        return;
    found->second.mayHaveRun = true;
    answerStarted(m_schedulers.at(found->second.arrival.pool), started.request, started.cachedPromptTokens, now);
}

void Control::onEvent(const DispatchEnded& ended, SteadyTime now, ControlActions& out)
{
    const auto found = m_requests.find(ended.request);
    if (found == m_requests.end() || found->second.attempt != ended.attempt || found->second.phase != RequestPhase::Dispatched)
        return;
    ActiveRequest& active = found->second;
    if (ended.end != DispatchEnd::NotStarted)
        active.mayHaveRun = true;
    dispatchEnded(m_schedulers.at(active.arrival.pool), ended.request, ended.end, ended.answerTokens, now);
    if (active.claim)
        endClaimedDispatch(active, ended, now, out);
    else
        endIdempotentDispatch(active, ended, now, out);
    forgetIfEnded(ended.request);
}

void Control::endClaimedDispatch(ActiveRequest& active, const DispatchEnded& ended, SteadyTime now, ControlActions& out)
{
    active.phase = RequestPhase::Recording;
    applyClaimVerdict(active, handleClaimDispatchEnded(*active.claim, ended, m_options.claims, now, out), now, out);
}

void Control::endIdempotentDispatch(ActiveRequest& active, const DispatchEnded& ended, SteadyTime now, ControlActions& out)
{
    if (active.callerDisconnected) {
        answer(active, ended.end == DispatchEnd::Completed ? Outcome::Completed : Outcome::Unknown, Reason::CallerDisconnected, std::nullopt, out);
        return;
    }
    switch (ended.end) {
    case DispatchEnd::Completed:
    case DispatchEnd::TargetError:
        answer(active, Outcome::Completed, Reason::None, std::nullopt, out);
        return;
    case DispatchEnd::NotStarted:
        retryOrGiveUp(active, now, out);
        return;
    case DispatchEnd::Cancelled:
        answer(active, Outcome::Unknown, active.cancelReason.value_or(Reason::AnswerLost), active.retryAfter, out);
        return;
    case DispatchEnd::Lost:
        if (isGuardDisabled(GuardId::SecondDispatchOnlyIfNotStarted)) {
            retryOrGiveUp(active, now, out);
            return;
        }
        answer(active, Outcome::Unknown, active.cancelReason.value_or(Reason::AnswerLost), active.retryAfter, out);
        return;
    }
}

void Control::retryOrGiveUp(ActiveRequest& active, SteadyTime now, ControlActions& out)
{
    PoolScheduler& pool = m_schedulers.at(active.arrival.pool);
    if (m_isShuttingDown) {
        giveUp(active, Reason::ShuttingDown, defaultRetryAfter, now, out);
        return;
    }
    if (active.cancelReason) {
        giveUp(active, *active.cancelReason, active.retryAfter, now, out);
        return;
    }
    if (active.dispatches < pool.settings.maxDispatches && acquireRetry(pool, now)) {
        queue(active, now);
        return;
    }
    giveUp(active, Reason::TargetFailed, defaultRetryAfter, now, out);
}

void Control::onEvent(const CallerDisconnected& disconnected, SteadyTime now, ControlActions& out)
{
    const auto found = m_requests.find(disconnected.request);
    if (found == m_requests.end() || found->second.callerDisconnected)
        return;
    ActiveRequest& active = found->second;
    active.callerDisconnected = true;
    // A claimed call runs to its end, so that a repeated call with its key gets the stored answer.
    if (active.claim)
        return;
    if (active.phase == RequestPhase::Dispatched) {
        out.push_back(CancelDispatch { disconnected.request, active.attempt, active.target });
        return;
    }
    removeWaiting(m_schedulers.at(active.arrival.pool), disconnected.request);
    giveUp(active, Reason::CallerDisconnected, std::nullopt, now, out);
    forgetIfEnded(disconnected.request);
}

void Control::onEvent(const ClaimAnswered& answered, SteadyTime now, ControlActions& out)
{
    const auto found = m_requests.find(answered.request);
    if (found == m_requests.end() || !found->second.claim)
        return;
    ActiveRequest& active = found->second;
    applyClaimVerdict(active, handleClaimAnswered(*active.claim, answered, m_options.claims, now, out), now, out);
    forgetIfEnded(answered.request);
}

void Control::applyClaimVerdict(ActiveRequest& active, ClaimVerdict verdict, SteadyTime now, ControlActions& out)
{
    if (verdict == ClaimVerdict::Answered)
        active.isAnswered = true;
    if (verdict != ClaimVerdict::MayDispatch)
        return;
    if (const std::optional<Reason> reason = refusalReason(active.arrival, now)) {
        giveUp(active, *reason, defaultRetryAfter, now, out);
        return;
    }
    if (active.dispatches >= m_schedulers.at(active.arrival.pool).settings.maxDispatches) {
        giveUp(active, Reason::TargetFailed, defaultRetryAfter, now, out);
        return;
    }
    queue(active, now);
}

void Control::giveUp(ActiveRequest& active, Reason reason, std::optional<std::chrono::seconds> retryAfter, SteadyTime now, ControlActions& out)
{
    if (active.claim) {
        active.phase = RequestPhase::Claiming;
        applyClaimVerdict(active, giveUpClaim(*active.claim, reason, retryAfter, m_options.claims, now, out), now, out);
        return;
    }
    answer(active, active.mayHaveRun ? Outcome::Unknown : Outcome::NotRun, reason, retryAfter, out);
}

void Control::giveUpWaiting(Reason reason, std::chrono::seconds retryAfter, SteadyTime now, ControlActions& out)
{
    std::vector<RequestId> waiting;
    for (const auto& [request, active] : m_requests) {
        if (active.phase == RequestPhase::Waiting || (active.phase == RequestPhase::Claiming && active.claim && !active.claim->isGivenUp))
            waiting.push_back(request);
    }
    for (const RequestId& request : waiting) {
        ActiveRequest& active = m_requests.at(request);
        if (active.phase == RequestPhase::Waiting)
            removeWaiting(m_schedulers.at(active.arrival.pool), request);
        giveUp(active, reason, retryAfter, now, out);
        forgetIfEnded(request);
    }
}

void Control::answer(ActiveRequest& active, Outcome outcome, Reason reason, std::optional<std::chrono::seconds> retryAfter, ControlActions& out)
{
    checkInvariant(!active.isAnswered, InvariantId::OneFinalAnswer);
    checkInvariant(outcome != Outcome::NotRun || !active.mayHaveRun, InvariantId::NotRunNeverRan);
    active.isAnswered = true;
    out.push_back(FinalAnswer { .request = active.arrival.request, .outcome = outcome, .reason = reason, .retryAfter = retryAfter });
}

void Control::forgetIfEnded(const RequestId& request)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end())
        return;
    const ActiveRequest& active = found->second;
    const bool isEnded = active.claim ? isClaimEnded(*active.claim) : active.isAnswered;
    if (!isEnded)
        return;
    m_openClaims.erase(request);
    m_requests.erase(found);
}

// ---- Scheduling ----

void Control::schedule(SteadyTime now, ControlActions& out)
{
    if (!m_replica.settings)
        return;
    if (pauseOnStaleView(now, out))
        return;
    for (auto& [id, pool] : m_schedulers)
        schedulePool(pool, now, out);
    if (floorsChanged() && now - m_lastBroadcastAt >= m_options.urgentHeartbeatGap)
        sendHeartbeats(now, out);
}

bool Control::pauseOnStaleView(SteadyTime now, ControlActions& out)
{
    if (mayDispatch(m_replica, now)) {
        m_staleSince.reset();
        return false;
    }
    if (!m_staleSince)
        m_staleSince = now;
    if (now - *m_staleSince > m_options.staleGrace)
        giveUpWaiting(Reason::ViewStale, defaultRetryAfter, now, out);
    return true;
}

void Control::schedulePool(PoolScheduler& pool, SteadyTime now, ControlActions& out)
{
    std::vector<SchedulerDecision> decisions;
    decide(pool, now, decisions);
    for (const SchedulerDecision& decision : decisions)
        std::visit([&](const auto& typed) { carryOut(pool, typed, now, out); }, decision);
}

void Control::carryOut(PoolScheduler& pool, const DispatchDecision& decision, SteadyTime now, ControlActions& out)
{
    ActiveRequest& active = m_requests.at(decision.request);
    if (active.claim && !mayDispatchClaim(*active.claim, m_options.claims, now)) {
        dispatchEnded(pool, decision.request, DispatchEnd::NotStarted, TokenCount(), now);
        giveUp(active, Reason::DeadlineExceeded, defaultRetryAfter, now, out);
        forgetIfEnded(decision.request);
        return;
    }
    const TargetSettings& target = m_replica.settings->targets.at(decision.target);
    checkInvariant(target.mark != TargetMark::Leaving, InvariantId::NoDispatchToLeavingTarget);
    checkInvariant(active.phase == RequestPhase::Waiting && !active.mayHaveRun, InvariantId::DispatchAtMostOnce);
    checkInvariant(confirmedUntil(m_replica) && now <= *confirmedUntil(m_replica), InvariantId::DispatchOnFreshView);
    checkInvariant(active.arrival.idempotent || active.claim, InvariantId::ClaimedRunsOnce);

    SteadyTime notAfter = *confirmedUntil(m_replica);
    if (active.claim) {
        // After this time the row may have expired and another attempt may own the key.
        checkInvariant(now < claimDispatchBefore(*active.claim, m_options.claims), InvariantId::ClaimedRunsOnce);
        notAfter = std::min(notAfter, claimDispatchBefore(*active.claim, m_options.claims));
        markClaimDispatched(*active.claim);
    } else {
        active.attempt = nextAttempt();
    }
    active.phase = RequestPhase::Dispatched;
    active.target = decision.target;
    ++active.dispatches;
    out.push_back(Dispatch { decision.request, active.attempt, decision.target, notAfter });
}

void Control::carryOut(PoolScheduler&, const ShedDecision& decision, SteadyTime now, ControlActions& out)
{
    ActiveRequest& active = m_requests.at(decision.request);
    giveUp(active, decision.reason, decision.retryAfter, now, out);
    forgetIfEnded(decision.request);
}

void Control::carryOut(PoolScheduler&, const CancelDecision& decision, SteadyTime, ControlActions& out)
{
    ActiveRequest& active = m_requests.at(decision.request);
    active.cancelReason = Reason::Overloaded;
    active.retryAfter = decision.retryAfter;
    out.push_back(CancelDispatch { decision.request, active.attempt, decision.target });
}

// ---- Targets ----

void Control::onEvent(const TargetReported& report, SteadyTime now, ControlActions&)
{
    recordTargetReport(m_drains, report);
    for (auto& [id, pool] : m_schedulers) {
        if (pool.targetIndex.contains(report.target))
            targetReported(pool, report, now);
    }
}

void Control::onEvent(const CacheChanged& change, SteadyTime, ControlActions&)
{
    for (auto& [id, pool] : m_schedulers) {
        if (pool.targetIndex.contains(change.target))
            cacheChanged(pool, change);
    }
}

// ---- Settings ----

void Control::onEvent(const SettingsHeadRead& read, SteadyTime now, ControlActions& out)
{
    std::ranges::move(handleHeadRead(m_replica, read, now), std::back_inserter(out));
}

void Control::onEvent(const SettingsArrived& arrived, SteadyTime now, ControlActions& out)
{
    std::ranges::move(handleSettingsArrived(m_replica, arrived, now), std::back_inserter(out));
    applyNewSettings(now);
}

void Control::applyNewSettings(SteadyTime now)
{
    if (!m_replica.settings || m_replica.settings->version == m_appliedVersion)
        return;
    checkInvariant(m_replica.settings->version > m_appliedVersion, InvariantId::SettingsNeverGoBack);
    m_appliedVersion = m_replica.settings->version;
    for (const auto& [id, pool] : m_replica.settings->pools) {
        if (m_schedulers.contains(id))
            continue;
        PoolScheduler& created = m_schedulers.emplace(id, makePoolScheduler(id, m_options.instance, m_options.seed)).first->second;
        for (const auto& [peer, incarnation] : m_schedulerPeers)
            peerListed(created, peer);
    }
    for (auto& [id, pool] : m_schedulers)
        applySettings(pool, *m_replica.settings, now);
    for (const auto& [id, pool] : m_replica.settings->pools) {
        const auto commands = m_poolCommands.try_emplace(id, makePoolCommands(id, m_options.instance, now)).first;
        applySettings(commands->second, *m_replica.settings, now);
    }
}

void Control::onEvent(const MarkAnswered& answered, SteadyTime, ControlActions&)
{
    handleMarkAnswered(m_cleaning, answered);
}

// ---- Engine commands ----

void Control::onEvent(const EngineCommandAnswered& answered, SteadyTime now, ControlActions&)
{
    for (auto& [id, commands] : m_poolCommands) {
        if (commands.engines.contains(answered.target))
            handleCommandAnswered(commands, answered, now);
    }
}

void Control::onEvent(const LeaseAnswered& answered, SteadyTime now, ControlActions&)
{
    for (auto& [id, commands] : m_poolCommands) {
        if (commands.lease.id == answered.lease)
            handlePoolLeaseAnswered(commands, answered, now);
    }
}

// ---- Other instances ----

void Control::onEvent(const HeartbeatReceived& received, SteadyTime now, ControlActions& out)
{
    applyHeartbeat(m_membership, received.heartbeat, now);
    std::ranges::move(handleHeartbeatReceived(m_replica, received, now), std::back_inserter(out));
    applyPeerUpdates(received.heartbeat, std::nullopt, now);
    // Schedules first, so that the answer includes floors raised by this heartbeat.
    schedule(now, out);
    out.push_back(AnswerHeartbeat { received.heartbeat.instance, makeHeartbeat(now) });
}

void Control::onEvent(const HeartbeatAnswered& answered, SteadyTime now, ControlActions& out)
{
    applyHeartbeatAnswer(m_membership, answered.heartbeat, answered.sentAt, now);
    std::ranges::move(handleHeartbeatAnswered(m_replica, answered, now), std::back_inserter(out));
    applyPeerUpdates(answered.heartbeat, answered.sentAt, now);
}

void Control::onEvent(const HeartbeatLost& lost, SteadyTime, ControlActions&)
{
    handleHeartbeatLost(m_membership, lost);
    handleHeartbeatLost(m_replica, lost);
}

void Control::onEvent(const InstanceListRead& list, SteadyTime now, ControlActions&)
{
    handleInstanceListRead(m_membership, list, now);
    handleInstanceListRead(m_replica, list, now);
    handleInstanceListRead(m_drains, list, now);
    applyMembership(now);
}

void Control::applyPeerUpdates(const Heartbeat& heartbeat, std::optional<SteadyTime> answersSentAt, SteadyTime now)
{
    detail::LatestHeartbeat& latest = m_latestHeartbeats[heartbeat.instance];
    const detail::LatestHeartbeat received { heartbeat.incarnation, heartbeat.sequence };
    if (std::tie(received.incarnation, received.sequence) <= std::tie(latest.incarnation, latest.sequence))
        return;
    latest = received;
    recordWork(m_drains, heartbeat, now);
    applyMembership(now);
    for (const PoolUpdate& update : heartbeat.pools) {
        const auto pool = m_schedulers.find(update.pool);
        if (pool != m_schedulers.end())
            peerUpdateReceived(pool->second, heartbeat.instance, update, heartbeat.targets, answersSentAt, now);
    }
}

void Control::applyMembership(SteadyTime now)
{
    const SiteSettings site = m_replica.settings ? m_replica.settings->site : SiteSettings {};
    updateMembership(m_membership, site, now);
    for (const auto& [id, member] : m_membership.members) {
        recordMemberState(m_drains, id, member.state);
        if (member.state == MemberState::Departed) {
            if (m_schedulerPeers.erase(id)) {
                for (auto& [poolId, pool] : m_schedulers)
                    peerDeparted(pool, id);
            }
            continue;
        }
        const auto known = m_schedulerPeers.find(id);
        if (known != m_schedulerPeers.end() && known->second == member.incarnation)
            continue;
        m_schedulerPeers[id] = member.incarnation;
        for (auto& [poolId, pool] : m_schedulers)
            peerListed(pool, id);
    }
    std::erase_if(m_schedulerPeers, [this](const auto& entry) {
        if (m_membership.members.contains(entry.first))
            return false;
        for (auto& [poolId, pool] : m_schedulers)
            peerDeparted(pool, entry.first);
        return true;
    });
}

std::vector<TargetUpdate> Control::allTargetUpdates() const
{
    std::vector<TargetUpdate> all;
    for (const auto& [id, pool] : m_schedulers) {
        for (TargetUpdate& update : makeTargetUpdates(pool)) {
            if (update.requestsInProgress || !update.leavingMarkVersion.isNone())
                all.push_back(std::move(update));
        }
    }
    return all;
}

Heartbeat Control::makeHeartbeat(SteadyTime now)
{
    Heartbeat heartbeat;
    fillHeartbeat(m_membership, heartbeat);
    heartbeat.settingsVersion = versionToReport(m_replica);
    heartbeat.storeConfirmedAge = storeConfirmedAge(m_replica, now);
    heartbeat.leaving = m_isShuttingDown;
    for (const auto& [id, pool] : m_schedulers)
        heartbeat.pools.push_back(makePoolUpdate(pool));
    heartbeat.targets = allTargetUpdates();
    return heartbeat;
}

bool Control::floorsChanged()
{
    bool changed = false;
    for (const auto& [id, pool] : m_schedulers) {
        const PoolUpdate update = makePoolUpdate(pool);
        changed |= m_lastFloors[id] != std::pair(update.floor, update.wantedFloor);
    }
    return changed;
}

bool Control::wantsFloor() const
{
    return std::ranges::any_of(m_schedulers, [](const auto& entry) { return makePoolUpdate(entry.second).wantedFloor > TierLevel {}; });
}

void Control::sendHeartbeats(SteadyTime now, ControlActions& out)
{
    m_lastBroadcastAt = now;
    for (const auto& [id, pool] : m_schedulers) {
        const PoolUpdate update = makePoolUpdate(pool);
        m_lastFloors[id] = { update.floor, update.wantedFloor };
    }
    for (const auto& [id, member] : m_membership.members) {
        if (member.state == MemberState::Departed)
            continue;
        Heartbeat heartbeat = makeHeartbeat(now);
        countSent(m_membership, heartbeat);
        out.push_back(SendHeartbeat { id, std::move(heartbeat) });
    }
}

// ---- Time ----

void Control::onEvent(const Tick& tick, SteadyTime now, ControlActions& out)
{
    std::ranges::move(limpetpond::tick(m_replica, now), std::back_inserter(out));
    applyMembership(now);
    const SiteSettings site = m_replica.settings ? m_replica.settings->site : SiteSettings {};
    for (const InstanceId& peer : chooseProbes(m_membership, site, now)) {
        Heartbeat heartbeat = makeHeartbeat(now);
        countSent(m_membership, heartbeat);
        out.push_back(SendHeartbeat { peer, std::move(heartbeat) });
    }
    if (wantsFloor() && now - m_lastBroadcastAt >= m_options.floorHeartbeatPeriod)
        sendHeartbeats(now, out);
    const std::vector<RequestId> open(m_openClaims.begin(), m_openClaims.end());
    for (const RequestId& request : open) {
        ActiveRequest& active = m_requests.at(request);
        const std::optional<SteadyTime> due = nextClaimTick(*active.claim);
        if (!due || *due > now)
            continue;
        applyClaimVerdict(active, tickClaim(*active.claim, m_options.claims, now, out), now, out);
        forgetIfEnded(request);
    }
    advanceTargets(tick, now, out);
}

std::set<TargetId> Control::emptyTargets(SteadyTime now) const
{
    std::set<TargetId> empty;
    for (const auto& [id, target] : m_replica.settings->targets) {
        if (target.mark != TargetMark::Leaving)
            continue;
        if (drainStatus(m_drains, *m_replica.settings, id, now).state == DrainState::Empty)
            empty.insert(id);
    }
    return empty;
}

std::size_t Control::rankAmongLive() const
{
    const std::vector<InstanceId> live = liveMembers(m_membership);
    return static_cast<std::size_t>(std::ranges::count_if(live, [this](const InstanceId& id) { return id < m_options.instance; }));
}

void Control::advanceTargets(const Tick& tick, SteadyTime now, ControlActions& out)
{
    if (!m_replica.settings)
        return;
    recordOwnWork(m_drains, m_options.incarnation, allTargetUpdates(), now);
    updateDrains(m_drains, *m_replica.settings, now);
    CleaningInput input { .systemNow = tick.systemNow, .steadyNow = now };
    input.emptyTargets = emptyTargets(now);
    input.proposerRank = rankAmongLive();
    std::ranges::move(advanceCleaning(m_cleaning, *m_replica.settings, input), std::back_inserter(out));
    for (auto& [id, commands] : m_poolCommands)
        advanceCommands(commands, *m_replica.settings, m_options.engineCommands, input.proposerRank, now, out);
}

void Control::onEvent(const ShutdownRequested&, SteadyTime now, ControlActions& out)
{
    m_isShuttingDown = true;
    giveUpWaiting(Reason::ShuttingDown, defaultRetryAfter, now, out);
    sendHeartbeats(now, out);
}

// ---- Status ----

void Control::recordAlarms(std::size_t from, SteadyTime now, const ControlActions& out)
{
    for (std::size_t i = from; i < out.size(); ++i) {
        if (const auto* alarm = std::get_if<RaiseAlarm>(&out[i]))
            m_alarms[{ alarm->kind, alarm->subject }] = now;
    }
    std::erase_if(m_alarms, [now](const auto& entry) { return now - entry.second > alarmLifetime; });
}

ControlStatus Control::status(SteadyTime now) const
{
    ControlStatus status;
    status.self = m_options.instance;
    status.incarnation = m_options.incarnation;
    status.ready = isReady(now);
    status.mayDispatch = mayDispatch(m_replica, now);
    status.reachesMajority = reachesMajority(m_replica, now);
    status.takenAt = now;
    status.version = versionInForce(m_replica);
    status.highestKnown = m_replica.highestKnown;
    status.majorityVersion = majorityVersion(m_replica, now);
    status.confirmedAge = confirmedAge(m_replica, now);
    status.storeReachable = m_replica.storeReachable;
    status.instances.push_back({ .instance = m_options.instance, .listed = m_replica.listed.contains(m_options.instance), .leaving = m_isShuttingDown, .version = versionToReport(m_replica) });
    for (const auto& [id, member] : m_membership.members) {
        InstanceStatus other { .instance = id, .state = member.state, .listed = member.isOnList, .leaving = member.isLeaving, .version = member.settingsVersion };
        if (member.lastSeenAt)
            other.lastSeenAge = now - *member.lastSeenAt;
        status.instances.push_back(std::move(other));
    }
    for (const auto& [id, scheduler] : m_schedulers) {
        const SchedulerSnapshot pool = snapshot(scheduler);
        PoolStatus poolStatus { .pool = id, .floor = pool.floor };
        for (const TierSnapshot& tier : pool.tiers) {
            poolStatus.waiting += tier.waiting;
            poolStatus.inProgress += tier.inProgress;
            poolStatus.waitingByTier[tier.tier] = tier.waiting;
        }
        status.pools.push_back(std::move(poolStatus));
        for (const TargetSnapshot& target : pool.targets) {
            TargetControlStatus targetStatus { .target = target.target, .pool = id, .requestsHere = target.requestsInProgress, .tokensHere = target.tokensInProgress };
            if (m_replica.settings->targets.contains(target.target))
                targetStatus.drain = drainStatus(m_drains, *m_replica.settings, target.target, now);
            status.targets.push_back(std::move(targetStatus));
        }
    }
    for (const auto& [alarm, raisedAt] : m_alarms)
        status.alarms.push_back({ alarm.first, alarm.second, now - raisedAt });
    return status;
}

} // namespace limpetpond
