#pragma once

/// Hashes of keys and bodies.

#include <cstdint>
#include <string>
#include <string_view>

namespace limpetpond {

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

} // namespace limpetpond
