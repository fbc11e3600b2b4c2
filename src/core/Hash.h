#pragma once

/// Hashes that every instance computes alike.

#include <cstdint>
#include <string_view>

namespace limpetpond {

/// The finalizer of SplitMix64: every bit of the input changes half of the output's bits.
///
///     std::uint64_t spread = mixBits(block);
constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

/// FNV-1a.
///
///     std::uint64_t hash = stableHash(target.value());
constexpr std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325;
    for (char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
    return hash;
}

} // namespace limpetpond
