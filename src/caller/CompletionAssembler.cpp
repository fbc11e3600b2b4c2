#include "caller/CompletionAssembler.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace limpetpond {

namespace {

    namespace json = boost::json;

    std::int64_t indexOf(const json::object& object)
    {
        const json::value* index = object.if_contains("index");
        return index && index->is_int64() ? index->get_int64() : 0;
    }

    /// Whether a string field of a delta is replaced by a later value. Other strings are appended.
    bool isReplacedField(std::string_view key)
    {
        constexpr std::array<std::string_view, 4> fields { "role", "id", "type", "name" };
        return std::find(fields.begin(), fields.end(), key) != fields.end();
    }

    void mergeDelta(json::object& into, const json::object& delta);

    void mergeList(json::array& into, const json::array& delta)
    {
        for (const json::value& item : delta) {
            if (!item.is_object()) {
                into.push_back(item);
                continue;
            }
            auto sameIndex = [&](const json::value& other) { return other.is_object() && indexOf(other.get_object()) == indexOf(item.get_object()); };
            auto found = std::find_if(into.begin(), into.end(), sameIndex);
            if (found == into.end())
                into.push_back(item);
            else
                mergeDelta(found->get_object(), item.get_object());
        }
    }

    void mergeDelta(json::object& into, const json::object& delta)
    {
        for (const auto& [key, value] : delta) {
            json::value* existing = into.if_contains(key);
            std::string_view name(key.data(), key.size());
            if (!existing || existing->is_null())
                into[key] = value;
            else if (existing->is_string() && value.is_string() && !isReplacedField(name))
                existing->get_string().append(value.get_string());
            else if (existing->is_object() && value.is_object())
                mergeDelta(existing->get_object(), value.get_object());
            else if (existing->is_array() && value.is_array())
                mergeList(existing->get_array(), value.get_array());
            else if (!value.is_null() && name != "index")
                *existing = value;
        }
    }

} // namespace

CompletionAssembler::CompletionAssembler(CompletionKind kind)
    : m_kind(kind)
{
}

bool CompletionAssembler::addChunk(std::string_view chunk)
{
    boost::system::error_code error;
    json::value value = json::parse(json::string_view(chunk.data(), chunk.size()), error);
    if (error || !value.is_object())
        return false;
    for (const auto& [key, field] : value.get_object()) {
        if (key == "choices" && field.is_array()) {
            for (const json::value& choice : field.get_array()) {
                if (choice.is_object())
                    addChoice(choice.get_object());
            }
        } else if (key == "usage") {
            if (!field.is_null())
                m_usage = field;
        } else if (!m_common.contains(key)) {
            m_common[key] = field;
        }
    }
    return true;
}

void CompletionAssembler::addChoice(const json::object& choice)
{
    Choice& assembled = m_choices[indexOf(choice)];
    if (const json::value* delta = choice.if_contains("delta"); delta && delta->is_object())
        mergeDelta(assembled.message, delta->get_object());
    if (const json::value* text = choice.if_contains("text"); text && text->is_string())
        assembled.text += text->get_string();
    if (const json::value* reason = choice.if_contains("finish_reason"); reason && !reason->is_null())
        assembled.finishReason = *reason;
}

std::string CompletionAssembler::toJson() const
{
    json::object answer = m_common;
    answer["object"] = m_kind == CompletionKind::Chat ? "chat.completion" : "text_completion";
    json::array choices;
    for (const auto& [index, assembled] : m_choices) {
        json::object choice { { "index", index } };
        if (m_kind == CompletionKind::Chat) {
            json::object message = assembled.message;
            if (!message.contains("role"))
                message["role"] = "assistant";
            if (!message.contains("content"))
                message["content"] = nullptr;
            choice["message"] = std::move(message);
        } else {
            choice["text"] = assembled.text;
        }
        choice["finish_reason"] = assembled.finishReason;
        choices.push_back(std::move(choice));
    }
    answer["choices"] = std::move(choices);
    if (!m_usage.is_null())
        answer["usage"] = m_usage;
    return json::serialize(answer);
}

} // namespace limpetpond
