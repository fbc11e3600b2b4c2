#include "core/PromptAffinity.h"

#include "core/Hash.h"
#include <algorithm>

namespace limpetpond {

namespace {

    constexpr double minSharedTokens = 500; ///< A shorter prefix is read in a few milliseconds.
    constexpr Duration cacheTime = std::chrono::seconds(8); ///< A part that is unused for longer may have been replaced by others.
    constexpr std::size_t maxParts = 512; ///< In each of the two maps.
    constexpr std::size_t maxUses = 4; ///< Of one part.

    /// The target that every instance prefers for the part.
    std::size_t homeOf(PromptPart part, const std::vector<std::uint32_t>& targets)
    {
        auto isNearer = [part](std::uint32_t a, std::uint32_t b) { return mixBits(part.value() ^ mixBits(a)) < mixBits(part.value() ^ mixBits(b)); };
        return static_cast<std::size_t>(std::min_element(targets.begin(), targets.end(), isNearer) - targets.begin());
    }

    const std::vector<PartUses::Use>* usesOf(const PartUses& uses, PromptPart part)
    {
        for (const auto* map : { &uses.recent, &uses.older }) {
            if (auto found = map->find(part); found != map->end())
                return &found->second;
        }
        return nullptr;
    }

} // namespace

bool hasLongParts(const std::vector<SharedPart>& parts)
{
    double tokens = 0;
    for (const SharedPart& part : parts)
        tokens += part.tokens;
    return tokens >= minSharedTokens;
}

void recordUse(PartUses& uses, const std::vector<SharedPart>& parts, std::uint32_t target, SteadyTime now)
{
    if (!hasLongParts(parts))
        return;
    for (const SharedPart& shared : parts) {
        if (uses.recent.size() >= maxParts) {
            uses.older = std::move(uses.recent);
            uses.recent.clear();
        }
        if (!uses.recent.contains(shared.part)) {
            const std::vector<PartUses::Use>* known = usesOf(uses, shared.part);
            std::vector<PartUses::Use> copied = known ? *known : std::vector<PartUses::Use> {};
            uses.recent.emplace(shared.part, std::move(copied));
        }
        std::vector<PartUses::Use>& recent = uses.recent.at(shared.part);
        std::erase_if(recent, [target](const PartUses::Use& use) { return use.target == target; });
        if (recent.size() >= maxUses)
            recent.erase(recent.begin());
        recent.push_back({ .target = target, .at = now });
    }
}

std::vector<double> cachedTokens(const PartUses& uses, const std::vector<SharedPart>& parts, const std::vector<std::uint32_t>& targets, SteadyTime now)
{
    std::vector<double> cached;
    if (targets.empty() || !hasLongParts(parts))
        return cached;
    cached.resize(targets.size());
    double prefix = 0; // A part is in a cache only together with all parts before it.
    for (const SharedPart& shared : parts) {
        prefix += shared.tokens;
        if (prefix < minSharedTokens)
            continue;
        cached[homeOf(shared.part, targets)] = prefix;
        const std::vector<PartUses::Use>* used = usesOf(uses, shared.part);
        if (!used)
            continue;
        for (const PartUses::Use& use : *used) {
            auto found = std::find(targets.begin(), targets.end(), use.target);
            if (found != targets.end() && now - use.at < cacheTime)
                cached[static_cast<std::size_t>(found - targets.begin())] = prefix;
        }
    }
    return cached;
}

} // namespace limpetpond
