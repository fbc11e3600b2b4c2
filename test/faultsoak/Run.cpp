#include "test/faultsoak/Run.h"

#include "test/faultsoak/Callers.h"
#include <algorithm>
#include <csignal>

namespace limpetpond::faultsoak {

using namespace std::chrono_literals;

namespace {

    constexpr auto readyPatience = 12s; ///< From the end of the faults until every gateway is ready.
    constexpr auto settlingTime = 2s; ///< Connections that hang are noticed, closed targets are tried again.
    constexpr auto settingsPatience = 3s; ///< From the store's acknowledgement until the settings are in force.
    constexpr auto drainPatience = 3s; ///< From a target's leaving until it gets nothing more.
    constexpr auto goneCallerPatience = 800ms; ///< From a caller's leaving until its work ends.
    constexpr double leastServedShare = 0.95; ///< Of the requests in the calm time.
    constexpr auto entryInterval = 200ms;
    constexpr double targetFaultShare = 0.1;
    constexpr int calmRequests = 40;

    class Run {
    public:
        explicit Run(const RunOptions& options)
            : m_options(options)
            , m_fleet(options.fleet, m_ledger)
            , m_random(options.fleet.seed, 1)
        {
        }

        RunResult play()
        {
            std::vector<std::thread> threads;
            threads.emplace_back([this] { writeEntries(); });
            for (const std::unique_ptr<Gateway>& gateway : m_fleet.gateways()) {
                for (int i = 0; i < m_options.callersOfGateway; ++i)
                    threads.emplace_back([this, &gateway = *gateway, i] { callOn(gateway, i); });
            }
            injectFaults();
            heal();
            m_isCalling = false;
            for (std::size_t i = 1; i < threads.size(); ++i)
                threads[i].join();
            checkCalm();
            m_isWriting = false;
            threads.front().join();
            return { .counts = m_ledger.counts(), .faults = m_faults, .violations = m_ledger.violations() };
        }

    private:
        int pick(int count) { return static_cast<int>(m_random(static_cast<std::uint32_t>(count))); }
        std::chrono::milliseconds pickTime(int from, int to) { return std::chrono::milliseconds(from + pick(to - from)); }
        Gateway& pickGateway() { return *m_fleet.gateways()[static_cast<std::size_t>(pick(static_cast<int>(m_fleet.gateways().size())))]; }

        void writeEntries()
        {
            while (m_isWriting) {
                m_fleet.writeTargets();
                std::this_thread::sleep_for(entryInterval);
            }
        }

        void callOn(Gateway& gateway, int number)
        {
            Caller caller(m_fleet, gateway, m_ledger, gateway.name + "-" + std::to_string(m_options.fleet.seed) + "-" + std::to_string(number));
            pcg32 random(m_options.fleet.seed, 100 + static_cast<std::uint64_t>(number));
            constexpr const char* paths[] = { "/pay/x", "/pay/x", "/read/x", "/draft/x", "/sum/x" };
            while (m_isCalling) {
                std::uint32_t choice = random(12);
                if (choice == 0)
                    caller.callAndLeave(paths[random(5)]);
                else if (choice == 1)
                    caller.checkSettings();
                else if (!caller.call(paths[random(5)]))
                    std::this_thread::sleep_for(50ms);
                std::this_thread::sleep_for(std::chrono::milliseconds(random(20)));
            }
        }

        /// Series that overlap: each fault is undone some time after, while others begin.
        void injectFaults()
        {
            m_fleet.setTargetFaults(targetFaultShare);
            auto end = Clock::now() + m_options.faultTime;
            while (Clock::now() < end) {
                ++m_faults;
                injectOne();
                std::this_thread::sleep_for(pickTime(50, 500));
                undoDue();
            }
        }

        void injectOne()
        {
            int link = pick(m_fleet.links());
            switch (pick(14)) {
            case 0:
                m_fleet.killAndRestart(pickGateway());
                break;
            case 1:
                m_fleet.stopAndRestart(pickGateway());
                break;
            case 2:
            case 3:
                pause(pickGateway());
                break;
            case 4:
                pickGateway().process->sendSignal(SIGHUP);
                break;
            case 5:
                setLinkFor(link, { { "open", false } }, { { "open", true } });
                break;
            case 6:
                setLinkFor(link, { { "to_target", false } }, { { "to_target", true } });
                break;
            case 7:
                setLinkFor(link, { { "to_client", false } }, { { "to_client", true } });
                break;
            case 8:
                setLinkFor(link, { { "delay_ms", 20 + pick(150) } }, { { "delay_ms", 0 } });
                break;
            case 9:
                m_fleet.store().setFailStatus(pick(2) ? 503 : 429);
                undoLater([this] { m_fleet.store().setFailStatus(0); });
                break;
            case 10:
                m_fleet.store().setSilent(true);
                undoLater([this] { m_fleet.store().setSilent(false); });
                break;
            case 11:
                m_fleet.store().discardHistory();
                break;
            case 12:
                m_fleet.writeSettings();
                break;
            default:
                m_fleet.showOldSettings();
                break;
            }
        }

