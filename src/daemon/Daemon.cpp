#include "daemon/Daemon.h"

#include "base/Log.h"
#include "base/Metrics.h"
#include "base/Timeline.h"
#include "caller/CallerServer.h"
#include "core/Control.h"
#include "daemon/ControlThread.h"
#include "daemon/PlatformIo.h"
#include "daemon/Pollers.h"
#include "daemon/Traffic.h"
#include "operator/OperatorHandler.h"
#include "peer/PeerServer.h"
#include "peer/SettingsTransfer.h"
#include "store/InstanceList.h"
#include <thread>

namespace limpetpond {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds drainPollPeriod { 20 };
    constexpr milliseconds abortGrace { 2'000 }; ///< Time to write the last error events after an abort.
    constexpr milliseconds trafficGaugePeriod { 1'000 };

    HttpEndpoint toHttp(const Endpoint& endpoint) { return { endpoint.host, endpoint.port }; }

    HttpTimeouts timeoutsOf(const ProcessSettings& settings)
    {
        return { .connect = settings.connectTimeout, .read = settings.platformTimeout, .write = settings.platformTimeout };
    }

    /// Increases with each start of the process, as long as the system clock does not go back.
    Incarnation newIncarnation(const Clock& clock)
    {
        auto sinceEpoch = std::chrono::duration_cast<milliseconds>(clock.systemNow().time_since_epoch());
        return Incarnation { static_cast<std::uint64_t>(sinceEpoch.count()) };
    }

    CallerServerOptions callerOptions(const ProcessSettings& settings)
    {
        return { .listen = { settings.callerHost, settings.callerPort },
            .maxConnections = settings.trafficThreads,
            .maxHeaders = settings.maxHeaders,
            .maxBody = settings.maxBody,
            .readTimeout = settings.readTimeout,
            .writeTimeout = settings.writeTimeout,
            .keepAliveTimeout = settings.keepAliveTimeout };
    }

    CallerServerOptions adminOptions(const ProcessSettings& settings)
    {
        constexpr int adminConnections = 16;
        CallerServerOptions options = callerOptions(settings);
        options.listen = { settings.adminHost.empty() ? settings.callerHost : settings.adminHost, settings.adminPort };
        options.settingName = "--admin_port";
        options.maxConnections = adminConnections;
        return options;
    }

    ControlCore bindCore(Control& control)
    {
        return { .handle = [&control](const ControlEvent& event, SteadyTime now, ControlActions& out) { control.handle(event, now, out); },
            .settings = [&control] { return control.settings(); },
            .isReady = [&control](SteadyTime now) { return control.isReady(now); },
            .isDrained = [&control] { return control.isDrained(); },
            .status = [&control](SteadyTime now) { return control.status(now); } };
    }

} // namespace

struct Daemon::Components {
    Components(const ProcessSettings& given, const Clock& usedClock)
        : settings(given)
        , clock(usedClock)
        , incarnation(newIncarnation(usedClock))
        , timeline({ .capacity = static_cast<std::size_t>(given.timelineEvents), .process = given.instanceId }, usedClock)
        , core({ .instance = InstanceId { given.instanceId }, .incarnation = incarnation, .seed = incarnation.value() }, usedClock.steadyNow())
        , table({ .endpoint = toHttp(given.tableEndpoint), .timeouts = timeoutsOf(given) })
        , store({ .table = tableAccess(table) })
        , peers({ .secret = given.peerSecret, .limits = { .connectTimeout = given.peerTimeout, .callTimeout = given.peerTimeout, .maxMessage = given.maxPeerMessage } }, directory)
        , instanceList(toHttp(given.instanceListEndpoint), timeoutsOf(given))
        , control(
              { .tickPeriod = given.tickPeriod }, bindCore(core), usedClock, [this](const ControlAction& action) { io.carryOut(action); }, timeline, metrics)
        , io({ .threads = given.ioThreads }, makePlatformCalls(platformClients()), usedClock, [this](ControlEvent event) { control.post(std::move(event)); })
        , traffic(trafficOptions(), control, usedClock, metrics, timeline, {})
        , peerServer({ .listen = { given.peerHost, given.peerPort }, .maxMessage = given.maxPeerMessage })
        , callerServer(callerOptions(given), traffic.handler(), traffic.refusalHandler())
    {
        peerServer.addService(peerServiceName, makePeerProcessor(peerOptions()));
        peerServer.addService(operatorServiceName, makeOperatorProcessor(operatorOptions()));
        if (given.adminPort)
            adminServer = std::make_unique<CallerServer>(adminOptions(given), traffic.adminHandler(), traffic.refusalHandler());
    }

    PlatformClients platformClients()
    {
        return { .table = table, .store = store, .holder = holder, .peers = peers, .timeline = timeline, .clock = clock, .settings = [this] { return control.view()->settings; }, .raiseAlarm = [this](AlarmKind kind, const std::string& subject) { raiseAlarm(kind, subject); } };
    }

    TrafficOptions trafficOptions() const
    {
        return { .instanceId = settings.instanceId,
            .incarnation = incarnation.value(),
            .maxOpenStreams = settings.maxOpenStreams,
            .maxWaitingRequests = settings.maxWaitingRequests,
            .maxAnswer = settings.maxAnswer,
            .maxStreamBuffer = settings.maxStreamBuffer,
            .connectTimeout = settings.connectTimeout,
            .servesAdmin = settings.adminPort == 0 };
    }

    PeerHandlerOptions peerOptions()
    {
        return { .secret = settings.peerSecret,
            .heartbeat = [this](const Heartbeat& received) { return control.heartbeat(received, settings.peerTimeout); },
            .fetchSettings = [this](SettingsVersion after) -> Result<rpc::SettingsUpdate> { return makeSettingsUpdate(holder, after); },
            .observeLogicalTime = [this](std::uint64_t time) { timeline.observeLogicalTime(time); },
            .logicalTime = [this] { return timeline.nextLogicalTime(); } };
    }

    OperatorHandlerOptions operatorOptions()
    {
        return { .secret = settings.operatorSecret, .holder = &holder, .store = &store, .clock = &clock, .status = [this] { return control.view()->status; }, .postSettings = [this](std::shared_ptr<const Settings> arrived) { control.post(SettingsArrived { std::move(arrived) }); }, .raiseAlarm = [this](AlarmKind kind, const std::string& subject) { raiseAlarm(kind, subject); }, .timeline = [this](std::uint64_t after, const RequestId& request) { return timeline.entries(after, request); }, .process = settings.instanceId, .processSettings = effectiveSettings(settings) };
    }

    void raiseAlarm(AlarmKind kind, const std::string& subject)
    {
        metrics.counter("limpetpond_alarms_total", "Alarms that were raised.", { { "kind", std::string(toString(kind)) } }).add();
        logLine(LogLevel::Error, "alarm", { { "alarm", toString(kind) }, { "subject", subject } });
        timeline.record({ .kind = "alarm", .fields = { { "alarm", std::string(toString(kind)) }, { "subject", subject } } });
    }

    void refreshInstanceList()
    {
        if (!settings.instanceListEndpoint.isSet()) {
            applyInstanceList(instanceListFromSettings(settings));
            return;
        }
        boost::leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(list, readInstanceList(instanceList, {}));
                hasReadInstanceList = true;
                applyInstanceList(std::move(list));
                return {};
            },
            [&](const CallError& error) {
                logLine(LogLevel::Warning, "instance_list_failed", { { "detail", error.detail } });
                // After a first successful read, a failure leaves the last list in force.
                if (!hasReadInstanceList && !settings.peers.empty())
                    applyInstanceList(instanceListFromSettings(settings));
            },
            [] {});
    }

