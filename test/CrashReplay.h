#pragma once

/// Replays crashes of targets against the decisions on prompt parts, without I/O: many instances, each with its own
/// `CrashingParts`, that exchange reports of which some are lost.
///
///     CrashReplay replay({ .instances = 77, .targets = 78 });
///     CrashResult result = replay.run();

#include "core/CrashingParts.h"
#include <algorithm>
#include <cmath>
#include <iterator>
#include <random>

namespace limpetpond {

/// A crash of many targets that no request causes.
struct CrashStorm {
    Duration at { 0 };
    Duration time { 0 }; ///< Over which the crashes are spread; 0 for all at once.
    double share { 0.15 }; ///< Of the targets; each one crashes once.
};

struct CrashReplayOptions {
    int instances { 4 };
    int targets { 18 };
    int slots { 6 };
    double soundPerSecond { 130 };
    double badPerSecond { 5 }; ///< Requests with the part that crashes targets.
    Duration badFrom { std::chrono::seconds(3) };
    Duration time { std::chrono::seconds(30) };
    Duration downTime { std::chrono::seconds(2) }; ///< Of a target after a crash.
    Duration updateInterval { std::chrono::milliseconds(100) };
    Duration stableTime { std::chrono::seconds(3) }; ///< In which the instances have to learn of a crash.
    double lostUpdates { 0 }; ///< Share.
    Duration restartInterval { 0 }; ///< Between restarts of one instance after another, which lose its memory; 0 for none.
    std::vector<CrashStorm> storms;
    bool doAllShareOnePart { false };
    int sharedParts { 0 }; ///< Of all requests, beside the others.
    Duration timeToFirstEvent { std::chrono::milliseconds(80) }; ///< A target begins to write an answer; one with the crashing part crashes it.
    Duration timeToSecondEvent { std::chrono::milliseconds(110) };
    Duration serviceTime { std::chrono::milliseconds(450) };
    bool doTargetsKeepTheirIds { false }; ///< Whether a target has the same incarnation after a crash.
    std::uint32_t seed { 1 };
};

struct CrashResult {
    int sound { 0 };
    int soundRefused { 0 };
    int badCrashes { 0 }; ///< Targets that the part has crashed.
    std::optional<Duration> fifthCrashAt; ///< Since the start.
    int soundLate { 0 }; ///< Arrived later than twice the stable time after the fifth crash, or in the second half where there is none.
    int soundLateBegun { 0 }; ///< Of these, answered by the first target.
    int soundAnswered { 0 };
    int badSendsLate { 0 }; ///< Sends of requests with the part later than the stable time after its fifth crash and after the start of the instance.
    std::size_t mostSuspects { 0 }; ///< At one instance.
};

class CrashReplay {
public:
    explicit CrashReplay(CrashReplayOptions options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
        , m_targets(static_cast<std::size_t>(m_options.targets))
        , m_instances(static_cast<std::size_t>(m_options.instances))
        , m_startedAt(m_instances.size())
    {
    }

    CrashResult run()
    {
        for (m_elapsed = Duration::zero(); m_elapsed < m_options.time; m_elapsed += step) {
            m_now += step;
            crashByStorms();
            for (std::size_t target = 0; target < m_targets.size(); ++target)
                advance(target);
            arrive();
            if (m_elapsed % m_options.updateInterval < step)
                exchangeReports();
            if (m_options.restartInterval > Duration::zero() && m_elapsed % m_options.restartInterval < step)
                restartNext();
            for (const CrashingParts& instance : m_instances)
                m_result.mostSuspects = std::max(m_result.mostSuspects, instance.suspects.size());
        }
        return m_result;
    }

private:
    static constexpr Duration step = std::chrono::milliseconds(5);
    static constexpr Duration maxWait = std::chrono::seconds(2);
    static constexpr Duration timeToEnd = std::chrono::seconds(5); ///< In which a request that arrives is answered or expires.
    static constexpr int kinds = 3;
    static constexpr int subjects = 300;
    static constexpr PromptPart badPart { 0xbad };

    struct Request {
        std::size_t instance { 0 };
        PromptParts parts;
        bool isBad { false };
        int sends { 0 };
        SteadyTime arrivedAt;
        SteadyTime startedAt;
        std::size_t risk { 0 };
    };
    struct Target {
        std::vector<Request> running;
        SteadyTime downUntil;
        int incarnation { 0 };
        std::optional<SteadyTime> crashesAt; ///< By a storm.
    };

    void restartNext()
    {
        std::size_t instance = static_cast<std::size_t>(m_restarts++) % m_instances.size();
        m_instances[instance] = {};
        m_startedAt[instance] = m_now;
    }

    void crashByStorms()
    {
        for (const CrashStorm& storm : m_options.storms) {
            if (m_elapsed < storm.at || m_elapsed >= storm.at + step)
                continue;
            for (Target& target : m_targets) {
                if (uniform() < storm.share)
                    target.crashesAt = m_now + std::chrono::duration_cast<Duration>(uniform() * storm.time);
            }
        }
    }

    void advance(std::size_t index)
    {
        Target& target = m_targets[index];
        if (target.crashesAt && *target.crashesAt <= m_now) {
            target.crashesAt.reset();
            crash(index);
        }
        auto bad = std::find_if(target.running.begin(), target.running.end(), [this](const Request& request) { return request.isBad && m_now - request.startedAt >= m_options.timeToFirstEvent; });
        if (bad != target.running.end()) {
            if (++m_result.badCrashes == 5) {
                m_fifthCrashAt = m_now;
                m_result.fifthCrashAt = m_elapsed;
            }
            crash(index);
        }
        std::erase_if(target.running, [this](const Request& request) {
            if (m_now - request.startedAt < m_options.serviceTime)
                return false;
            recordAnswer(m_instances[request.instance], request.parts, m_now);
            m_result.soundAnswered += !request.isBad;
            m_result.soundLateBegun += isLateSound(request) && request.sends == 1;
            return true;
        });
    }

    /// Each instance with a request there sees the crash by itself, as it checks the target.
    void crash(std::size_t index)
    {
        Target& target = m_targets[index];
        if (m_now < target.downUntil)
            return;
        CrashId id { static_cast<std::uint64_t>(index + 1) * 1000 + static_cast<std::uint64_t>(m_options.doTargetsKeepTheirIds ? 0 : ++target.incarnation) };
        std::vector<Request> lost = std::move(target.running);
        target.running.clear();
        target.downUntil = m_now + m_options.downTime;
        for (std::size_t instance = 0; instance < m_instances.size(); ++instance) {
            std::vector<PromptParts> suspects;
            for (const Request& request : lost) {
                if (request.instance != instance)
                    continue;
                if (m_now - request.startedAt < m_options.timeToSecondEvent)
                    suspects.push_back(request.parts);
                else
                    recordAnswer(m_instances[instance], request.parts, m_now);
            }
            if (!suspects.empty())
                recordCrash(m_instances[instance], { .id = id, .at = m_now }, suspects);
        }
        for (Request& request : lost) {
            if (request.sends < 2)
                send(std::move(request));
        }
    }

    void arrive()
    {
        for (int count = poisson(m_options.soundPerSecond); count > 0; --count) {
            ++m_result.sound;
            accept(makeRequest(false));
        }
        for (int count = m_elapsed < m_options.badFrom ? 0 : poisson(m_options.badPerSecond); count > 0; --count)
            accept(makeRequest(true));
        std::vector<Request> waiting(std::make_move_iterator(m_waiting.begin()), std::make_move_iterator(m_waiting.end()));
        m_waiting.clear();
        for (Request& request : waiting)
            request.risk = riskOf(request);
        std::stable_sort(waiting.begin(), waiting.end(), [](const Request& a, const Request& b) { return a.risk < b.risk; });
        for (Request& request : waiting) {
            if (m_now - request.arrivedAt < maxWait)
                send(std::move(request));
        }
    }

    /// A request of which some parts are suspected waits for those that arrive with fewer.
    void accept(Request request)
    {
        m_result.soundLate += isLateSound(request);
        if (riskOf(request) > 0)
            m_waiting.push_back(std::move(request));
        else
            send(std::move(request));
    }

    std::size_t riskOf(const Request& request) { return crashRisk(m_instances[request.instance], request.parts); }

    bool isLateSound(const Request& request) const
    {
        SteadyTime from = m_fifthCrashAt ? *m_fifthCrashAt + 2 * m_options.stableTime : begin + m_options.time / 2;
        return !request.isBad && request.arrivedAt > from && request.arrivedAt < begin + m_options.time - timeToEnd;
    }

    Request makeRequest(bool isBad)
    {
        // A few subjects get most requests.
        auto subject = static_cast<std::uint64_t>(std::floor(subjects * std::pow(uniform(), 3)));
        std::uint64_t kind = m_random() % kinds;
        Request request { .instance = m_random() % m_instances.size(), .isBad = isBad, .arrivedAt = m_now };
        for (int i = 0; i < m_options.sharedParts; ++i)
            request.parts.push_back(PromptPart(100000 + static_cast<std::uint64_t>(i)));
        request.parts.insert(request.parts.end(), { PromptPart(1000 + (m_options.doAllShareOnePart ? 0 : kind)), isBad ? badPart : PromptPart(2000 + kind * subjects + subject) });
        return request;
    }

    /// Sends to a free target, or lets the request wait.
    void send(Request request)
    {
        CrashingParts& parts = m_instances[request.instance];
        if (std::optional<PromptPart> part = findQuarantined(parts, request.parts)) {
            if (timeToTrial(parts, *part, static_cast<int>(request.instance), m_now) > Duration::zero()) {
                m_result.soundRefused += !request.isBad;
                return;
            }
            recordTrial(parts, *part, m_now);
        }
        ProbePermission permission = probePermission(parts, request.parts, { .turn = static_cast<int>(request.instance), .instances = m_options.instances, .targets = m_options.targets }, m_now);
        if (!permission.isAllowed) {
            m_waiting.push_back(std::move(request));
            return;
        }
        std::size_t first = m_random() % m_targets.size();
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            Target& target = m_targets[(first + i) % m_targets.size()];
            if (permission.target && &target != &m_targets[static_cast<std::size_t>(*permission.target)])
                continue;
            if (m_now < target.downUntil || target.running.size() >= static_cast<std::size_t>(m_options.slots))
                continue;
            ++request.sends;
            request.startedAt = m_now;
            bool hasHadTime = m_fifthCrashAt && m_now > std::max(*m_fifthCrashAt, m_startedAt[request.instance]) + m_options.stableTime;
            m_result.badSendsLate += request.isBad && hasHadTime;
            recordProbe(parts, request.parts, m_now);
            target.running.push_back(std::move(request));
            return;
        }
        m_waiting.push_back(std::move(request));
    }

