#pragma once

/// Hashes of secrets, keys and bodies.

#include <cstdint>
#include <string>
#include <string_view>

namespace limpetpond {

/// The SHA-256 of the text in lower-case hexadecimal.
///
///     sha256Hex("").substr(0, 8) == "e3b0c442";
std::string sha256Hex(std::string_view text);

/// Compares two texts in a time that depends only on their lengths, so that it can compare secrets.
///
///     constantTimeEquals(received, expected);
bool constantTimeEquals(std::string_view a, std::string_view b);

/// The 64-bit XXH3 hash of a body, with 1 in place of 0.
///
///     hashBody(request.body);
std::uint64_t hashBody(std::string_view body);

} // namespace limpetpond
