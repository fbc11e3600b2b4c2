#pragma once

/// Strong types for identifiers.
///
/// Ids of different kinds neither compare nor convert, so a target id can't be
/// passed where an instance id is expected.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace limpetpond {

/// A string id; `Tag` distinguishes the kinds.
///
///     TargetId target { "engine-1" };
///     log(target.value());
template <typename Tag>
class StringId {
public:
    StringId() = default;
    explicit StringId(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }
    auto operator<=>(const StringId&) const = default;

private:
    std::string m_value;
};

/// A numeric id; `Tag` distinguishes the kinds. Zero means "none".
///
///     SettingsVersion current { 12 };
///     if (current < SettingsVersion { 13 }) fetch();
template <typename Tag>
class NumericId {
public:
    constexpr NumericId() = default;
    constexpr explicit NumericId(std::uint64_t value)
        : m_value(value)
    {
    }

    constexpr std::uint64_t value() const { return m_value; }
    constexpr bool isNone() const { return !m_value; }
    constexpr auto operator<=>(const NumericId&) const = default;

private:
    std::uint64_t m_value { 0 };
};

using InstanceId = StringId<struct InstanceIdTag>;
using TargetId = StringId<struct TargetIdTag>;
using PoolId = StringId<struct PoolIdTag>;
using ClientAccountId = StringId<struct ClientAccountIdTag>;
using FailureDomainId = StringId<struct FailureDomainIdTag>;
using ModelId = StringId<struct ModelIdTag>;
using ChangeId = StringId<struct ChangeIdTag>;
using LeaseId = StringId<struct LeaseIdTag>;
using IdempotencyKey = StringId<struct IdempotencyKeyTag>;

/// The version of the software that a target runs.
using TargetVersion = StringId<struct TargetVersionTag>;

/// A request of a caller, whatever number of attempts it takes; unique across all instances.
using RequestId = StringId<struct RequestIdTag>;

/// One attempt to run a request at one target; unique across all instances.
using AttemptId = StringId<struct AttemptIdTag>;

/// The global version of the settings tree; each accepted change increments it.
using SettingsVersion = NumericId<struct SettingsVersionTag>;

/// The fencing number of a lease term; a target that checks it refuses lower numbers.
using FencingNumber = NumericId<struct FencingNumberTag>;

/// Identifies one start of an instance's process; each restart gets a higher number.
using Incarnation = NumericId<struct IncarnationTag>;

/// The level of a request tier; a larger level is more urgent.
struct TierLevel {
    std::uint32_t level { 0 };
    constexpr auto operator<=>(const TierLevel&) const = default;
};

} // namespace limpetpond

template <typename Tag>
struct std::hash<limpetpond::StringId<Tag>> {
    std::size_t operator()(const limpetpond::StringId<Tag>& id) const noexcept { return std::hash<std::string> {}(id.value()); }
};

template <typename Tag>
struct std::hash<limpetpond::NumericId<Tag>> {
    std::size_t operator()(const limpetpond::NumericId<Tag>& id) const noexcept { return std::hash<std::uint64_t> {}(id.value()); }
};
