#pragma once

/// The answer of the fake engine to a prompt. It depends on the prompt alone, so that a client can detect
/// an answer that belongs to another prompt, is truncated or repeats tokens.

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>
#include <xxhash.h>

namespace limpetpond::fakes {

constexpr int defaultAnswerTokens = 16;

/// The tokens of the answer; each contains its index, so that reordered tokens are detected.
inline std::vector<std::string> answerTokens(std::string_view prompt, int count)
{
    const std::uint64_t seed = XXH64(prompt.data(), prompt.size(), 0);
    std::vector<std::string> tokens;
    tokens.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        std::uint64_t hash = XXH64(&i, sizeof(i), seed);
        char text[32];
        std::snprintf(text, sizeof(text), "%d-%04x ", i, static_cast<unsigned>(hash & 0xffff));
        tokens.emplace_back(text);
    }
    return tokens;
}

/// The complete answer as one string.
inline std::string answerText(std::string_view prompt, int count)
{
    std::string text;
    for (const std::string& token : answerTokens(prompt, count))
        text += token;
    return text;
}

/// The key under which the fake engine counts the runs of a prompt: its hash in hexadecimal.
inline std::string promptName(std::string_view prompt)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(XXH64(prompt.data(), prompt.size(), 0)));
    return text;
}

} // namespace limpetpond::fakes
