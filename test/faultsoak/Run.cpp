#include "test/faultsoak/Run.h"

#include "test/faultsoak/Callers.h"
#include <algorithm>
#include <csignal>

namespace limpetpond::faultsoak {

using namespace std::chrono_literals;

namespace {

    constexpr auto recoveryTimeout = 12s; ///< From the end of the faults until every gateway is ready.
    constexpr auto settlingTime = 2s; ///< For hanging connections to be detected and closed targets to be tried again.
    constexpr auto settingsTimeout = 3s; ///< From the store's acknowledgement until the settings are in force.
    constexpr auto restoredSettingsTimeout = 7s; ///< The same with the time that the users add while the store is disturbed.
    constexpr auto versionsTime = 1s; ///< In which the store's versions pass those of a write and the gateways poll from there.
    constexpr auto drainTime = 3s; ///< From the start of a target's drain until it receives no more requests.
    constexpr auto disconnectTimeout = 800ms; ///< From a caller's disconnect until its request is cancelled at the target.
    constexpr double minServedShare = 0.95; ///< Of the requests after the faults.
    constexpr auto entryInterval = 200ms;
    constexpr double targetFaultShare = 0.1;
    constexpr int recoveryRequests = 40;
    constexpr auto stableTime = 3s; ///< In which all gateways learn of a crash.
    constexpr int crashesToLearn = 5;
    constexpr int crashingCalls = 5; ///< To each gateway.
    constexpr int maxCrashingRequests = 3; ///< That the users allow after this many crashes.
    constexpr auto limitWindow = 4s;
    constexpr auto turnAwayTime = 1500ms; ///< Of a target that turns requests away.
    constexpr auto leavingTime = 2500ms; ///< From a target's first answer that says that it leaves to its next start.
    constexpr int maxRequestsInWindow = static_cast<int>(1.5 * statedRateLimit * 4) + 5;

    class Run {
    public:
        explicit Run(const RunOptions& options)
            : m_options(options)
            , m_fleet(options.fleet, m_checker)
            , m_random(options.fleet.seed, 1)
            , m_noticeRandom(options.fleet.seed, 3)
        {
        }

        RunResult execute()
        {
            std::vector<std::thread> threads;
            threads.emplace_back([this] { writeEntries(); });
            for (const std::unique_ptr<GatewayProcess>& gateway : m_fleet.gateways()) {
                for (int i = 0; i < m_options.callersPerGateway; ++i)
                    threads.emplace_back([this, &gateway = *gateway, i] { runCaller(gateway, i); });
            }
            injectFaults();
            undoAllFaults();
            m_isCalling = false;
            for (std::size_t i = 1; i < threads.size(); ++i)
                threads[i].join();
            checkRecovery();
            m_isWriting = false;
            threads.front().join();
            return { .counts = m_checker.counts(), .faults = m_faults, .violations = m_checker.violations() };
        }

    private:
        int randomBelow(int count) { return static_cast<int>(m_random(static_cast<std::uint32_t>(count))); }
        std::chrono::milliseconds randomTime(int from, int to) { return std::chrono::milliseconds(from + randomBelow(to - from)); }
        GatewayProcess& randomGateway() { return *m_fleet.gateways()[static_cast<std::size_t>(randomBelow(static_cast<int>(m_fleet.gateways().size())))]; }

        void writeEntries()
        {
            while (m_isWriting) {
                m_fleet.restartCrashedTargets();
                m_fleet.writeTargets();
                std::this_thread::sleep_for(entryInterval);
            }
        }

        void runCaller(GatewayProcess& gateway, int number)
        {
            Caller caller(m_fleet, gateway, m_checker, gateway.name + "-" + std::to_string(m_options.fleet.seed) + "-" + std::to_string(number));
            pcg32 random(m_options.fleet.seed, 100 + static_cast<std::uint64_t>(number));
            constexpr const char* paths[] = { "/pay/x", "/pay/x", "/read/x", "/draft/x", "/sum/x" };
            while (m_isCalling) {
                std::uint32_t choice = random(60);
                if (choice == 59)
                    caller.call(crashingPath);
                else if (choice % 12 == 0)
                    caller.callAndDisconnect(paths[random(5)]);
                else if (choice % 12 == 1)
                    caller.checkSettings();
                else if (!caller.call(paths[random(5)]))
                    std::this_thread::sleep_for(50ms);
                std::this_thread::sleep_for(std::chrono::milliseconds(random(20)));
            }
        }

