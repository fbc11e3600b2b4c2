#pragma once

/// Hash functions that give the same result at every instance.

#include <cstdint>
#include <string_view>

namespace limpetpond {

/// The finalizer of SplitMix64: changing one input bit changes half of the output bits on average.
///
///     std::uint64_t hash = mixBits(block);
constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

/// The 64-bit FNV-1a hash of the text.
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