    void applyInstanceList(InstanceListRead list)
    {
        updatePeerDirectory(list, InstanceId { settings.instanceId }, directory);
        control.post(std::move(list));
    }

    void recordControlTraffic()
    {
        auto record = [this](const char* direction, const ThriftTraffic& traffic) {
            metrics.gauge("limpetpond_control_messages", "Messages sent between instances and operators since the start.", { { "side", direction } }).set(traffic.messages.load());
            metrics.gauge("limpetpond_control_bytes", "Bytes of those messages, both ways.", { { "side", direction } }).set(traffic.bytes.load());
        };
        record("client", peers.traffic());
        record("server", peerServer.traffic());
    }

    ProcessSettings settings;
    const Clock& clock;
    Incarnation incarnation;
    Metrics metrics;
    Timeline timeline;
    Control core;
    TableClient table;
    SettingsStore store;
    SettingsHolder holder;
    PeerDirectory directory;
    PeerClient peers;
    HttpConnectionPool instanceList;
    ControlThread control;
    PlatformIo io;
    Traffic traffic;
    PeerServer peerServer;
    CallerServer callerServer;
    std::unique_ptr<CallerServer> adminServer;
    std::unique_ptr<TargetPoller> targetPoller;
    std::unique_ptr<PeriodicTask> instanceListTask;
    std::unique_ptr<PeriodicTask> trafficGaugeTask;
    bool hasReadInstanceList { false };
};

