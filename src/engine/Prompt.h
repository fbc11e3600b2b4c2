#pragma once

/// The prompt of an OpenAI-compatible request: its text, its estimated tokens and its block hashes.
/// Engines name the blocks of their prefix caches by the same hashes.

#include "limpetpond/Errors.h"
#include "limpetpond/Units.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace limpetpond {

/// The estimate of bytes that one token holds.
constexpr std::size_t bytesPerToken = 4;

/// Tokens in one block of a prefix cache.
constexpr std::size_t tokensPerBlock = 16;

/// What a request asks an engine for.
struct PromptRequest {
    std::string model;
    std::string prompt; ///< Chat: each message as role, newline, content, newline.
    TokenCount maxAnswerTokens; ///< `max_tokens`, or 0 where it isn't given.
    bool stream { false };
};

/// Reads the body of `/v1/chat/completions` or `/v1/completions`. Fails with `InvalidSetting`,
/// whose name is the field at fault.
///
///     Result<PromptRequest> request = parsePrompt(body);
Result<PromptRequest> parsePrompt(std::string_view body);

/// The estimated number of tokens of a text, rounded up.
///
///     estimateTokens("four").count() == 1;
TokenCount estimateTokens(std::string_view text);

/// Chained XXH64 hashes of the whole blocks of a prompt, first block first.
///
///     std::vector<std::uint64_t> blocks = prefixBlocks(request.prompt);
std::vector<std::uint64_t> prefixBlocks(std::string_view prompt);

} // namespace limpetpond
