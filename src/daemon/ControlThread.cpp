#include "daemon/ControlThread.h"

#include "base/Hash.h"
#include "base/Log.h"

namespace limpetpond {

namespace {

    constexpr std::size_t indexPrefixLength = 8;

    std::string_view toText(DispatchEnd end)
    {
        switch (end) {
        case DispatchEnd::Completed:
            return "completed";
        case DispatchEnd::NotStarted:
            return "not_started";
        case DispatchEnd::Cancelled:
            return "cancelled";
        case DispatchEnd::Lost:
            return "lost";
        case DispatchEnd::TargetError:
            return "target_error";
        }
        return "";
    }

} // namespace

AccountIndex::AccountIndex(const Settings& settings)
{
    for (const auto& [id, account] : settings.accounts) {
        for (const std::string& hash : account.keyHashes)
            m_entries[hash.substr(0, indexPrefixLength)].push_back({ hash, id });
    }
}

std::optional<ClientAccountId> AccountIndex::find(std::string_view keyHash) const
{
    auto found = m_entries.find(std::string(keyHash.substr(0, indexPrefixLength)));
    if (found == m_entries.end())
        return std::nullopt;
    std::optional<ClientAccountId> account;
    for (const Entry& entry : found->second) {
        if (constantTimeEquals(entry.keyHash, keyHash))
            account = entry.account;
    }
    return account;
}

ControlThread::ControlThread(ControlThreadOptions options, ControlCore core, const Clock& clock, std::function<void(const ControlAction&)> carryOut,
    Timeline& timeline, Metrics& metrics)
    : m_options(options)
    , m_core(std::move(core))
    , m_clock(clock)
    , m_carryOut(std::move(carryOut))
    , m_timeline(timeline)
    , m_metrics(metrics)
    , m_events(metrics.counter("limpetpond_control_events_total", "Events that the control thread took in."))
    , m_view(std::make_shared<const PublishedView>())
    , m_newestView(m_view.load())
{
}

ControlThread::~ControlThread() { stop(); }

void ControlThread::start()
{
    m_thread = std::thread([this] { run(); });
}

void ControlThread::stop()
{
    if (!m_thread.joinable())
        return;
    m_stopping = true;
    post(Tick { m_clock.systemNow() });
    m_thread.join();
}

void ControlThread::post(ControlEvent event)
{
    m_mailbox.post({ .event = std::move(event) });
}

void ControlThread::postArrival(RequestArrived arrival, std::shared_ptr<RequestInbox> inbox)
{
    m_mailbox.post({ .event = std::move(arrival), .inbox = std::move(inbox) });
}

std::optional<Heartbeat> ControlThread::heartbeat(const Heartbeat& received, std::chrono::milliseconds timeout)
{
    auto reply = std::make_shared<HeartbeatReply>();
    m_mailbox.post({ .event = HeartbeatReceived { received }, .reply = reply });
    if (!reply->wait(timeout).hasMessages)
        return std::nullopt;
    std::vector<Heartbeat> answers = reply->take();
    if (answers.empty())
        return std::nullopt;
    return std::move(answers.front());
}

void ControlThread::run()
{
    SteadyTime nextTick = m_clock.steadyNow();
    while (!m_stopping) {
        auto left = std::chrono::ceil<std::chrono::milliseconds>(nextTick - m_clock.steadyNow());
        m_mailbox.wait(std::max(left, std::chrono::milliseconds(0)));
        for (const Message& message : m_mailbox.take())
            handle(message);
        SteadyTime now = m_clock.steadyNow();
        if (now >= nextTick) {
            handle({ .event = Tick { m_clock.systemNow() } });
            nextTick = now + m_options.tickPeriod;
        }
        publish(m_clock.steadyNow());
    }
}

void ControlThread::handle(const Message& message)
{
    m_events.add();
    if (const auto* arrival = std::get_if<RequestArrived>(&message.event); arrival && message.inbox)
        m_inboxes.emplace(arrival->request, message.inbox);
    record(message.event);
    ControlActions actions;
    m_core.handle(message.event, m_clock.steadyNow(), actions);
    for (const ControlAction& action : actions)
        carryOut(action, message);
}

void ControlThread::carryOut(const ControlAction& action, const Message& message)
{
    record(action);
    if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
        postToInbox(dispatch->request, *dispatch);
        return;
    }
    if (const auto* cancel = std::get_if<CancelDispatch>(&action)) {
        postToInbox(cancel->request, *cancel);
        return;
    }
    if (const auto* final = std::get_if<FinalAnswer>(&action)) {
        postToInbox(final->request, *final);
        m_inboxes.erase(final->request);
        return;
    }
    if (const auto* answer = std::get_if<AnswerHeartbeat>(&action)) {
        if (message.reply)
            message.reply->post(answer->heartbeat);
        return;
    }
    if (std::holds_alternative<RaiseAlarm>(action))
        return;
    m_carryOut(action);
}

