#pragma once

/// Strong types for counted quantities; time uses `std::chrono`.

#include <compare>
#include <cstdint>

namespace limpetpond {

/// A whole number of a unit; only equal units add, subtract and compare.
///
///     TokenCount total = TokenCount { 100 } + TokenCount { 20 };
///     auto n = total.count();
template <typename Tag>
class Quantity {
public:
    constexpr Quantity() = default;
    constexpr explicit Quantity(std::int64_t count)
        : m_count(count)
    {
    }

    constexpr std::int64_t count() const { return m_count; }
    constexpr auto operator<=>(const Quantity&) const = default;

    constexpr Quantity& operator+=(Quantity other)
    {
        m_count += other.m_count;
        return *this;
    }
    constexpr Quantity& operator-=(Quantity other)
    {
        m_count -= other.m_count;
        return *this;
    }
    friend constexpr Quantity operator+(Quantity a, Quantity b) { return Quantity(a.m_count + b.m_count); }
    friend constexpr Quantity operator-(Quantity a, Quantity b) { return Quantity(a.m_count - b.m_count); }

private:
    std::int64_t m_count { 0 };
};

/// Tokens of a model's prompt or answer.
using TokenCount = Quantity<struct TokenCountTag>;

/// Bytes of memory or of a message.
using ByteCount = Quantity<struct ByteCountTag>;

/// A rate of prompt processing or generation, in tokens per second.
struct TokenRate {
    double perSecond { 0 };
    constexpr auto operator<=>(const TokenRate&) const = default;
};

} // namespace limpetpond
