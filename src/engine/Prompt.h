#pragma once

/// The prompt of an OpenAI-compatible request: text, estimated number of tokens and block hashes.
/// Engines identify the blocks of their prefix caches by the same hashes.

#include "limpetpond/Errors.h"
#include "limpetpond/Units.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace limpetpond {

/// Estimated bytes of text in one token.
constexpr std::size_t bytesPerToken = 4;

/// Number of tokens in one block of a prefix cache.
constexpr std::size_t tokensPerBlock = 16;

/// The fields of a request that scheduling uses.
struct PromptRequest {
    std::string model;
    std::string prompt; ///< For a chat, each message as role, newline, content, newline.
    TokenCount maxAnswerTokens; ///< `max_tokens` or `max_completion_tokens`; 0 if neither is given.
    bool stream { false };
};

/// Parses the body of `/v1/chat/completions` or `/v1/completions`. Fails with `InvalidSetting`,
/// whose name is the invalid field.
///
///     Result<PromptRequest> request = parsePrompt(body);
Result<PromptRequest> parsePrompt(std::string_view body);

/// Estimates the number of tokens in a text, rounded up.
///
///     estimateTokens("four").count() == 1;
TokenCount estimateTokens(std::string_view text);

/// Returns chained XXH64 hashes of the complete blocks of a prompt, first block first.
///
///     std::vector<std::uint64_t> blocks = prefixBlocks(request.prompt);
std::vector<std::uint64_t> prefixBlocks(std::string_view prompt);

} // namespace limpetpond
