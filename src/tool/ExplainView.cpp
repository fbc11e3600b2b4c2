#include "tool/ExplainView.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <set>
#include <span>
#include <string_view>

namespace limpetpond::tool {

namespace {

    namespace json = boost::json;

    /// Lines of a request's instances from this long before its first line on may show the cause.
    constexpr std::int64_t lookbackMs = 5'000;

    std::string textIn(const json::object& fields, json::string_view name)
    {
        const json::value* value = fields.if_contains(name);
        if (!value)
            return {};
        if (const json::string* text = value->if_string())
            return { text->data(), text->size() };
        if (const double* number = value->if_double()) {
            char digits[32];
            std::snprintf(digits, sizeof digits, "%.1f", *number);
            return digits;
        }
        return json::serialize(*value);
    }

    std::int64_t numberIn(const json::object& fields, json::string_view name)
    {
        const json::value* value = fields.if_contains(name);
        return value && value->is_number() ? value->to_number<std::int64_t>() : 0;
    }

    bool contains(std::span<const std::string_view> names, std::string_view name) { return std::ranges::find(names, name) != names.end(); }

    bool isInstanceEvent(const LogLine& line)
    {
        constexpr std::array<std::string_view, 11> events { "prompt_part_quarantined", "prompt_part_released", "started", "stopping", "store_lost", "store_regained", "settings_in_force", "settings_from_peer",
            "targets_from_peer", "peer_silent", "lines_left_out" };
        return contains(events, line.event);
    }

    bool isTargetEvent(const LogLine& line, const std::set<std::string>& targets)
    {
        constexpr std::array<std::string_view, 4> events { "target_changed", "target_dropped", "target_entry_unreadable", "target_crashed" };
        return contains(events, line.event) && targets.contains(textIn(line.fields, "target"));
    }

    std::vector<LogLine> findRelatedLines(const std::vector<LogLine>& lines, const std::vector<LogLine>& requestLines)
    {
        std::set<std::string> instances;
        std::set<std::string> targets;
        for (const LogLine& line : requestLines) {
            instances.insert(line.instance);
            targets.insert(textIn(line.fields, "target"));
        }
        std::vector<LogLine> relatedLines;
        for (const LogLine& line : lines) {
            bool isInPeriod = line.timeMs >= requestLines.front().timeMs - lookbackMs && line.timeMs <= requestLines.back().timeMs;
            if (isInPeriod && instances.contains(line.instance) && (isInstanceEvent(line) || isTargetEvent(line, targets)))
                relatedLines.push_back(line);
        }
        return relatedLines;
    }

    std::string meaningOfReason(const std::string& reason)
    {
        struct Meaning {
            std::string_view reason;
            std::string_view text;
        };
        constexpr Meaning meanings[] = {
            { "stopping", "its instance was stopping" },
            { "no_settings_yet", "its instance had no settings yet" },
            { "no_request_id", "it had no id" },
            { "no_route", "no route of the settings in force fits its host and path" },
            { "unknown_key", "no client account holds its key" },
            { "over_quota", "its client account's quota was used up" },
            { "crashing_prompt_part", "a part of its prompt has crashed several targets" },
            { "overloaded", "too many requests of its rank and above were waiting to be sent in time" },
            { "no_target", "its pool had no target that may be sent to" },
            { "waited_too_long", "no target had free capacity before the request expired" },
            { "deadline", "its deadline passed" },
            { "not_run", "every target that was tried said that it did not run it" },
            { "wrong_target", "the address of its target belongs to another one now" },
            { "not_connected", "its target could not be connected to" },
            { "connection_lost", "the connection to its target ended before the answer did" },
            { "bad_answer", "its target sent an answer that is malformed, too large or not its own" },
            { "failed_answer", "its target answered with a failure" },
            { "stalled", "its target sent nothing for too long" },
        };
        auto found = std::ranges::find(meanings, std::string_view(reason), &Meaning::reason);
        return found == std::end(meanings) ? reason : std::string(found->text);
    }

    /// Whether a target may have run the request.
    bool mayHaveRun(const std::vector<LogLine>& requestLines)
    {
        return std::ranges::any_of(requestLines, [](const LogLine& line) {
            constexpr std::array<std::string_view, 3> notRun { "not_run", "wrong_target", "not_connected" };
            return line.event == "send_ended" && !contains(notRun, textIn(line.fields, "end"));
        });
    }