void ControlThread::postToInbox(const RequestId& request, RequestMessage message)
{
    auto found = m_inboxes.find(request);
    if (found == m_inboxes.end())
        return;
    if (std::holds_alternative<CancelDispatch>(message))
        found->second->cancelRequested = true;
    found->second->mailbox.post(std::move(message));
}

void ControlThread::publish(SteadyTime now)
{
    if (std::shared_ptr<const PublishedView> next = nextView(now)) {
        m_newestView = std::move(next);
        m_isPublished = false;
    }
    // If a reader is copying the pointer, the next iteration of `run` stores the view.
    if (!m_isPublished)
        m_isPublished = m_view.tryStore(m_newestView);
}

std::shared_ptr<const PublishedView> ControlThread::nextView(SteadyTime now)
{
    const PublishedView& current = *m_newestView;
    std::shared_ptr<const Settings> settings = m_core.settings();
    bool ready = m_core.isReady(now);
    bool drained = m_core.isDrained();
    bool isStatusDue = !m_lastStatusAt || now - *m_lastStatusAt >= m_options.statusPeriod;
    if (settings == current.settings && ready == current.ready && drained == current.drained && !isStatusDue)
        return nullptr;
    auto next = std::make_shared<PublishedView>(current);
    next->ready = ready;
    next->drained = drained;
    if (settings != current.settings) {
        next->settings = settings;
        next->accounts = settings ? std::make_shared<const AccountIndex>(*settings) : nullptr;
        std::uint64_t version = settings ? settings->version.value() : 0;
        m_timeline.record({ .kind = "settings_in_force", .fields = { { "version", std::to_string(version) } } });
        logLine(LogLevel::Info, "settings_in_force", { { "version", version } });
    }
    if (ready != current.ready)
        logLine(LogLevel::Info, ready ? "ready" : "not_ready");
    if (isStatusDue) {
        next->status = std::make_shared<const ControlStatus>(m_core.status(now));
        m_lastStatusAt = now;
    }
    return next;
}

void ControlThread::record(const ControlEvent& event)
{
    if (const auto* arrival = std::get_if<RequestArrived>(&event)) {
        m_timeline.record({ .kind = "request_arrived", .request = arrival->request, .fields = { { "account", arrival->account.value() }, { "pool", arrival->pool.value() }, { "tier", std::to_string(arrival->tier.level) } } });
    } else if (const auto* ended = std::get_if<DispatchEnded>(&event)) {
        m_timeline.record({ .kind = "dispatch_ended", .request = ended->request, .attempt = ended->attempt, .fields = { { "end", std::string(toText(ended->end)) } } });
    } else if (const auto* started = std::get_if<AnswerStarted>(&event)) {
        m_timeline.record({ .kind = "answer_started", .request = started->request, .attempt = started->attempt });
    } else if (const auto* disconnected = std::get_if<CallerDisconnected>(&event)) {
        m_timeline.record({ .kind = "caller_gone", .request = disconnected->request });
    } else if (std::holds_alternative<ShutdownRequested>(event)) {
        m_timeline.record({ .kind = "shutdown_requested" });
    }
}

void ControlThread::record(const ControlAction& action)
{
    if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
        m_timeline.record({ .kind = "dispatch", .request = dispatch->request, .attempt = dispatch->attempt, .target = dispatch->target });
    } else if (const auto* cancel = std::get_if<CancelDispatch>(&action)) {
        m_timeline.record({ .kind = "cancel_dispatch", .request = cancel->request, .attempt = cancel->attempt, .target = cancel->target });
    } else if (const auto* final = std::get_if<FinalAnswer>(&action)) {
        m_timeline.record({ .kind = "final_answer", .request = final->request, .fields = { { "outcome", std::string(toString(final->outcome)) }, { "reason", std::string(toString(final->reason)) } } });
    } else if (const auto* write = std::get_if<WriteClaim>(&action)) {
        m_timeline.record({ .kind = "claim_write", .request = write->request, .attempt = write->row.attempt });
    } else if (const auto* alarm = std::get_if<RaiseAlarm>(&action)) {
        std::string kind(toString(alarm->kind));
        m_timeline.record({ .kind = "alarm", .fields = { { "alarm", kind }, { "subject", alarm->subject } } });
        m_metrics.counter("limpetpond_alarms_total", "Alarms that were raised.", { { "kind", kind } }).add();
        logLine(LogLevel::Error, "alarm", { { "alarm", kind }, { "subject", alarm->subject } });
    }
}

} // namespace limpetpond
