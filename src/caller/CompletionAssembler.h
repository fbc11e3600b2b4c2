#pragma once

/// Assembles a whole OpenAI-compatible answer from the chunks of a stream.

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <string_view>

namespace limpetpond {

enum class CompletionKind {
    Chat,
    Text,
};

/// Chunks are added in order; `toJson` returns the answer that a call without streaming expects.
///
///     CompletionAssembler assembler(CompletionKind::Chat);
///     assembler.addChunk(chunkJson);
class CompletionAssembler {
public:
    explicit CompletionAssembler(CompletionKind);

    /// Returns false when the chunk is not a JSON object.
    bool addChunk(std::string_view chunk);

    /// Returns the answer as JSON.
    std::string toJson() const;

private:
    struct Choice {
        boost::json::object message; ///< Only for Chat.
        std::string text; ///< Only for Text.
        boost::json::value finishReason;
    };

    void addChoice(const boost::json::object&);

    CompletionKind m_kind;
    boost::json::object m_common; ///< The first value of each other field, such as `id`, `created` and `model`.
    boost::json::value m_usage;
    std::map<std::int64_t, Choice> m_choices;
};

} // namespace limpetpond
