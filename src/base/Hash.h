#pragma once

/// Hashes of keys, bodies and prompts.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace limpetpond {

/// Bytes of the rendered prompt in one hashed block.
inline constexpr std::size_t kPrefixBlockBytes = 256;

/// The SHA-256 of the text in lower-case hexadecimal.
///
///     sha256Hex("").substr(0, 8) == "e3b0c442";
std::string sha256Hex(std::string_view text);

/// Compares two texts in a time that depends on their lengths only.
///
///     constantTimeEquals(given, expected);
bool constantTimeEquals(std::string_view a, std::string_view b);

/// A 64-bit hash of a body, never 0.
///
///     hashBody(request.body);
std::uint64_t hashBody(std::string_view body);

/// Chained hashes of the prompt's whole blocks, first block first; each covers all before it.
/// Equal prompts in one pool hash alike for every client account.
///
///     hashPrefixBlocks("pool", prompt).size() == prompt.size() / kPrefixBlockBytes;
std::vector<std::uint64_t> hashPrefixBlocks(std::string_view pool, std::string_view prompt);

} // namespace limpetpond
