#pragma once

/// Replays a rollout against the decisions of many instances, without I/O: requests that arrive unevenly, targets of unlike
/// speed, updates that are lost or late, a store with conditional writes whose answers may be lost, and instances that end, freeze or
/// are cut off.
///
///     RolloutResult result = RolloutReplay({ .instances = 24, .kind = VersionKind::FailsOften, .seed = 3 }).run();

#include "core/Hash.h"
#include "core/Rollout.h"
#include "core/RolloutEvidence.h"
#include "core/RolloutHolder.h"
#include "core/RolloutShare.h"
#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace limpetpond {

/// What the new version is, or what happens beside a sound one.
enum class VersionKind {
    FailsOften, ///< 40% of the answers.
    FailsSometimes, ///< 15% of the answers.
    IsSlow, ///< Three to eight times, by the seed.
    IsSometimesSlow, ///< 40% of the answers take five times as long.
    FailsLater, ///< 40%, after half of the order's time.
    FailsUnderLoad, ///< 40% of the answers that begin while more than half of the target's slots are in use.
    FailsOnOneRoute, ///< 40% on the route with 6% of the requests.
    IsSlowOnOneRoute, ///< Five times, on the route with 6% of the requests.
    Sound,
    SoundInABurst, ///< Three times the requests for two seconds.
    SoundBesideCrashes, ///< 15% of all targets crash at once and are back after two seconds.
    SoundBesideFailures, ///< 15% of all targets fail 40% of their answers.
    SoundInNoise, ///< 2% failures everywhere and times that vary more.
    SoundWithACrashingPart, ///< Some requests crash their target, old or new, and break its other answers.
};

constexpr bool isBad(VersionKind kind) { return kind < VersionKind::Sound; }

/// What happens to the instance that holds the rollout.
enum class HolderLoss {
    None,
    Ends,
    Freezes, ///< For four seconds.
    IsCutOff, ///< From all instances and the store, for six seconds.
};

struct RolloutReplayOptions {
    int instances { 4 };
    int targets { 18 }; ///< Of each version.
    int slots { 4 };
    double perSecond { 300 };
    double utilization { 0.5 }; ///< Part of the old targets' slots in use without a rollout.
    VersionKind kind { VersionKind::Sound };
    HolderLoss loss { HolderLoss::None };
    double lossAt { 0.2 }; ///< Part of the order's time.
    double lostAtOnce { 0 }; ///< Share of the instances that end half a second after `lossAt`.
    double startedLater { 0.05 }; ///< Share of the instances that start during the rollout.
    Duration storeDownFrom { 0 }; ///< From the order.
    Duration storeDownTime { 0 };
    Duration orderTime { std::chrono::seconds(12) };
    double lostUpdates { 0.05 }; ///< Share.
    double lateUpdates { 0.05 }; ///< Share; they arrive up to a second later.
    double lostAnswers { 0.05 }; ///< Share of the store's answers.
    std::uint32_t seed { 1 };
};

struct RolloutResult {
    RolloutPhase phase { RolloutPhase::NotStarted }; ///< In the store's row.
    Duration finalAfter { 0 }; ///< From the order to the final state.
    Duration switchAfter { 0 }; ///< From the order to `Switch`.
    int finalStates { 0 }; ///< Written; more than one is a fault.
    int requests { 0 }; ///< From the order to the deadline.
    int exposed { 0 }; ///< Sends to the new version before the final state or the deadline.
    int lateExposed { 0 }; ///< Of these, later than the stop time after the 50th bad answer.
    int badAnswers { 0 }; ///< Of the new version.
    int oldInProgressAtEnd { 0 }; ///< At old targets when the row says `Succeeded`.
    int oldSendsAfterEnd { 0 };
    int notSent { 0 }; ///< Requests that no instance was allowed or able to send for two seconds.
    std::uint64_t generation { 0 };
    std::string reason; ///< Of the last step of a holder.
    RolloutJudgement judgement; ///< Of the last holder.
};