    void exchangeReports()
    {
        ReportScope scope = m_elapsed % std::chrono::milliseconds(500) < m_options.updateInterval ? ReportScope::All : ReportScope::Changes;
        std::vector<std::vector<SuspectReport>> reports;
        for (CrashingParts& instance : m_instances)
            reports.push_back(suspectsToReport(instance, scope, m_now));
        for (std::size_t sender = 0; sender < m_instances.size(); ++sender) {
            for (std::size_t receiver = 0; receiver < m_instances.size() && !reports[sender].empty(); ++receiver) {
                if (receiver == sender || uniform() < m_options.lostUpdates)
                    continue;
                for (const SuspectReport& report : reports[sender])
                    mergeSuspect(m_instances[receiver], report, m_now);
            }
        }
    }

    double uniform() { return std::uniform_real_distribution<>(0, 1)(m_random); }

    int poisson(double perSecond) { return perSecond > 0 ? std::poisson_distribution<int>(perSecond * toSeconds(step))(m_random) : 0; }

    CrashReplayOptions m_options;
    std::mt19937 m_random;
    std::vector<Target> m_targets;
    std::vector<CrashingParts> m_instances;
    std::vector<SteadyTime> m_startedAt; ///< Of each instance, where it was restarted.
    std::vector<Request> m_waiting; ///< No target was free.
    static constexpr SteadyTime begin { std::chrono::hours(1) };
    SteadyTime m_now { begin };
    Duration m_elapsed { 0 };
    int m_restarts { 0 };
    std::optional<SteadyTime> m_fifthCrashAt;
    CrashResult m_result;
};

} // namespace limpetpond
