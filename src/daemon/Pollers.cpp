#include "daemon/Pollers.h"

#include "base/Log.h"

namespace limpetpond {

PeriodicTask::PeriodicTask(std::chrono::milliseconds pause, std::function<void()> call)
    : m_pause(pause)
    , m_call(std::move(call))
    , m_thread([this] { run(); })
{
}

PeriodicTask::~PeriodicTask() { stop(); }

void PeriodicTask::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void PeriodicTask::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        m_call();
        lock.lock();
        m_wake.wait_for(lock, m_pause, [this] { return m_stopping; });
    }
}

TargetPoller::TargetPoller(TargetPollerOptions options, ControlThread& control, const Clock& clock)
    : m_options(options)
    , m_control(control)
    , m_clock(clock)
{
    for (std::size_t share = 0; share < static_cast<std::size_t>(m_options.threads); ++share) {
        auto lastSequences = std::make_shared<std::map<TargetId, std::uint64_t>>();
        m_tasks.push_back(std::make_unique<PeriodicTask>(m_options.period, [this, share, lastSequences] { pollShare(share, *lastSequences); }));
    }
}

TargetPoller::~TargetPoller() { stop(); }

void TargetPoller::stop()
{
    for (auto& task : m_tasks)
        task->stop();
}

void TargetPoller::pollShare(std::size_t share, std::map<TargetId, std::uint64_t>& lastSequences)
{
    std::shared_ptr<const Settings> settings = m_control.view()->settings;
    if (!settings)
        return;
    std::size_t index = 0;
    for (const auto& [id, target] : settings->targets) {
        bool isInShare = index++ % m_tasks.size() == share;
        if (isInShare && target.kind == TargetKind::ModelEngine)
            pollTarget(target, lastSequences[id]);
    }
}

void TargetPoller::pollTarget(const TargetSettings& target, std::uint64_t& lastSequence)
{
    EngineAddress address { target.id, { target.host, target.port } };
    bool isReached = boost::leaf::try_handle_all(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(report, readLoad(address, m_clock.steadyNow(), m_options.timeouts));
            m_control.post(std::move(report));
            return true;
        },
        [&](const CallError& error) {
            logLine(LogLevel::Debug, "load_report_failed", { { "target", target.id.value() }, { "detail", error.detail } });
            return false;
        },
        [] { return false; });
    if (!isReached) {
        m_control.post(TargetReported { .target = target.id, .measuredAt = m_clock.steadyNow(), .failed = true });
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(events, readCacheEvents(address, lastSequence, m_options.timeouts));
            for (CacheChanged& event : events) {
                lastSequence = std::max(lastSequence, event.sequence);
                m_control.post(std::move(event));
            }
            return {};
        },
        [] {});
}

InstanceListRead instanceListFromSettings(const ProcessSettings& settings)
{
    InstanceListRead list;
    list.instances.push_back({ .instance = InstanceId { settings.instanceId }, .host = settings.peerHost, .port = settings.peerPort, .failureDomain = FailureDomainId { settings.failureDomain } });
    for (const PeerAddress& peer : settings.peers) {
        if (peer.instance.value() != settings.instanceId)
            list.instances.push_back({ .instance = peer.instance, .host = peer.endpoint.host, .port = peer.endpoint.port });
    }
    return list;
}

void updatePeerDirectory(const InstanceListRead& list, const InstanceId& self, PeerDirectory& directory)
{
    std::map<InstanceId, Endpoint> endpoints;
    for (const ListedInstance& instance : list.instances) {
        if (instance.instance != self)
            endpoints[instance.instance] = { instance.host, instance.port };
    }
    directory.replace(std::move(endpoints));
}

} // namespace limpetpond