class RolloutReplay {
public:
    explicit RolloutReplay(RolloutReplayOptions options)
        : m_options(options)
        , m_random(options.seed)
        , m_answerTime(options.utilization * options.targets * options.slots / options.perSecond)
    {
        makeTargets();
        makeInstances();
    }

    RolloutResult run()
    {
        Duration end = m_options.orderTime + std::chrono::seconds(8);
        for (; m_now - m_orderedAt < end; m_now += step) {
            if (m_now - m_orderedAt >= Duration::zero() && !m_isFaultDone)
                causeFaults();
            applyTroubles();
            endAttempts();
            arrive();
            for (std::size_t i = 0; i < m_instances.size(); ++i)
                advance(i);
            if (m_result.finalStates && m_now - m_orderedAt > m_result.finalAfter + std::chrono::seconds(4))
                break;
        }
        m_result.phase = m_row.phase;
        m_result.generation = m_row.generation;
        return m_result;
    }

private:
    static constexpr Duration step = std::chrono::milliseconds(10);
    static constexpr Duration updateInterval = std::chrono::milliseconds(200);
    static constexpr Duration liveTime = std::chrono::milliseconds(1500);
    static constexpr int judgingInstances = 3; ///< The first ones in the order of turns.
    static constexpr std::array<double, 5> routeShares { 0.45, 0.25, 0.14, 0.1, 0.06 };
    static constexpr std::array<double, 5> routeTimes { 0.8, 1.2, 0.9, 1.5, 1.1 };
    static constexpr std::size_t rareRoute = 4;

    struct Target {
        std::uint32_t hash { 0 };
        bool isNew { false };
        double speed { 1 };
        double failures { 0 };
        int inProgress { 0 };
        SteadyTime downUntil;
    };

    struct Request {
        std::size_t route { 0 };
        SteadyTime arrivedAt;
        bool isRetry { false };
        bool doesCrash { false };
    };

    struct Attempt {
        SteadyTime end;
        std::size_t instance { 0 };
        std::size_t target { 0 };
        Request request;
        SteadyTime sentAt;
        bool isFailure { false };
        bool isBad { false }; ///< By the version's fault.
        bool isGivenUp { false };
        bool hasEnded { false };
    };

    struct Row {
        std::uint64_t revision { 0 };
        std::uint64_t generation { 0 };
        RolloutPhase phase { RolloutPhase::NotStarted };
    };

    struct Write {
        SteadyTime effectAt;
        SteadyTime answerAt;
        std::uint64_t revision { 0 };
        Row row;
        bool isDone { false };
        bool isApplied { false };
    };

    struct Update {
        std::size_t from { 0 };
        std::uint64_t incarnation { 1 };
        bool knowsOrder { false };
        RolloutPosition position;
        std::uint64_t beatGeneration { 0 };
        std::uint64_t beat { 0 };
        Duration beatAge { 0 };
        int oldInProgress { 0 };
        std::vector<RolloutCount> counts;
    };

    struct Instance {
        std::uint32_t hash { 0 };
        std::uint64_t incarnation { 1 };
        double weight { 1 };
        SteadyTime startsAt;
        SteadyTime learnsAt;
        SteadyTime frozenUntil;
        SteadyTime cutUntil;
        bool hasEnded { false };
        bool hasOrder { false };
        Rollout rollout;
        std::uint64_t ownGeneration { 0 };
        Row known; ///< The row as last read.
        std::optional<Write> write;
        RolloutShare share;
        RolloutCounts counts;
        RolloutEvidence evidence;
        std::vector<SteadyTime> heardAt;
        std::vector<RolloutMember> members; ///< By number; without `heardAt` where it hasn't been heard.
        std::deque<std::pair<SteadyTime, std::shared_ptr<const Update>>> lateUpdates;
        std::deque<Request> waiting;
        int oldInProgress { 0 };
        int live { 0 }; ///< Other instances that are heard.
        int turn { 0 };
        SteadyTime nextUpdate;
        SteadyTime nextRead;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    Duration between(Duration from, Duration to) { return from + fromSeconds(uniform() * toSeconds(to - from)); }

