#include "operator/OperatorHandler.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace limpetpond {

namespace detail {

    namespace {

        namespace json = boost::json;

        std::int64_t milliseconds(Duration time)
        {
            return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
        }

        json::value optionalMilliseconds(const std::optional<Duration>& time)
        {
            return time ? json::value(milliseconds(*time)) : json::value();
        }

        json::string text(std::string_view value)
        {
            return json::string(value.data(), value.size());
        }

        json::object instanceAsJson(const InstanceStatus& instance)
        {
            return {
                { "instance", instance.instance.value() },
                { "state", text(toString(instance.state)) },
                { "listed", instance.listed },
                { "leaving", instance.leaving },
                { "version", instance.version.value() },
                { "lastHeardMs", optionalMilliseconds(instance.lastSeenAge) },
            };
        }

        json::object poolAsJson(const PoolStatus& pool)
        {
            json::object waiting;
            for (const auto& [tier, count] : pool.waitingByTier)
                waiting[std::to_string(tier.level)] = count;
            return {
                { "pool", pool.pool.value() },
                { "waiting", pool.waiting },
                { "inProgress", pool.inProgress },
                { "floor", pool.floor.level },
                { "waitingByTier", std::move(waiting) },
            };
        }

        json::object targetAsJson(const TargetControlStatus& target, SteadyTime now)
        {
            json::array missing;
            for (const InstanceId& instance : target.drain.notConfirmed)
                missing.emplace_back(instance.value());
            std::optional<Duration> wait;
            if (target.drain.unreachableWorkUntil)
                wait = std::max(*target.drain.unreachableWorkUntil - now, Duration(0));
            return {
                { "target", target.target.value() },
                { "pool", target.pool.value() },
                { "mark", text(toString(target.drain.state)) },
                { "requestsInProgress", target.drain.requestsInProgress },
                { "tokensInProgress", target.drain.tokensInProgress.count() },
                { "requestsHere", target.requestsHere },
                { "tokensHere", target.tokensHere.count() },
                { "ejected", target.ejected },
                { "notConfirmed", std::move(missing) },
                { "waitsForUnheardMs", optionalMilliseconds(wait) },
            };
        }

        json::object alarmAsJson(const ActiveAlarm& alarm)
        {
            return { { "alarm", text(toString(alarm.kind)) }, { "subject", alarm.subject }, { "ageMs", milliseconds(alarm.age) } };
        }

    } // namespace

} // namespace detail

std::string statusAsJson(const ControlStatus& status, const std::vector<EffectiveSetting>& processSettings, SteadyTime now)
{
    boost::json::array instances;
    for (const InstanceStatus& instance : status.instances)
        instances.push_back(detail::instanceAsJson(instance));
    boost::json::array pools;
    for (const PoolStatus& pool : status.pools)
        pools.push_back(detail::poolAsJson(pool));
    boost::json::array targets;
    for (const TargetControlStatus& target : status.targets)
        targets.push_back(detail::targetAsJson(target, now));
    boost::json::array alarms;
    for (const ActiveAlarm& alarm : status.alarms)
        alarms.push_back(detail::alarmAsJson(alarm));
    boost::json::object process;
    for (const EffectiveSetting& setting : processSettings)
        process[setting.name] = setting.value;
    return boost::json::serialize(boost::json::object {
        { "instance", status.self.value() },
        { "incarnation", status.incarnation.value() },
        { "ready", status.ready },
        { "mayDispatch", status.mayDispatch },
        { "hearsMajority", status.reachesMajority },
        { "storeReachable", status.storeReachable },
        { "version", status.version.value() },
        { "highestKnown", status.highestKnown.value() },
        { "majorityVersion", status.majorityVersion.value() },
        { "confirmedAgeMs", detail::optionalMilliseconds(status.confirmedAge) },
        { "ageMs", detail::milliseconds(now - status.takenAt) },
        { "instances", std::move(instances) },
        { "pools", std::move(pools) },
        { "targets", std::move(targets) },
        { "alarms", std::move(alarms) },
        { "process", std::move(process) },
    });
}

} // namespace limpetpond