        /// Injects overlapping faults: each is undone after a random time, while others start.
        void injectFaults()
        {
            m_fleet.setTargetFaultShare(targetFaultShare);
            auto end = Clock::now() + m_options.faultTime;
            while (Clock::now() < end) {
                ++m_faults;
                injectFault();
                injectNotice();
                std::this_thread::sleep_for(randomTime(50, 500));
                runDueUndos();
            }
        }

        void injectFault()
        {
            int link = randomBelow(m_fleet.linkCount());
            switch (randomBelow(14)) {
            case 0:
                m_fleet.killAndRestart(randomGateway());
                break;
            case 1:
                m_fleet.stopAndRestart(randomGateway());
                break;
            case 2:
            case 3:
                pause(randomGateway());
                break;
            case 4:
                randomGateway().process->sendSignal(SIGHUP);
                break;
            case 5:
                setLinkTemporarily(link, { { "open", false } }, { { "open", true } });
                break;
            case 6:
                setLinkTemporarily(link, { { "to_target", false } }, { { "to_target", true } });
                break;
            case 7:
                setLinkTemporarily(link, { { "to_client", false } }, { { "to_client", true } });
                break;
            case 8:
                setLinkTemporarily(link, { { "delay_ms", 20 + randomBelow(150) } }, { { "delay_ms", 0 } });
                break;
            case 9:
                m_fleet.store().setFailStatus(randomBelow(2) ? 503 : 429);
                scheduleUndo([this] { m_fleet.store().setFailStatus(0); });
                break;
            case 10:
                m_fleet.store().setSilent(true);
                scheduleUndo([this] { m_fleet.store().setSilent(false); });
                break;
            case 11:
                m_fleet.store().discardHistory();
                break;
            case 12:
                m_fleet.writeSettings();
                break;
            default:
                m_fleet.restoreOldSettings();
                break;
            }
        }

        /// Lets a target leave or turn requests away now and then.
        void injectNotice()
        {
            auto target = static_cast<std::size_t>(m_noticeRandom(static_cast<std::uint32_t>(m_fleet.targetCount())));
            switch (m_noticeRandom(8)) {
            case 0:
                m_fleet.setLeaving(target);
                m_undos.push_back({ Clock::now() + leavingTime, [this, target] { m_fleet.restartTarget(target); } });
                break;
            case 1:
                m_fleet.turnAway(target, turnAwayTime);
                break;
            default:
                break;
            }
        }

        void pause(GatewayProcess& gateway)
        {
            if (gateway.isPaused)
                return;
            m_fleet.setPaused(gateway, true);
            int incarnation = gateway.incarnation;
            scheduleUndo([this, &gateway, incarnation] {
                if (gateway.incarnation == incarnation)
                    m_fleet.setPaused(gateway, false);
            });
        }

        void setLinkTemporarily(int link, const boost::json::object& fault, const boost::json::object& repaired)
        {
            m_fleet.setLink(link, fault);
            scheduleUndo([this, link, repaired] { m_fleet.setLink(link, repaired); });
        }

        void scheduleUndo(std::function<void()> undo) { m_undos.push_back({ Clock::now() + randomTime(100, 2500), std::move(undo) }); }

        void runDueUndos()
        {
            std::vector<Undo> pending;
            for (Undo& undo : m_undos) {
                if (undo.at <= Clock::now())
                    undo.run();
                else
                    pending.push_back(std::move(undo));
            }
            m_undos = std::move(pending);
        }

        void undoAllFaults()
        {
            m_fleet.setTargetFaultShare(0);
            for (const Undo& undo : m_undos)
                undo.run();
            m_undos.clear();
            for (std::size_t i = 0; i < m_fleet.gateways().size(); ++i) {
                GatewayProcess& gateway = *m_fleet.gateways()[i];
                // Only the soak stops gateways, so one that isn't running has exited on its own.
                if (!gateway.process->isRunning())
                    m_checker.recordViolation("no process ends by itself", gateway.name + " ended with status " + std::to_string(gateway.process->waitForEnd(0ms)));
                if (!eventually(recoveryTimeout, [&] { return m_fleet.readiness(gateway) == 200; }))
                    m_checker.recordViolation("ready again after faults", gateway.name);
            }
            std::this_thread::sleep_for(settlingTime);
        }

