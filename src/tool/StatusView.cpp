#include "tool/StatusView.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <set>

namespace limpetpond::tool {

namespace detail {

    namespace {

        namespace json = boost::json;

        json::object parseObject(const std::string& text)
        {
            json::error_code error;
            json::value value = json::parse(text, error);
            return value.is_object() ? value.get_object() : json::object();
        }

        std::string fieldText(const json::object& object, std::string_view name)
        {
            const json::value* value = object.if_contains(name);
            if (!value || value->is_null())
                return "-";
            return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
        }

        json::array arrayField(const json::object& object, std::string_view name)
        {
            const json::value* value = object.if_contains(name);
            return value && value->is_array() ? value->get_array() : json::array();
        }

        bool isTrue(const json::object& object, std::string_view name)
        {
            const json::value* value = object.if_contains(name);
            return value && value->is_bool() && value->get_bool();
        }

        /// Text padded to a width, with a space after it; longer text is cut and ends in a tilde.
        std::string cell(std::string text, std::size_t width)
        {
            if (text.size() > width) {
                text.resize(width - 1);
                text += '~';
            }
            text.resize(width, ' ');
            return text + " ";
        }

        void addLine(std::string& out, std::string line)
        {
            if (line.size() > screenColumns) {
                line.resize(screenColumns - 1);
                line += '~';
            }
            while (!line.empty() && line.back() == ' ')
                line.pop_back();
            out += line + "\n";
        }

        void addInstances(std::string& out, const std::vector<InstanceAnswer>& answers)
        {
            addLine(out, cell("INSTANCE", 16) + cell("ADDRESS", 21) + cell("STATE", 12) + cell("VERSION", 8) + cell("MAJORITY", 8) + "CONFIRMED");
            for (const InstanceAnswer& answer : answers) {
                if (!answer.status) {
                    addLine(out, cell("-", 16) + cell(answer.address, 21) + answer.failure);
                    continue;
                }
                json::object status = parseObject(*answer.status);
                std::string state = isTrue(status, "ready") ? "ready" : isTrue(status, "mayDispatch") ? "not ready"
                                                                                                      : "stale";
                addLine(out, cell(fieldText(status, "instance"), 16) + cell(answer.address, 21) + cell(state, 12) + cell(fieldText(status, "version"), 8) + cell(fieldText(status, "majorityVersion"), 8) + fieldText(status, "confirmedAgeMs") + " ms ago");
            }
        }

        void addPeers(std::string& out, const json::object& status)
        {
            for (const json::value& item : arrayField(status, "instances")) {
                const json::object& peer = item.as_object();
                if (fieldText(peer, "state") == "live")
                    continue;
                addLine(out, "  " + cell(fieldText(peer, "instance"), 16) + "is " + fieldText(peer, "state") + ", last heard " + fieldText(peer, "lastHeardMs") + " ms ago");
            }
        }

        void addPools(std::string& out, const json::object& status)
        {
            json::array pools = arrayField(status, "pools");
            if (pools.empty())
                return;
            out += "\n";
            addLine(out, cell("POOL", 24) + cell("WAITING", 8) + cell("RUNNING", 8) + cell("FLOOR", 6) + "WAITING BY TIER");
            for (const json::value& item : pools) {
                const json::object& pool = item.as_object();
                addLine(out, cell(fieldText(pool, "pool"), 24) + cell(fieldText(pool, "waiting"), 8) + cell(fieldText(pool, "inProgress"), 8) + cell(fieldText(pool, "floor"), 6) + fieldText(pool, "waitingByTier"));
            }
        }

        void addTargets(std::string& out, const json::object& status)
        {
            json::array targets = arrayField(status, "targets");
            if (targets.empty())
                return;
            out += "\n";
            addLine(out, cell("TARGET", 20) + cell("POOL", 16) + cell("MARK", 9) + cell("REQUESTS", 9) + cell("TOKENS", 9) + "NOTE");
            for (const json::value& item : targets) {
                const json::object& target = item.as_object();
                std::string note = isTrue(target, "ejected") ? "ejected" : "";
                if (std::size_t missing = arrayField(target, "notConfirmed").size())
                    note += "waits for " + std::to_string(missing);
                addLine(out, cell(fieldText(target, "target"), 20) + cell(fieldText(target, "pool"), 16) + cell(fieldText(target, "mark"), 9) + cell(fieldText(target, "requestsInProgress"), 9) + cell(fieldText(target, "tokensInProgress"), 9) + note);
            }
        }

        void addAlarms(std::string& out, const std::vector<InstanceAnswer>& answers)
        {
            std::set<std::string> lines;
            for (const InstanceAnswer& answer : answers) {
                json::object status = answer.status ? parseObject(*answer.status) : json::object();
                for (const json::value& item : arrayField(status, "alarms"))
                    lines.insert("ALARM " + cell(fieldText(status, "instance"), 16) + fieldText(item.as_object(), "alarm") + ": " + fieldText(item.as_object(), "subject"));
            }
            if (!lines.empty())
                out += "\n";
            for (const std::string& line : lines)
                addLine(out, line);
        }

    } // namespace

} // namespace detail

std::string statusText(const std::vector<InstanceAnswer>& answers)
{
    std::string out;
    detail::addInstances(out, answers);
    auto first = std::ranges::find_if(answers, [](const InstanceAnswer& answer) { return answer.status.has_value(); });
    if (first != answers.end()) {
        boost::json::object status = detail::parseObject(*first->status);
        detail::addPeers(out, status);
        detail::addPools(out, status);
        detail::addTargets(out, status);
    }
    detail::addAlarms(out, answers);
    return out;
}

std::string statusJson(const std::vector<InstanceAnswer>& answers)
{
    boost::json::object all;
    for (const InstanceAnswer& answer : answers)
        all[answer.address] = answer.status ? boost::json::value(detail::parseObject(*answer.status)) : boost::json::value();
    return boost::json::serialize(all);
}

} // namespace limpetpond::tool
