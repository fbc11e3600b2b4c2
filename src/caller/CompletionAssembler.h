#pragma once

/// Makes a whole OpenAI-compatible answer out of the chunks of a stream.

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <string_view>

namespace limpetpond {

enum class CompletionKind {
    Chat,
    Text,
};

/// Takes chunks in order; `toJson` returns the answer that a call without streaming expects.
///
///     CompletionAssembler assembler(CompletionKind::Chat);
///     assembler.addChunk(chunkJson);
class CompletionAssembler {
public:
    explicit CompletionAssembler(CompletionKind);

    /// False when the chunk is no JSON object.
    bool addChunk(std::string_view chunk);

    /// The answer as JSON.
    std::string toJson() const;

private:
    struct Choice {
        boost::json::object message; ///< Chat only.
        std::string text; ///< Text only.
        boost::json::value finishReason;
    };

    void addChoice(const boost::json::object&);

    CompletionKind m_kind;
    boost::json::object m_common; ///< `id`, `created`, `model` and others of the first chunk.
    boost::json::value m_usage;
    std::map<std::int64_t, Choice> m_choices;
};

} // namespace limpetpond