    void makeTargets()
    {
        for (int i = 0; i < 2 * m_options.targets; ++i) {
            Target target { .hash = static_cast<std::uint32_t>(m_random()), .isNew = i >= m_options.targets };
            if (uniform() < 0.1)
                target.speed = 4;
            if (m_options.kind == VersionKind::SoundBesideFailures && uniform() < 0.15)
                target.failures = 0.4;
            m_targets.push_back(target);
        }
        for (const Target& target : m_targets)
            m_candidates.push_back({ .hash = target.hash, .isNew = target.isNew });
        m_slowness = 3 + 5 * uniform();
    }

    void makeInstances()
    {
        m_instances.resize(static_cast<std::size_t>(m_options.instances));
        for (Instance& instance : m_instances) {
            instance.hash = static_cast<std::uint32_t>(m_random());
            instance.weight = -std::log(1 - uniform());
            instance.startsAt = m_now - std::chrono::hours(1);
            instance.learnsAt = m_orderedAt + between(Duration::zero(), std::chrono::milliseconds(300));
            instance.heardAt.resize(m_instances.size());
            instance.members.resize(m_instances.size());
            instance.nextUpdate = m_now + between(Duration::zero(), updateInterval);
            instance.nextRead = m_now + between(Duration::zero(), std::chrono::seconds(1));
        }
        for (std::size_t i = 1; i < m_instances.size(); ++i) {
            if (uniform() < m_options.startedLater) {
                m_instances[i].startsAt = m_orderedAt + between(Duration::zero(), m_options.orderTime);
                m_instances[i].learnsAt = m_instances[i].startsAt + std::chrono::milliseconds(300);
            }
        }
        m_burstAt = m_orderedAt + fromSeconds(uniform() * 0.7 * toSeconds(m_options.orderTime));
    }

    bool isRunning(const Instance& instance) const { return !instance.hasEnded && m_now >= instance.startsAt && m_now >= instance.frozenUntil; }
    bool isCutOff(const Instance& instance) const { return m_now < instance.cutUntil; }
    bool isStoreUp() const
    {
        Duration sinceOrder = m_now - m_orderedAt;
        return sinceOrder < m_options.storeDownFrom || sinceOrder >= m_options.storeDownFrom + m_options.storeDownTime;
    }

    // Faults.

    void causeFaults()
    {
        SteadyTime at = m_orderedAt + fromSeconds(m_options.lossAt * toSeconds(m_options.orderTime));
        if (m_options.loss != HolderLoss::None && m_now >= at && !m_isHolderLost) {
            for (Instance& instance : m_instances) {
                if (instance.ownGeneration != m_row.generation || !m_row.generation || !isRunning(instance))
                    continue;
                m_isHolderLost = true;
                instance.hasEnded = m_options.loss == HolderLoss::Ends;
                if (m_options.loss == HolderLoss::Freezes)
                    instance.frozenUntil = m_now + std::chrono::seconds(4);
                if (m_options.loss == HolderLoss::IsCutOff)
                    instance.cutUntil = m_now + std::chrono::seconds(6);
                break;
            }
        }
        if (m_options.lostAtOnce > 0 && m_now >= at + std::chrono::milliseconds(500)) {
            std::vector<std::size_t> order(m_instances.size());
            std::iota(order.begin(), order.end(), 0);
            std::shuffle(order.begin(), order.end(), m_random);
            order.resize(static_cast<std::size_t>(m_options.lostAtOnce * m_options.instances));
            for (std::size_t lost : order)
                m_instances[lost].hasEnded = true;
            m_isFaultDone = true;
        }
    }