        void checkRecovery()
        {
            checkServed();
            checkCrashingPart();
            checkRateLimit();
            checkNotices();
            checkSettingsApplied();
            checkRestoredStore();
            checkDrain();
            checkDisconnectedCaller();
            checkShutdown();
        }

        Caller makeCaller(GatewayProcess& gateway, const std::string& what)
        {
            return { m_fleet, gateway, m_checker, what + "-" + gateway.name + "-" + std::to_string(m_options.fleet.seed) };
        }

        void checkServed()
        {
            for (const std::unique_ptr<GatewayProcess>& gateway : m_fleet.gateways()) {
                Caller caller = makeCaller(*gateway, "calm");
                int served = 0;
                for (int i = 0; i < recoveryRequests; ++i)
                    served += caller.call(i % 2 ? "/read/x" : "/draft/x") == 200;
                if (served < minServedShare * recoveryRequests)
                    m_checker.recordViolation("serves again after faults", gateway->name + " served " + std::to_string(served) + " of " + std::to_string(recoveryRequests));
            }
        }

        /// Sends requests with the crashing part until five targets have crashed, and then as many again.
        void checkCrashingPart()
        {
            for (int i = 0; i < crashingCalls && m_fleet.crashingRequests() < crashesToLearn; ++i) {
                for (const std::unique_ptr<GatewayProcess>& gateway : m_fleet.gateways()) {
                    makeCaller(*gateway, "crash-" + std::to_string(i)).call(crashingPath);
                    makeCaller(*gateway, "sound-" + std::to_string(i)).call("/draft/x");
                }
                std::this_thread::sleep_for(100ms);
            }
            if (m_fleet.crashingRequests() < crashesToLearn)
                return; // The part is refused already.
            std::this_thread::sleep_for(stableTime);
            int before = m_fleet.crashingRequests();
            for (int i = 0; i < crashingCalls; ++i) {
                for (const std::unique_ptr<GatewayProcess>& gateway : m_fleet.gateways())
                    makeCaller(*gateway, "crash-again-" + std::to_string(i)).call(crashingPath);
            }
            if (m_fleet.crashingRequests() - before > maxCrashingRequests)
                m_checker.recordViolation("a crashing prompt part is kept from targets", std::to_string(m_fleet.crashingRequests() - before) + " requests reached targets");
            std::this_thread::sleep_for(settlingTime);
        }

        /// All gateways get far more requests than the targets take that state a limit; the first target states none.
        void checkRateLimit()
        {
            setLimits(true);
            callForAll(1s);
            std::vector<int> before;
            for (std::size_t i = 0; i < m_fleet.targetCount(); ++i)
                before.push_back(m_fleet.requestsAt(i));
            callForAll(limitWindow);
            for (std::size_t i = 1; i < m_fleet.targetCount(); ++i) {
                int sent = m_fleet.requestsAt(i) - before[i];
                if (sent > maxRequestsInWindow)
                    m_checker.recordViolation("a stated rate limit is kept", std::to_string(sent) + " requests reached a target in 4 s");
            }
            setLimits(false);
        }

        /// Half of the targets leave and the others turn requests away, so that each gateway learns of all of them. The checker
        /// looks at what reaches them.
        void checkNotices()
        {
            std::size_t half = m_fleet.targetCount() / 2;
            for (std::size_t i = 0; i < half; ++i)
                m_fleet.setLeaving(i);
            turnAwayAndCall(half);
            std::this_thread::sleep_for(leavingTime - turnAwayTime);
            turnAwayAndCall(half);
            for (std::size_t i = 0; i < half; ++i)
                m_fleet.restartTarget(i);
        }

        /// All targets from this one on turn requests away.
        void turnAwayAndCall(std::size_t first)
        {
            for (std::size_t i = first; i < m_fleet.targetCount(); ++i)
                m_fleet.turnAway(i, turnAwayTime);
            callForAll(turnAwayTime);
        }

        void setLimits(bool areStated)
        {
            for (std::size_t i = 1; i < m_fleet.targetCount(); ++i)
                m_fleet.setStatesLimit(i, areStated);
        }