Daemon::Daemon(const ProcessSettings& settings, const Clock& clock)
    : m_components(std::make_unique<Components>(settings, clock))
{
}

Daemon::~Daemon() = default;

Result<void> Daemon::start()
{
    Components& components = *m_components;
    BOOST_LEAF_CHECK(components.peerServer.start());
    if (components.adminServer) {
        BOOST_LEAF_CHECK(components.adminServer->start());
    }
    BOOST_LEAF_CHECK(components.callerServer.start());
    components.control.start();
    components.instanceListTask = std::make_unique<PeriodicTask>(components.settings.instanceListPeriod, [&components] { components.refreshInstanceList(); });
    components.targetPoller = std::make_unique<TargetPoller>(
        TargetPollerOptions { .period = components.settings.loadReportPeriod, .timeouts = timeoutsOf(components.settings) }, components.control, components.clock);
    components.trafficGaugeTask = std::make_unique<PeriodicTask>(trafficGaugePeriod, [&components] { components.recordControlTraffic(); });
    logLine(LogLevel::Info, "started", { { "caller_port", components.settings.callerPort }, { "peer_port", components.settings.peerPort }, { "incarnation", components.incarnation.value() } });
    return {};
}

void Daemon::drainAndStop()
{
    Components& components = *m_components;
    logLine(LogLevel::Info, "draining", { { "open_requests", components.traffic.openRequests() } });
    components.traffic.beginDrain();
    components.control.post(ShutdownRequested {});
    SteadyTime limit = components.clock.steadyNow() + components.settings.drainLimit;
    auto isIdle = [&components] { return components.traffic.openRequests() == 0 && components.traffic.runningDispatches() == 0 && components.control.view()->drained; };
    // A view published before the control thread handled the shutdown may not include the last request yet.
    std::this_thread::sleep_for(2 * components.settings.tickPeriod);
    while (!isIdle() && components.clock.steadyNow() < limit)
        std::this_thread::sleep_for(drainPollPeriod);
    if (!isIdle()) {
        logLine(LogLevel::Warning, "drain_limit_reached", { { "open_requests", components.traffic.openRequests() } });
        components.traffic.abortAll();
        SteadyTime graceEnd = components.clock.steadyNow() + abortGrace;
        while (!isIdle() && components.clock.steadyNow() < graceEnd)
            std::this_thread::sleep_for(drainPollPeriod);
    }
    components.callerServer.stop();
    if (components.adminServer)
        components.adminServer->stop();
    components.instanceListTask.reset();
    components.targetPoller.reset();
    components.trafficGaugeTask.reset();
    components.peerServer.stop();
    components.io.stop();
    components.control.stop();
    logLine(LogLevel::Info, "stopped");
}

} // namespace limpetpond
