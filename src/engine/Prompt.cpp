#include "engine/Prompt.h"

#include <boost/json.hpp>
#include <limits>
#include <xxhash.h>

namespace limpetpond {

namespace {

    namespace json = boost::json;

    constexpr std::int64_t maxAnswerTokens = 1'000'000;

    auto invalidField(std::string name, std::string value, std::string allowed)
    {
        return boost::leaf::new_error(InvalidSetting { std::move(name), std::move(value), std::move(allowed) });
    }

    // The content of a chat message is text, null or a list of parts that all have text.
    Result<std::string> contentText(const json::value& content)
    {
        if (const json::string* text = content.if_string())
            return std::string(*text);
        if (content.is_null())
            return std::string();
        const json::array* parts = content.if_array();
        if (!parts)
            return invalidField("messages.content", json::serialize(content), "text or a list of parts");
        std::string out;
        for (const json::value& part : *parts) {
            const json::object* object = part.if_object();
            const json::value* text = object ? object->if_contains("text") : nullptr;
            if (!text || !text->is_string())
                return invalidField("messages.content", json::serialize(part), "parts of type text");
            out += text->get_string();
        }
        return out;
    }

    Result<std::string> chatText(const json::array& messages)
    {
        std::string out;
        for (const json::value& message : messages) {
            const json::object* object = message.if_object();
            const json::value* role = object ? object->if_contains("role") : nullptr;
            const json::value* content = object ? object->if_contains("content") : nullptr;
            if (!role || !role->is_string() || !content)
                return invalidField("messages", json::serialize(message), "objects with role and content");
            BOOST_LEAF_ASSIGN(std::string text, contentText(*content));
            out += role->get_string();
            out += '\n';
            out += text;
            out += '\n';
        }
        return out;
    }

    Result<std::string> promptText(const json::object& body)
    {
        if (const json::value* messages = body.if_contains("messages")) {
            if (!messages->is_array() || messages->get_array().empty())
                return invalidField("messages", json::serialize(*messages), "a list of at least one message");
            return chatText(messages->get_array());
        }
        const json::value* prompt = body.if_contains("prompt");
        if (!prompt)
            return invalidField("messages", "", "messages or prompt must be given");
        if (!prompt->is_string())
            return invalidField("prompt", json::serialize(*prompt), "text");
        return std::string(prompt->get_string());
    }

    Result<TokenCount> answerTokens(const json::object& body)
    {
        const json::value* value = body.if_contains("max_tokens");
        if (!value)
            value = body.if_contains("max_completion_tokens");
        if (!value || value->is_null())
            return TokenCount();
        if (!value->is_int64() || value->get_int64() < 1 || value->get_int64() > maxAnswerTokens)
            return invalidField("max_tokens", json::serialize(*value), "a whole number of tokens from 1 to 1000000");
        return TokenCount(value->get_int64());
    }

} // namespace

Result<PromptRequest> parsePrompt(std::string_view body)
{
    boost::system::error_code error;
    json::value parsed = json::parse(json::string_view(body.data(), body.size()), error);
    if (error || !parsed.is_object())
        return invalidField("body", "", "a JSON object");
    const json::object& object = parsed.get_object();
    const json::value* model = object.if_contains("model");
    if (!model || !model->is_string())
        return invalidField("model", model ? json::serialize(*model) : "", "text");
    const json::value* stream = object.if_contains("stream");
    if (stream && !stream->is_bool() && !stream->is_null())
        return invalidField("stream", json::serialize(*stream), "true or false");

    PromptRequest out;
    out.model = model->get_string();
    BOOST_LEAF_ASSIGN(out.prompt, promptText(object));
    BOOST_LEAF_ASSIGN(out.maxAnswerTokens, answerTokens(object));
    out.stream = stream && stream->is_bool() && stream->get_bool();
    return out;
}

TokenCount estimateTokens(std::string_view text)
{
    return TokenCount(static_cast<std::int64_t>((text.size() + bytesPerToken - 1) / bytesPerToken));
}

std::vector<std::uint64_t> prefixBlocks(std::string_view prompt)
{
    constexpr std::size_t blockBytes = tokensPerBlock * bytesPerToken;
    std::vector<std::uint64_t> blocks;
    blocks.reserve(prompt.size() / blockBytes);
    std::uint64_t chain = 0;
    for (std::size_t offset = 0; offset + blockBytes <= prompt.size(); offset += blockBytes) {
        chain = XXH64(prompt.data() + offset, blockBytes, chain);
        blocks.push_back(chain);
    }
    return blocks;
}

} // namespace limpetpond