        void callForAll(std::chrono::milliseconds time)
        {
            std::vector<std::thread> threads;
            auto end = Clock::now() + time;
            for (const std::unique_ptr<GatewayProcess>& gateway : m_fleet.gateways()) {
                threads.emplace_back([this, &gateway = *gateway, end] {
                    Caller caller = makeCaller(gateway, "limit-" + std::to_string(end.time_since_epoch().count()));
                    while (Clock::now() < end) {
                        caller.call("/read/x");
                        std::this_thread::sleep_for(5ms);
                    }
                });
            }
            for (std::thread& thread : threads)
                thread.join();
        }

        void checkSettingsApplied() { writeAndCheckSettings("settings", settingsTimeout, "settings are in force in time"); }

        /// The store goes back to a copy, and gives out the versions since then to other settings.
        void checkRestoredStore()
        {
            fakes::StoreFake::Copy copy = m_fleet.store().copy();
            m_fleet.writeSettings();
            std::this_thread::sleep_for(versionsTime);
            std::uint64_t lastVersion = m_fleet.store().version();
            m_fleet.store().restore(copy);
            m_fleet.writeSettings();
            // No poll ends in between and shows by its answer that it asked for a version that the store doesn't have.
            while (m_fleet.store().version() <= lastVersion)
                m_fleet.store().put("other", "row", "");
            checkSettings("restored", restoredSettingsTimeout, "settings of a restored store are in force");
        }

        void writeAndCheckSettings(const std::string& callerName, std::chrono::milliseconds timeout, const std::string& guarantee)
        {
            m_fleet.writeSettings();
            checkSettings(callerName, timeout, guarantee);
        }

        void checkSettings(const std::string& callerName, std::chrono::milliseconds timeout, const std::string& guarantee)
        {
            std::string path = "/added" + std::to_string(m_fleet.settingsVersion()) + "/x";
            for (const std::unique_ptr<GatewayProcess>& gateway : m_fleet.gateways()) {
                Caller caller = makeCaller(*gateway, callerName);
                if (!eventually(timeout, [&] { return caller.call(path) == 200; }))
                    m_checker.recordViolation(guarantee, gateway->name + " does not serve version " + std::to_string(m_fleet.settingsVersion()));
            }
        }

        void checkDrain()
        {
            m_fleet.setDraining(0, true);
            std::this_thread::sleep_for(drainTime);
            int before = m_fleet.requestsAt(0);
            for (const std::unique_ptr<GatewayProcess>& gateway : m_fleet.gateways()) {
                Caller caller = makeCaller(*gateway, "drain");
                for (int i = 0; i < recoveryRequests; ++i)
                    caller.call("/read/x");
            }
            turnAwayAndCall(1); // The leaving target gets nothing where no other one takes requests, either.
            if (m_fleet.requestsAt(0) != before)
                m_checker.recordViolation("a leaving target gets nothing", std::to_string(m_fleet.requestsAt(0) - before) + " requests reached t1");
        }

        void checkDisconnectedCaller()
        {
            GatewayProcess& gateway = randomGateway();
            Caller caller = makeCaller(gateway, "gone");
            int before = m_fleet.cancelledSlowRequests();
            caller.callAndDisconnect("/pay/slow");
            if (!eventually(disconnectTimeout, [&] { return m_fleet.cancelledSlowRequests() > before; }))
                m_checker.recordViolation("work of a caller that left ends", gateway.name);
        }

        void checkShutdown()
        {
            GatewayProcess& gateway = randomGateway();
            Caller caller = makeCaller(gateway, "stop");
            int status = 0;
            std::thread calling([&] { status = caller.call("/pay/slow"); });
            std::this_thread::sleep_for(200ms);
            int exitStatus = m_fleet.stopAndRestart(gateway);
            calling.join();
            if (exitStatus)
                m_checker.recordViolation("ends in order on SIGTERM", gateway.name + " exit status " + std::to_string(exitStatus));
            if (status != 200)
                m_checker.recordViolation("what is in progress at SIGTERM ends", gateway.name + " answered " + std::to_string(status));
        }

        struct Undo {
            Clock::time_point at;
            std::function<void()> run;
        };

        RunOptions m_options;
        OutcomeChecker m_checker;
        Fleet m_fleet;
        pcg32 m_random;
        pcg32 m_noticeRandom; ///< Of its own, so that the faults of a seed stay the same.
        std::vector<Undo> m_undos;
        int m_faults { 0 };
        std::atomic<bool> m_isCalling { true };
        std::atomic<bool> m_isWriting { true };
    };

} // namespace

RunResult runSeed(const RunOptions& options) { return Run(options).execute(); }

} // namespace limpetpond::faultsoak