    void applyTroubles()
    {
        if (m_options.kind != VersionKind::SoundBesideCrashes || m_hasCrashed || m_now < m_burstAt)
            return;
        m_hasCrashed = true;
        for (std::size_t target = 0; target < m_targets.size(); ++target) {
            if (uniform() < 0.15)
                crash(target);
        }
    }

    void crash(std::size_t target)
    {
        m_targets[target].downUntil = m_now + std::chrono::seconds(2);
        for (Attempt* attempt : m_inProgress) {
            if (attempt->target == target && !attempt->hasEnded)
                endAttempt(*attempt, true);
        }
    }

    // Requests.

    void arrive()
    {
        bool isBurst = m_options.kind == VersionKind::SoundInABurst && m_now >= m_burstAt && m_now < m_burstAt + std::chrono::seconds(2);
        double rate = m_options.perSecond * (isBurst ? 3 : 1);
        int count = std::poisson_distribution<int>(rate * toSeconds(step))(m_random);
        if (!count)
            return;
        m_weights.clear();
        for (const Instance& instance : m_instances)
            m_weights.push_back((m_weights.empty() ? 0 : m_weights.back()) + (instance.hasEnded || m_now < instance.startsAt ? 0 : instance.weight));
        for (int i = 0; i < count; ++i) {
            auto found = std::upper_bound(m_weights.begin(), m_weights.end(), uniform() * m_weights.back());
            auto at = std::min<std::size_t>(static_cast<std::size_t>(found - m_weights.begin()), m_weights.size() - 1);
            Request request { .route = drawRoute(), .arrivedAt = m_now };
            request.doesCrash = m_options.kind == VersionKind::SoundWithACrashingPart && m_partCrashes < 8 && m_now > m_burstAt && uniform() < 0.02;
            if (m_now >= m_orderedAt && m_now < m_orderedAt + m_options.orderTime)
                ++m_result.requests;
            m_instances[at].waiting.push_back(request);
        }
    }

    std::size_t drawRoute()
    {
        double draw = uniform();
        for (std::size_t route = 0; route < routeShares.size(); ++route) {
            if (draw < routeShares[route])
                return route;
            draw -= routeShares[route];
        }
        return 0;
    }

    static std::uint32_t routeHash(std::size_t route) { return static_cast<std::uint32_t>(mixBits(route + 1)); }

    void sendWaiting(std::size_t number)
    {
        Instance& instance = m_instances[number];
        for (std::size_t left = instance.waiting.size(); left > 0; --left) {
            Request request = instance.waiting.front();
            instance.waiting.pop_front();
            if (send(number, request))
                continue;
            if (m_now - request.arrivedAt < std::chrono::seconds(2))
                instance.waiting.push_back(request);
            else
                ++m_result.notSent;
        }
    }

    bool send(std::size_t number, const Request& request)
    {
        Instance& instance = m_instances[number];
        if (!instance.hasOrder && instance.startsAt > m_orderedAt)
            return false; // An instance reads the rows before it sends.
        RolloutChoice choice = RolloutChoice::OnlyOld;
        if (instance.hasOrder) {
            if (!mayUsePool(instance.rollout, 1 + instance.live, m_now))
                return false;
            choice = chooseVersions(instance.rollout.position, instance.share, {}, routeHash(request.route));
        }
        std::optional<std::size_t> target;
        if (choice == RolloutChoice::NewFirst && !request.isRetry)
            target = sampleTarget(instance);
        if (!target)
            target = freeTarget(choice == RolloutChoice::OnlyNew);
        if (!target)
            return false;
        begin(number, request, *target);
        return true;
    }

    bool isFree(const Target& target) const { return target.inProgress < m_options.slots && m_now >= target.downUntil; }

    std::optional<std::size_t> sampleTarget(const Instance& instance)
    {
        std::vector<std::size_t> samples = instance.rollout.position.phase == RolloutPhase::Load ? loadTargets(m_candidates, {}, m_now - instance.rollout.orderedAt)
                                                                                                 : sampleTargets(m_candidates, {});
        return leastLoaded(samples);
    }