        void pause(Gateway& gateway)
        {
            if (gateway.isPaused)
                return;
            m_fleet.setPaused(gateway, true);
            int incarnation = gateway.incarnation;
            undoLater([this, &gateway, incarnation] {
                if (gateway.incarnation == incarnation)
                    m_fleet.setPaused(gateway, false);
            });
        }

        void setLinkFor(int link, const boost::json::object& fault, const boost::json::object& cure)
        {
            m_fleet.setLink(link, fault);
            undoLater([this, link, cure] { m_fleet.setLink(link, cure); });
        }

        void undoLater(std::function<void()> undo) { m_undo.push_back({ Clock::now() + pickTime(100, 2500), std::move(undo) }); }

        void undoDue()
        {
            std::vector<Undo> left;
            for (Undo& undo : m_undo) {
                if (undo.at <= Clock::now())
                    undo.run();
                else
                    left.push_back(std::move(undo));
            }
            m_undo = std::move(left);
        }

        void heal()
        {
            m_fleet.setTargetFaults(0);
            for (const Undo& undo : m_undo)
                undo.run();
            m_undo.clear();
            for (std::size_t i = 0; i < m_fleet.gateways().size(); ++i) {
                Gateway& gateway = *m_fleet.gateways()[i];
                // A process that ended by itself stays down: nobody but the soak ends it.
                if (!gateway.process->isRunning())
                    m_ledger.violate("no process ends by itself", gateway.name + " ended with status " + std::to_string(gateway.process->waitForEnd(0ms)));
                if (!eventually(readyPatience, [&] { return m_fleet.readiness(gateway) == 200; }))
                    m_ledger.violate("ready again after faults", gateway.name);
            }
            std::this_thread::sleep_for(settlingTime);
        }

        void checkCalm()
        {
            checkServed();
            checkSettingsArrive();
            checkDrain();
            checkGoneCaller();
            checkStop();
        }

        Caller callerOf(Gateway& gateway, const std::string& what)
        {
            return { m_fleet, gateway, m_ledger, what + "-" + gateway.name + "-" + std::to_string(m_options.fleet.seed) };
        }

        void checkServed()
        {
            for (const std::unique_ptr<Gateway>& gateway : m_fleet.gateways()) {
                Caller caller = callerOf(*gateway, "calm");
                int served = 0;
                for (int i = 0; i < calmRequests; ++i)
                    served += caller.call(i % 2 ? "/read/x" : "/draft/x") == 200;
                if (served < leastServedShare * calmRequests)
                    m_ledger.violate("serves again after faults", gateway->name + " served " + std::to_string(served) + " of " + std::to_string(calmRequests));
            }
        }

        void checkSettingsArrive()
        {
            m_fleet.writeSettings();
            std::string path = "/added" + std::to_string(m_fleet.settingsVersion()) + "/x";
            for (const std::unique_ptr<Gateway>& gateway : m_fleet.gateways()) {
                Caller caller = callerOf(*gateway, "settings");
                if (!eventually(settingsPatience, [&] { return caller.call(path) == 200; }))
                    m_ledger.violate("settings are in force in time", gateway->name + " does not serve version " + std::to_string(m_fleet.settingsVersion()));
            }
        }

        void checkDrain()
        {
            m_fleet.setDraining(0, true);
            std::this_thread::sleep_for(drainPatience);
            int before = m_fleet.requestsAt(0);
            for (const std::unique_ptr<Gateway>& gateway : m_fleet.gateways()) {
                Caller caller = callerOf(*gateway, "drain");
                for (int i = 0; i < calmRequests; ++i)
                    caller.call("/read/x");
            }
            if (m_fleet.requestsAt(0) != before)
                m_ledger.violate("a leaving target gets nothing", std::to_string(m_fleet.requestsAt(0) - before) + " requests reached t1");
        }

        void checkGoneCaller()
        {
            Gateway& gateway = pickGateway();
            Caller caller = callerOf(gateway, "gone");
            int before = m_fleet.endedSlowWork();
            caller.callAndLeave("/pay/slow");
            if (!eventually(goneCallerPatience, [&] { return m_fleet.endedSlowWork() > before; }))
                m_ledger.violate("work of a caller that left ends", gateway.name);
        }

        void checkStop()
        {
            Gateway& gateway = pickGateway();
            Caller caller = callerOf(gateway, "stop");
            int status = 0;
            std::thread calling([&] { status = caller.call("/pay/slow"); });
            std::this_thread::sleep_for(200ms);
            bool endedInOrder = m_fleet.stopAndRestart(gateway);
            calling.join();
            if (!endedInOrder)
                m_ledger.violate("ends in order on SIGTERM", gateway.name);
            if (status != 200)
                m_ledger.violate("what is in progress at SIGTERM ends", gateway.name + " answered " + std::to_string(status));
        }

        struct Undo {
            Clock::time_point at;
            std::function<void()> run;
        };

        RunOptions m_options;
        Ledger m_ledger;
        Fleet m_fleet;
        pcg32 m_random;
        std::vector<Undo> m_undo;
        int m_faults { 0 };
        std::atomic<bool> m_isCalling { true };
        std::atomic<bool> m_isWriting { true };
    };

} // namespace

RunResult runSeed(const RunOptions& options) { return Run(options).play(); }

} // namespace limpetpond::faultsoak
