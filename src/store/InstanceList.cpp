#include "store/InstanceList.h"

#include <boost/json.hpp>

namespace limpetpond {

namespace {

    namespace json = boost::json;

    auto malformed(std::string detail)
    {
        return boost::leaf::new_error(CallError { .failure = CallFailure::Malformed, .detail = std::move(detail) });
    }

    const json::value* memberOf(const json::object& object, json::string_view name)
    {
        return object.if_contains(name);
    }

    std::string textIn(const json::object& object, json::string_view name)
    {
        const json::value* value = memberOf(object, name);
        return value && value->is_string() ? std::string(value->get_string()) : std::string();
    }

    // A condition that is not set counts as `fallback`, as the Kubernetes API requires of consumers.
    bool conditionOf(const json::object& endpoint, json::string_view name, bool fallback)
    {
        const json::value* conditions = memberOf(endpoint, "conditions");
        if (!conditions || !conditions->is_object())
            return fallback;
        const json::value* value = memberOf(conditions->get_object(), name);
        return value && value->is_bool() ? value->get_bool() : fallback;
    }

    Result<int> portOf(const json::object& slice, std::string_view portName)
    {
        const json::value* ports = memberOf(slice, "ports");
        if (!ports || !ports->is_array())
            return malformed("an endpoint slice has no ports");
        for (const json::value& entry : ports->get_array()) {
            if (!entry.is_object() || textIn(entry.get_object(), "name") != portName)
                continue;
            const json::value* port = memberOf(entry.get_object(), "port");
            if (port && port->is_int64() && port->get_int64() > 0 && port->get_int64() <= 65'535)
                return static_cast<int>(port->get_int64());
        }
        return malformed("an endpoint slice has no port named " + std::string(portName));
    }

    Result<ListedInstance> instanceOf(const json::value& value, int port)
    {
        if (!value.is_object())
            return malformed("an endpoint must be an object");
        const json::object& endpoint = value.get_object();
        const json::value* addresses = memberOf(endpoint, "addresses");
        const json::value* reference = memberOf(endpoint, "targetRef");
        bool hasAddress = addresses && addresses->is_array() && !addresses->get_array().empty() && addresses->get_array().front().is_string();
        if (!hasAddress || !reference || !reference->is_object() || textIn(reference->get_object(), "name").empty())
            return malformed("an endpoint must have an address and a targetRef with a name");
        bool ready = conditionOf(endpoint, "ready", true);
        bool terminating = conditionOf(endpoint, "terminating", false);
        return ListedInstance {
            .instance = InstanceId(textIn(reference->get_object(), "name")),
            .host = std::string(addresses->get_array().front().get_string()),
            .port = port,
            .failureDomain = FailureDomainId(textIn(endpoint, "zone")),
            .leaving = terminating || !ready,
        };
    }

    Result<void> addSlice(const json::value& value, std::string_view portName, InstanceListRead& list)
    {
        if (!value.is_object())
            return malformed("an endpoint slice must be an object");
        const json::value* endpoints = memberOf(value.get_object(), "endpoints");
        if (!endpoints || endpoints->is_null())
            return {};
        if (!endpoints->is_array())
            return malformed("endpoints must be a list");
        if (endpoints->get_array().empty())
            return {};
        BOOST_LEAF_ASSIGN(int port, portOf(value.get_object(), portName));
        for (const json::value& endpoint : endpoints->get_array()) {
            BOOST_LEAF_ASSIGN(ListedInstance instance, instanceOf(endpoint, port));
            list.instances.push_back(std::move(instance));
        }
        return {};
    }

} // namespace

Result<InstanceListRead> parseInstanceList(std::string_view text, std::string_view portName)
{
    boost::system::error_code error;
    json::value value = json::parse(json::string_view(text.data(), text.size()), error);
    if (error || !value.is_object())
        return malformed("the instance list is not a JSON object");
    InstanceListRead list;
    if (textIn(value.get_object(), "kind") == "EndpointSlice") {
        BOOST_LEAF_CHECK(addSlice(value, portName, list));
        return list;
    }
    const json::value* items = memberOf(value.get_object(), "items");
    if (!items || !items->is_array())
        return malformed("the instance list has no items");
    for (const json::value& item : items->get_array())
        BOOST_LEAF_CHECK(addSlice(item, portName, list));
    return list;
}

Result<InstanceListRead> readInstanceList(HttpConnectionPool& pool, const InstanceListOptions& options)
{
    BOOST_LEAF_ASSIGN(HttpResponse answer, pool.call({ .path = options.path }));
    if (answer.status != 200)
        return boost::leaf::new_error(CallError { .failure = CallFailure::Refused, .status = answer.status, .detail = "the request for the instance list was answered with an error" });
    return parseInstanceList(answer.body, options.portName);
}

} // namespace limpetpond
