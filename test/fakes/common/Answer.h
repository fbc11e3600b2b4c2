#pragma once

/// The answer that the stand-in engine gives to a prompt. It depends on the prompt alone, so that
/// whoever knows the prompt can tell a foreign, torn or repeated answer byte for byte.

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>
#include <xxhash.h>

namespace limpetpond::fakes {

constexpr int defaultAnswerTokens = 16;

/// The tokens of the answer; each carries its place, so that no two orders read the same.
inline std::vector<std::string> answerTokens(std::string_view prompt, int count)
{
    const std::uint64_t seed = XXH64(prompt.data(), prompt.size(), 0);
    std::vector<std::string> tokens;
    tokens.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        std::uint64_t word = XXH64(&i, sizeof(i), seed);
        char text[32];
        std::snprintf(text, sizeof(text), "%d-%04x ", i, static_cast<unsigned>(word & 0xffff));
        tokens.emplace_back(text);
    }
    return tokens;
}

/// The whole answer as one text.
inline std::string answerText(std::string_view prompt, int count)
{
    std::string out;
    for (const std::string& token : answerTokens(prompt, count))
        out += token;
    return out;
}

/// The name under which the stand-in engine counts the runs of a prompt.
inline std::string promptName(std::string_view prompt)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(XXH64(prompt.data(), prompt.size(), 0)));
    return text;
}

} // namespace limpetpond::fakes
