#pragma once

/// Replays the use of one account's quota by many instances: partitions, restarts, kills and added instances, with the bookkeeping
/// of each instance, lost updates and an outdated view of the others.
///
///     QuotaReplay replay({ .instances = 4 });
///     replay.at(10s, [&] { replay.partition({ 0, 0, 0, 1 }); });
///     QuotaReplayResult result = replay.run(30s);

#include "core/AccountQuota.h"
#include "core/QuotaShare.h"
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace limpetpond {

struct QuotaReplayOptions {
    int instances { 4 };
    double perSecond { 240000 };
    double burst { 240000 };
    double unitsPerRequest { 2000 };
    double load { 1 }; ///< Of the requests that arrive, as a multiple of the quota's rate.
    std::uint32_t seed { 1 };
    double updateLoss { 0.01 }; ///< Share of the updates that are lost on their way.
    bool hasShares { true }; ///< False for instances that don't know `core/QuotaShare.h`.
    std::vector<double> weights; ///< Of the instances in what callers send; even if empty.
    bool isFirstStart { false }; ///< The instances start at the beginning, and have not been running for long.
};

struct QuotaReplayResult {
    double mostInWindow { 0 }; ///< Units admitted in any 8 s, over all instances.
    double allowedInWindow { 0 };
    double asked { 0 };
    double admitted { 0 };
    Duration longestRefusal { 0 }; ///< Longest time in which at least half of the requests were refused, in steps of `refusalStep`.

    bool isWithinLimit() const { return mostInWindow <= allowedInWindow; }
    double refusedShare() const { return asked > 0 ? 1 - admitted / asked : 0; }
};

class QuotaReplay {
public:
    static constexpr Duration step = std::chrono::milliseconds(10);
    static constexpr Duration refusalStep = std::chrono::milliseconds(200);

    explicit QuotaReplay(QuotaReplayOptions options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
        , m_load(m_options.load)
    {
        m_instances.resize(static_cast<std::size_t>(m_options.instances));
        for (std::size_t i = 0; i < m_instances.size(); ++i)
            begin(i);
        if (m_options.isFirstStart)
            return;
        for (m_now += step; m_now - m_startedAt < timeBefore; m_now += step)
            playInstances();
        for (Instance& instance : m_instances)
            instance.quota.left = m_options.burst;
        m_startedAt = m_now;
    }

    void at(Duration time, std::function<void()> action) { m_actions.emplace(time, std::move(action)); }

    /// Instances hear only those with the same number.
    void partition(const std::vector<int>& sides)
    {
        for (std::size_t i = 0; i < sides.size(); ++i)
            m_instances[i].side = sides[i];
    }

    void heal()
    {
        for (Instance& instance : m_instances)
            instance.side = 0;
    }

    /// Ends the process without notice.
    void kill(std::size_t i) { m_instances[i].isRunning = false; }

    /// Starts the process again at once, whether it runs or not.
    void restart(std::size_t i) { start(i); }

    /// Stops the process in order: it announces that it leaves, takes no more requests after some seconds, and ends later.
    void stop(std::size_t i)
    {
        if (!m_instances[i].leavingSince)
            m_instances[i].leavingSince = m_now;
    }

    /// Starts the process, with an id that it had before if there is one.
    void start(std::size_t i)
    {
        if (i >= m_instances.size())
            m_instances.resize(i + 1);
        begin(i);
    }

    void setLoad(double load) { m_load = load; }
    void setWeights(std::vector<double> weights) { m_options.weights = std::move(weights); }
    /// Counts asked and admitted units and refusals from now on only.
    void beginCounting()
    {
        m_result.asked = m_result.admitted = 0;
        m_result.longestRefusal = {};
        m_refusedFor = {};
    }
    AccountQuota& quotaOf(std::size_t i) { return m_instances[i].quota; }
    const QuotaShare& shareOf(std::size_t i) const { return m_instances[i].fleet.share; }
    int instances() const { return static_cast<int>(m_instances.size()); }

    QuotaReplayResult run(Duration time)
    {
        m_result.allowedInWindow = 1.1 * (8 * m_options.perSecond + m_options.burst) + 190000;
        for (; m_now - m_startedAt < time; m_now += step) {
            while (!m_actions.empty() && m_actions.begin()->first <= m_now - m_startedAt) {
                std::function<void()> action = std::move(m_actions.begin()->second);
                m_actions.erase(m_actions.begin());
                action();
            }
            playInstances();
            playRequests();
            countWindow();
        }
        return m_result;
    }

private:
    static constexpr Duration timeBefore = std::chrono::seconds(5); ///< In which instances hear each other before the replay begins.
    static constexpr Duration window = std::chrono::seconds(8);
    static constexpr Duration acceptTimeAfterStop = std::chrono::milliseconds(2800);
    static constexpr Duration timeToStop = std::chrono::seconds(4);

    struct Instance {
        bool isRunning { false };
        int side { 0 };
        std::uint64_t incarnation { 0 };
        AccountQuota quota;
        QuotaFleet fleet;
        SteadyTime nextTick;
        SteadyTime sentAt;
        SteadyTime allSentAt;
        std::optional<SteadyTime> leavingSince;
    };

    static InstanceId idOf(std::size_t i) { return InstanceId("instance-" + std::to_string(i)); }

    bool acceptsRequests(const Instance& instance) const
    {
        return instance.isRunning && (!instance.leavingSince || m_now - *instance.leavingSince < acceptTimeAfterStop);
    }

    void begin(std::size_t i)
    {
        Instance& instance = m_instances[i];
        std::uint64_t incarnation = instance.incarnation + 1;
        int side = instance.side;
        instance = Instance();
        instance.isRunning = true;
        instance.side = side;
        instance.incarnation = incarnation;
        // Ticks and updates of the instances are apart.
        instance.nextTick = m_now + std::chrono::milliseconds(m_random() % 25);
        instance.sentAt = m_now - std::chrono::milliseconds(m_random() % 500);
        instance.allSentAt = instance.sentAt;
        m_ids.resize(std::max(m_ids.size(), i + 1));
        m_ids[i] = idOf(i);
        if (m_options.hasShares) {
            std::vector<InstanceId> listed;
            for (std::size_t other = 0; other < m_instances.size(); ++other) {
                if (other != i)
                    listed.push_back(idOf(other));
            }
            recordListed(instance.fleet, listed, m_now);
            setShare(instance.quota, updateShare(instance.fleet, m_now), m_now);
        }
        setQuota(instance.quota, m_options.perSecond, m_options.burst, m_now);
    }

    Duration updateInterval() const
    {
        return std::clamp<Duration>(std::chrono::milliseconds(4) * (m_instances.size() - 1), std::chrono::milliseconds(50), std::chrono::milliseconds(500));
    }

    void playInstances()
    {
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            Instance& instance = m_instances[i];
            if (instance.isRunning && instance.leavingSince && m_now - *instance.leavingSince >= timeToStop)
                instance.isRunning = false;
            if (!instance.isRunning || m_now < instance.nextTick)
                continue;
            instance.nextTick = m_now + std::chrono::milliseconds(m_instances.size() > 100 ? 100 : 25);
            if (m_options.hasShares) {
                const QuotaShare& share = updateShare(instance.fleet, m_now);
                if (share != instance.quota.share)
                    setShare(instance.quota, share, m_now);
            }
            if (m_now - instance.sentAt >= updateInterval())
                sendUpdate(i);
        }
    }

    void sendUpdate(std::size_t from)
    {
        Instance& sender = m_instances[from];
        sender.sentAt = m_now;
        bool sendsAll = m_now - sender.allSentAt >= std::chrono::milliseconds(500);
        if (sendsAll)
            sender.allSentAt = m_now;
        bool hasUse = sender.quota.admittedHere > 0 && (sendsAll || sender.quota.admittedHere != sender.quota.reportedHere);
        double admitted = takeReport(sender.quota, m_now);
        std::bernoulli_distribution isLost(m_options.updateLoss);
        for (std::size_t to = 0; to < m_instances.size(); ++to) {
            Instance& receiver = m_instances[to];
            if (to == from || !receiver.isRunning || receiver.side != sender.side || isLost(m_random))
                continue;
            PeerHistory history;
            if (m_options.hasShares)
                history = recordHeard(receiver.fleet, m_ids[from], { .incarnation = sender.incarnation, .isLeaving = sender.leavingSince.has_value() }, m_now);
            if (hasUse)
                recordPeerAdmitted(receiver.quota, static_cast<PeerNumber>(from), sender.incarnation, admitted, m_now, history);
        }
    }

    void playRequests()
    {
        std::vector<double> weights(m_instances.size());
        for (std::size_t i = 0; i < weights.size(); ++i) {
            double weight = m_options.weights.empty() ? 1 : i < m_options.weights.size() ? m_options.weights[i]
                                                                                         : 0;
            weights[i] = acceptsRequests(m_instances[i]) ? weight : 0;
        }
        std::poisson_distribution<int> arrivals(m_load * m_options.perSecond * toSeconds(step) / m_options.unitsPerRequest);
        int count = m_load > 0 ? arrivals(m_random) : 0;
        bool isServed = std::any_of(weights.begin(), weights.end(), [](double weight) { return weight > 0; });
        std::discrete_distribution<std::size_t> choose(weights.begin(), weights.end());
        double admittedNow = 0;
        double askedNow = 0;
        for (int request = 0; isServed && request < count; ++request) {
            double units = m_options.unitsPerRequest * std::uniform_real_distribution<>(0.5, 1.5)(m_random);
            askedNow += units;
            if (admit(m_instances[choose(m_random)].quota, { .units = units }, m_now))
                admittedNow += units;
        }
        m_result.asked += askedNow;
        m_result.admitted += admittedNow;
        m_inWindow.push_back(admittedNow);
        m_windowUnits += admittedNow;
        countRefusals(askedNow, admittedNow);
    }

    void countWindow()
    {
        while (m_inWindow.size() > static_cast<std::size_t>(window / step)) {
            m_windowUnits -= m_inWindow.front();
            m_inWindow.pop_front();
        }
        m_result.mostInWindow = std::max(m_result.mostInWindow, m_windowUnits);
    }

    void countRefusals(double asked, double admitted)
    {
        m_stepAsked += asked;
        m_stepAdmitted += admitted;
        if (m_now - m_stepAt < refusalStep)
            return;
        bool isRefusing = m_stepAsked > 0 && m_stepAdmitted < m_stepAsked / 2;
        m_refusedFor = isRefusing ? m_refusedFor + refusalStep : Duration(0);
        m_result.longestRefusal = std::max(m_result.longestRefusal, m_refusedFor);
        m_stepAsked = m_stepAdmitted = 0;
        m_stepAt = m_now;
    }

    QuotaReplayOptions m_options;
    std::mt19937 m_random;
    double m_load { 1 };
    SteadyTime m_now { std::chrono::hours(1) };
    SteadyTime m_startedAt { m_now };
    std::vector<Instance> m_instances;
    std::vector<InstanceId> m_ids;
    std::multimap<Duration, std::function<void()>> m_actions;
    std::deque<double> m_inWindow;
    double m_windowUnits { 0 };
    QuotaReplayResult m_result;
    double m_stepAsked { 0 };
    double m_stepAdmitted { 0 };
    SteadyTime m_stepAt { m_now };
    Duration m_refusedFor { 0 };
};

} // namespace limpetpond