    std::optional<std::size_t> leastLoaded(const std::vector<std::size_t>& targets) const
    {
        std::optional<std::size_t> best;
        for (std::size_t target : targets) {
            if (isFree(m_targets[target]) && (!best || m_targets[target].inProgress < m_targets[*best].inProgress))
                best = target;
        }
        return best;
    }

    /// The less loaded one of two that are drawn, or the first free one from there on.
    std::optional<std::size_t> freeTarget(bool isNew)
    {
        auto count = static_cast<std::size_t>(m_options.targets);
        std::size_t first = isNew ? count : 0;
        std::size_t a = first + m_random() % count;
        std::size_t b = first + m_random() % count;
        if (m_targets[b].inProgress < m_targets[a].inProgress)
            a = b;
        for (std::size_t i = 0; i < count; ++i) {
            std::size_t target = first + (a - first + i) % count;
            if (isFree(m_targets[target]))
                return target;
        }
        return std::nullopt;
    }

    void begin(std::size_t number, const Request& request, std::size_t chosen)
    {
        Instance& instance = m_instances[number];
        Target& target = m_targets[chosen];
        ++target.inProgress;
        if (!target.isNew)
            ++instance.oldInProgress;
        if (instance.hasOrder)
            recordSend(instance.share, target.isNew, routeHash(request.route));
        if (target.isNew && !m_result.finalStates && m_now < m_orderedAt + m_options.orderTime) {
            ++m_result.exposed;
            m_result.lateExposed += m_manyBadAt && m_now > *m_manyBadAt + RolloutLimits {}.stopTime;
        }
        // After the deadline, an instance that hasn't heard of the holder for its lease may use old targets again.
        const Rollout& rollout = instance.rollout;
        bool mayNotKnow = instance.hasOrder && !isFinal(rollout.position.phase) && m_now >= rollout.deadline() && m_now - rollout.heardAt >= rolloutLease;
        if (!target.isNew && m_row.phase == RolloutPhase::Succeeded && !mayNotKnow)
            ++m_result.oldSendsAfterEnd;
        Attempt attempt { .instance = number, .target = chosen, .request = request, .sentAt = m_now };
        bool isNoisy = m_options.kind == VersionKind::SoundInNoise;
        double load = 1 + 0.5 * (target.inProgress - 1) / std::max(1, m_options.slots - 1);
        double time = m_answerTime * 0.7 * routeTimes[request.route] * target.speed * load * std::exp((isNoisy ? 0.9 : 0.5) * std::normal_distribution<double>()(m_random));
        double failures = target.failures + (isNoisy ? 0.02 : 0.002);
        attempt.isFailure = uniform() < failures;
        if (target.isNew)
            applyVersion(attempt, time);
        double timeout = 40 * m_answerTime;
        attempt.isGivenUp = time > timeout;
        if (attempt.isFailure)
            time *= 0.5;
        attempt.end = m_now + fromSeconds(std::min(time, timeout));
        m_attempts.push_back(attempt);
        m_inProgress.push_back(&m_attempts.back());
    }

    void applyVersion(Attempt& attempt, double& time)
    {
        bool isRare = attempt.request.route == rareRoute;
        auto fail = [&](double rate) {
            if (uniform() < rate)
                attempt.isFailure = attempt.isBad = true;
        };
        auto slow = [&](double factor) {
            time *= factor;
            attempt.isBad = true;
        };
        switch (m_options.kind) {
        case VersionKind::FailsOften:
            return fail(0.4);
        case VersionKind::FailsSometimes:
            return fail(0.15);
        case VersionKind::IsSlow:
            return slow(m_slowness);
        case VersionKind::IsSometimesSlow:
            if (uniform() < 0.4)
                slow(5);
            return;
        case VersionKind::FailsLater:
            return fail(m_now - m_orderedAt > m_options.orderTime / 2 ? 0.4 : 0);
        case VersionKind::FailsUnderLoad:
            return fail(2 * m_targets[attempt.target].inProgress > m_options.slots ? 0.4 : 0);
        case VersionKind::FailsOnOneRoute:
            return fail(isRare ? 0.4 : 0);
        case VersionKind::IsSlowOnOneRoute:
            if (isRare)
                slow(5);
            return;
        default:
            return;
        }
    }

