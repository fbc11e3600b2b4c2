#include "tool/Commands.h"

#include "tool/StatusView.h"
#include "tool/TimelineView.h"
#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iostream>
#include <thread>

namespace limpetpond::tool {

namespace detail {

    namespace {

        constexpr std::string_view clearScreen = "\x1b[H\x1b[2J";

        std::string addressText(const Address& address)
        {
            return address.host + ":" + std::to_string(address.port);
        }

        /// Requests the status of every instance; an instance that doesn't answer gets an entry with the failure.
        /// Errors: rpc::OperatorRefused.
        Result<std::vector<InstanceAnswer>> requestStatuses(CommandContext& context)
        {
            std::vector<InstanceAnswer> answers;
            for (const Address& address : context.options.instances) {
                InstanceAnswer answer { .address = addressText(address) };
                BOOST_LEAF_CHECK(boost::leaf::try_handle_some(
                    [&]() -> Result<void> {
                        BOOST_LEAF_AUTO(status, context.client.statusOf(address));
                        answer.status = std::move(status);
                        return {};
                    },
                    [&](const Unreachable&) -> Result<void> {
                        answer.failure = "not reachable";
                        return {};
                    }));
                answers.push_back(std::move(answer));
            }
            return answers;
        }

        bool hasAnswer(const std::vector<InstanceAnswer>& answers)
        {
            return std::ranges::any_of(answers, [](const InstanceAnswer& answer) { return answer.status.has_value(); });
        }

        bool matchesFilters(const ToolOptions& options, const rpc::TimelineEvent& event)
        {
            if (!options.target.empty() && event.target != options.target)
                return false;
            return options.instance.empty() || event.process == options.instance;
        }

        std::string timelineJson(const std::vector<rpc::TimelineEvent>& events)
        {
            boost::json::array list;
            for (const rpc::TimelineEvent& event : events) {
                boost::json::object fields;
                for (const auto& [name, value] : event.fields)
                    fields[name] = value;
                list.push_back(boost::json::object { { "sequence", event.sequence }, { "systemMicros", event.systemMicros }, { "logicalTime", event.logicalTime }, { "process", event.process }, { "kind", event.kind }, { "request", event.request }, { "target", event.target }, { "fields", std::move(fields) } });
            }
            return boost::json::serialize(list) + "\n";
        }

        std::string render(const ToolOptions& options, const std::vector<rpc::TimelineEvent>& events)
        {
            if (options.html)
                return timelineHtml(events);
            if (options.chromeTrace)
                return timelineChromeTrace(events) + "\n";
            return options.json ? timelineJson(events) : timelineText(events);
        }

        Result<void> writeOutput(CommandContext& context, const std::string& text)
        {
            if (context.options.output.empty()) {
                context.out << text;
                return {};
            }
            std::ofstream file(context.options.output);
            file << text;
            if (!file.flush())
                return boost::leaf::new_error(InvalidSetting { .name = "--output", .value = context.options.output, .allowed = "a file that can be written" });
            return {};
        }

    } // namespace

} // namespace detail

Result<ExitCode> runStatus(CommandContext& context)
{
    while (true) {
        BOOST_LEAF_AUTO(answers, detail::requestStatuses(context));
        if (context.options.watch)
            context.out << detail::clearScreen;
        context.out << (context.options.json ? statusJson(answers) + "\n" : statusText(answers));
        context.out.flush();
        if (!context.options.watch)
            return detail::hasAnswer(answers) ? ExitCode::Done : ExitCode::Unreachable;
        std::this_thread::sleep_for(context.options.period);
    }
}

Result<ExitCode> runTimeline(CommandContext& context)
{
    std::vector<rpc::TimelineEvent> events;
    std::size_t unreachable = 0;
    for (const Address& address : context.options.instances) {
        BOOST_LEAF_CHECK(boost::leaf::try_handle_some(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(part, context.client.timelineOf(address, context.options.request));
                std::ranges::copy_if(part, std::back_inserter(events), [&](const rpc::TimelineEvent& event) { return detail::matchesFilters(context.options, event); });
                return {};
            },
            [&](const Unreachable& failure) -> Result<void> {
                std::cerr << "limpetpond: " << failure.detail << "; its events are missing\n";
                ++unreachable;
                return {};
            }));
    }
    if (unreachable == context.options.instances.size())
        return ExitCode::Unreachable;
    sortCausally(events);
    BOOST_LEAF_CHECK(detail::writeOutput(context, detail::render(context.options, events)));
    return ExitCode::Done;
}

} // namespace limpetpond::tool