    std::string lastTarget(const std::vector<LogLine>& requestLines)
    {
        auto sent = std::find_if(requestLines.rbegin(), requestLines.rend(), [](const LogLine& line) { return line.event == "request_sent"; });
        return sent == requestLines.rend() ? std::string() : textIn(sent->fields, "target");
    }

    std::string causeOfRefusal(const std::vector<LogLine>& requestLines, const LogLine& end)
    {
        std::string status = textIn(end.fields, "status");
        std::string cause = "answered " + status + ": " + meaningOfReason(textIn(end.fields, "reason"));
        std::string target = lastTarget(requestLines);
        if (!target.empty())
            cause += " (last sent to " + target + ")";
        cause += mayHaveRun(requestLines) ? "; it may have run" : "; it has not run";
        std::int64_t retryAfter = numberIn(end.fields, "retry_after_ms");
        if (retryAfter > 0)
            cause += "; its caller was asked to come back after " + std::to_string(retryAfter) + " ms";
        return cause;
    }

    std::string causeOf(const std::vector<LogLine>& requestLines)
    {
        const LogLine& end = requestLines.back();
        if (end.event == "request_refused")
            return causeOfRefusal(requestLines, end);
        if (end.event == "answer_cut")
            return "the answer was cut after it had begun: " + meaningOfReason(textIn(end.fields, "reason")) + " (last sent to " + lastTarget(requestLines) + ")";
        if (end.event == "caller_gone")
            return "its caller closed the connection";
        if (end.event == "send_ended" && textIn(end.fields, "end") == "answered")
            return "answered by " + textIn(end.fields, "target") + " after " + textIn(end.fields, "after_ms") + " ms";
        return "its last line is " + end.event + ": it was still in progress, its instance ended, or later lines are missing";
    }

    std::string fieldsText(const json::object& fields)
    {
        constexpr std::array<std::string_view, 5> shownElsewhere { "time_ms", "level", "instance", "event", "request" };
        std::string text;
        for (const auto& [name, value] : fields) {
            std::string key(name.data(), name.size());
            if (!contains(shownElsewhere, key))
                text += " " + key + "=" + textIn(fields, name);
        }
        return text;
    }

    std::string lineText(const LogLine& line, std::int64_t startMs, const char* mark)
    {
        char time[32];
        std::snprintf(time, sizeof time, "%+8lld ms", static_cast<long long>(line.timeMs - startMs));
        return std::string(time) + " " + mark + " " + line.instance + " " + line.event + fieldsText(line.fields) + "\n";
    }

} // namespace

std::vector<LogLine> readLogLines(std::istream& input)
{
    std::vector<LogLine> lines;
    std::string text;
    while (std::getline(input, text)) {
        std::size_t begin = text.find('{');
        if (begin == std::string::npos)
            continue;
        boost::system::error_code error;
        json::value value = json::parse(json::string_view(text.data() + begin, text.size() - begin), error);
        if (error || !value.is_object())
            continue;
        json::object fields = std::move(value.get_object());
        LogLine line { .timeMs = numberIn(fields, "time_ms"), .instance = textIn(fields, "instance"), .event = textIn(fields, "event") };
        line.fields = std::move(fields);
        lines.push_back(std::move(line));
    }
    return lines;
}

Explanation explain(const std::vector<LogLine>& lines, const std::string& request)
{
    Explanation explanation;
    for (const LogLine& line : lines) {
        if (textIn(line.fields, "request") == request)
            explanation.requestLines.push_back(line);
    }
    if (explanation.requestLines.empty())
        return explanation;
    std::ranges::stable_sort(explanation.requestLines, {}, &LogLine::timeMs);
    explanation.relatedLines = findRelatedLines(lines, explanation.requestLines);
    explanation.cause = causeOf(explanation.requestLines);
    return explanation;
}

std::string explanationText(const Explanation& explanation)
{
    if (explanation.requestLines.empty())
        return {};
    std::int64_t start = explanation.requestLines.front().timeMs;
    struct MarkedLine {
        const LogLine* line;
        const char* mark;
    };
    std::vector<MarkedLine> all;
    for (const LogLine& line : explanation.requestLines)
        all.push_back({ .line = &line, .mark = "*" });
    for (const LogLine& line : explanation.relatedLines)
        all.push_back({ .line = &line, .mark = " " });
    std::ranges::stable_sort(all, {}, [](const MarkedLine& marked) { return marked.line->timeMs; });
    std::string text;
    for (const MarkedLine& marked : all)
        text += lineText(*marked.line, start, marked.mark);
    return text + "cause: " + explanation.cause + "\n";
}

} // namespace limpetpond::tool