    void endAttempts()
    {
        for (std::size_t i = 0; i < m_inProgress.size(); ++i) {
            Attempt& attempt = *m_inProgress[i];
            if (attempt.hasEnded || attempt.end > m_now)
                continue;
            if (attempt.request.doesCrash) {
                ++m_partCrashes;
                crash(attempt.target);
            } else {
                endAttempt(attempt, attempt.isFailure);
            }
        }
        std::erase_if(m_inProgress, [](const Attempt* attempt) { return attempt->hasEnded; });
        while (!m_attempts.empty() && m_attempts.front().hasEnded)
            m_attempts.pop_front();
    }

    void endAttempt(Attempt& attempt, bool isFailure)
    {
        attempt.hasEnded = true;
        Instance& instance = m_instances[attempt.instance];
        Target& target = m_targets[attempt.target];
        --target.inProgress;
        if (!target.isNew)
            --instance.oldInProgress;
        if (attempt.isBad && ++m_result.badAnswers == 50)
            m_manyBadAt = m_now;
        if (instance.hasOrder && !instance.hasEnded && attempt.sentAt >= instance.rollout.orderedAt) {
            RolloutAnswer answer { .route = routeHash(attempt.request.route), .time = m_now - attempt.sentAt, .isFailure = isFailure, .isGivenUp = attempt.isGivenUp };
            if (target.isNew)
                answer.newTarget = target.hash;
            recordAnswer(instance.counts, answer);
        }
        if (isFailure && !attempt.request.isRetry && !instance.hasEnded) {
            Request again = attempt.request;
            again.isRetry = true;
            again.doesCrash = false;
            instance.waiting.push_back(again);
        }
    }

    // Instances.

    void advance(std::size_t number)
    {
        Instance& instance = m_instances[number];
        if (!isRunning(instance))
            return;
        while (!instance.lateUpdates.empty() && instance.lateUpdates.front().first <= m_now) {
            receive(number, *instance.lateUpdates.front().second);
            instance.lateUpdates.pop_front();
        }
        if (!instance.hasOrder && m_now >= instance.learnsAt && (isStoreUp() || instance.startsAt < m_orderedAt) && !isCutOff(instance))
            learnOrder(number);
        answerWrites(instance);
        if (m_now >= instance.nextRead) {
            instance.nextRead = m_now + std::chrono::seconds(1);
            if (isStoreUp() && !isCutOff(instance))
                readRow(instance);
        }
        if (m_now >= instance.nextUpdate) {
            instance.nextUpdate += updateInterval;
            if (instance.nextUpdate < m_now)
                instance.nextUpdate = m_now + updateInterval;
            countLive(instance);
            if (instance.hasOrder)
                decide(number);
            sendUpdate(number);
        }
        sendWaiting(number);
    }

    void learnOrder(std::size_t number)
    {
        Instance& instance = m_instances[number];
        instance.hasOrder = true;
        instance.rollout.order = { .id = { .number = 1 }, .pool = PoolId("pool"), .to = TargetVersion("v2"), .time = m_options.orderTime };
        instance.rollout.orderedAt = m_now;
        instance.rollout.heardAt = m_now;
        countLive(instance);
        bool isLate = instance.startsAt > m_orderedAt;
        if (isLate)
            instance.rollout.orderedAt = m_orderedAt + std::chrono::milliseconds(300);
        instance.share = initialShare(instance.hash, isLate ? 0 : instance.rollout.members, {});
        readRow(instance);
    }

