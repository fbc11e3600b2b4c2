#include "base/Hash.h"

#define XXH_INLINE_ALL
#include <array>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace limpetpond {

std::string sha256Hex(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    std::string hex;
    hex.reserve(2 * digest.size());
    for (unsigned char byte : digest) {
        hex += digits[byte >> 4];
        hex += digits[byte & 15];
    }
    return hex;
}

bool constantTimeEquals(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t hashBody(std::string_view body)
{
    std::uint64_t hash = XXH3_64bits(body.data(), body.size());
    return hash ? hash : 1;
}

} // namespace limpetpond