    void countLive(Instance& instance)
    {
        instance.live = 0;
        instance.turn = 0;
        for (std::size_t other = 0; other < m_instances.size(); ++other) {
            if (&m_instances[other] == &instance || m_now - instance.heardAt[other] > liveTime)
                continue;
            ++instance.live;
            instance.turn += mixBits(m_instances[other].hash) < mixBits(instance.hash);
        }
        instance.rollout.members = std::max(instance.rollout.members, 1 + instance.live);
    }

    void adoptRow(Instance& instance, const Row& row)
    {
        instance.known = row;
        if (row.generation)
            advancePosition(instance.rollout, { .generation = row.generation, .phase = row.phase }, m_now);
    }

    void readRow(Instance& instance) { adoptRow(instance, m_row); }

    void sendUpdate(std::size_t number)
    {
        Instance& instance = m_instances[number];
        if (isCutOff(instance))
            return;
        auto update = std::make_shared<Update>();
        update->from = number;
        update->knowsOrder = instance.hasOrder;
        update->position = instance.rollout.position;
        update->beatGeneration = instance.rollout.beatGeneration;
        update->beat = instance.rollout.beat;
        update->beatAge = m_now - instance.rollout.heardAt;
        update->oldInProgress = instance.oldInProgress;
        update->counts = instance.counts.counts;
        for (std::size_t other = 0; other < m_instances.size(); ++other) {
            if (other == number || m_instances[other].hasEnded || m_now < m_instances[other].startsAt || isCutOff(m_instances[other]))
                continue;
            double draw = uniform();
            if (draw < m_options.lostUpdates)
                continue;
            // A frozen instance reads what arrived in the meantime when it goes on.
            if (draw < m_options.lostUpdates + m_options.lateUpdates)
                m_instances[other].lateUpdates.emplace_back(m_now + between(Duration::zero(), std::chrono::seconds(1)), update);
            else if (m_now < m_instances[other].frozenUntil)
                m_instances[other].lateUpdates.emplace_back(m_now, update);
            else
                receive(other, *update);
        }
    }

    void receive(std::size_t number, const Update& update)
    {
        Instance& instance = m_instances[number];
        instance.heardAt[update.from] = m_now;
        if (!update.knowsOrder || !instance.hasOrder)
            return;
        advancePosition(instance.rollout, update.position, m_now);
        recordBeat(instance.rollout, update.beatGeneration, update.beat, update.beatAge, m_now);
        instance.members[update.from] = { .hash = m_instances[update.from].hash, .heardAt = m_now, .position = update.position, .oldInProgress = update.oldInProgress };
        if (instance.turn < judgingInstances || holds(instance))
            mergeCounts(instance.evidence, m_instances[update.from].hash, update.incarnation, update.counts);
    }

    static bool holds(const Instance& instance) { return instance.ownGeneration && instance.ownGeneration == instance.rollout.position.generation; }

    void decide(std::size_t number)
    {
        Instance& instance = m_instances[number];
        bool isHolder = holds(instance);
        if (isHolder)
            holdRollout(instance.rollout, instance.heardAt, m_now);
        RolloutHolderInput input { .rollout = &instance.rollout, .isHolder = isHolder, .turn = instance.turn };
        input.isStoreReachable = isStoreUp() && !isCutOff(instance) && !instance.write;
        for (const Target& target : m_targets)
            (target.isNew ? input.newSlots : input.oldSlots) += m_now >= target.downUntil ? m_options.slots : 0;
        input.ownOldInProgress = instance.oldInProgress;
        if (instance.turn < judgingInstances || isHolder) {
            mergeCounts(instance.evidence, instance.hash, instance.incarnation, instance.counts.counts);
            RolloutJudgement judgement = judge(instance.evidence);
            input.verdict = judgement.verdict;
            if (isHolder && !m_result.finalStates)
                m_result.judgement = judgement;
        }
        if (isHolder) {
            for (const RolloutMember& member : instance.members) {
                if (member.heardAt != SteadyTime())
                    input.members.push_back(member);
            }
        }
        RolloutStep next = nextStep(input, m_now);
        if (next.action != RolloutAction::None && !m_result.finalStates)
            m_result.reason = next.reason;
        perform(instance, next.action);
    }

    void perform(Instance& instance, RolloutAction action)
    {
        RolloutPhase phase = instance.rollout.position.phase;
        switch (action) {
        case RolloutAction::None:
            return;
        case RolloutAction::Stop:
            instance.rollout.position.isStopped = true;
            return;
        case RolloutAction::TakeOver:
            readRow(instance);
            if (!isFinal(m_row.phase))
                write(instance, { .generation = m_row.generation + 1, .phase = std::max(m_row.phase, RolloutPhase::Sample) });
            return;
        case RolloutAction::BeginLoad:
            phase = RolloutPhase::Load;
            break;
        case RolloutAction::BeginSwitch:
            phase = RolloutPhase::Switch;
            break;
        case RolloutAction::Succeed:
            phase = RolloutPhase::Succeeded;
            break;
        case RolloutAction::RollBack:
            phase = RolloutPhase::RolledBack;
            break;
        }
        write(instance, { .generation = instance.ownGeneration, .phase = phase });
    }

    // The store.

    void write(Instance& instance, Row row)
    {
        row.revision = instance.known.revision + 1;
        SteadyTime effectAt = m_now + between(std::chrono::milliseconds(5), std::chrono::milliseconds(40));
        SteadyTime answerAt = effectAt + (uniform() < m_options.lostAnswers ? Duration(std::chrono::milliseconds(700)) : Duration(std::chrono::milliseconds(15)));
        instance.write = Write { .effectAt = effectAt, .answerAt = answerAt, .revision = instance.known.revision, .row = row };
    }

    /// The effect and the answer of a write; an answer that is lost is replaced by reading the row.
    void answerWrites(Instance& instance)
    {
        if (!instance.write)
            return;
        Write& write = *instance.write;
        if (!write.isDone && m_now >= write.effectAt) {
            write.isDone = true;
            if (isStoreUp() && !isCutOff(instance) && m_row.revision == write.revision) {
                write.isApplied = true;
                m_row = write.row;
                if (m_row.phase == RolloutPhase::Switch)
                    m_result.switchAfter = m_now - m_orderedAt;
                if (isFinal(m_row.phase))
                    recordFinalState();
            }
        }
        if (!write.isDone || m_now < write.answerAt || !isStoreUp() || isCutOff(instance))
            return;
        if (write.isApplied)
            instance.ownGeneration = write.row.generation;
        instance.write.reset();
        readRow(instance);
    }

    void recordFinalState()
    {
        if (!m_result.finalStates++)
            m_result.finalAfter = m_now - m_orderedAt;
        if (m_row.phase != RolloutPhase::Succeeded)
            return;
        for (const Instance& instance : m_instances)
            m_result.oldInProgressAtEnd += isRunning(instance) && !isCutOff(instance) ? instance.oldInProgress : 0;
    }

    RolloutReplayOptions m_options;
    std::mt19937 m_random;
    double m_answerTime;
    SteadyTime m_now { std::chrono::hours(1) };
    SteadyTime m_orderedAt { m_now + std::chrono::seconds(2) };
    SteadyTime m_burstAt;
    std::optional<SteadyTime> m_manyBadAt;
    bool m_hasCrashed { false };
    bool m_isHolderLost { false };
    bool m_isFaultDone { false };
    int m_partCrashes { 0 };
    double m_slowness { 3 };
    std::vector<Target> m_targets;
    std::vector<SampleCandidate> m_candidates;
    std::vector<Instance> m_instances;
    std::vector<double> m_weights;
    std::deque<Attempt> m_attempts;
    std::vector<Attempt*> m_inProgress;
    Row m_row;
    RolloutResult m_result;
};

} // namespace limpetpond
