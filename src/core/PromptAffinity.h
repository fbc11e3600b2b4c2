#pragma once

/// Estimates which targets have the shared parts of a prompt in their caches, so that requests go where least of it is read.
///
/// Load pattern: requests share long parts of their prompts. A target that has read a part keeps it for later requests; any
/// other target reads it again, which takes its time from all requests there. Every instance maps each long part to the same
/// target by rendezvous hashing, without messages, and remembers to which other targets it has sent the part lately.

#include "core/CrashingParts.h"
#include "limpetpond/Clock.h"
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace limpetpond {

/// One part of a prompt that other requests may share.
struct SharedPart {
    PromptPart part;
    double tokens { 0 };
};

/// The targets to which this instance has sent requests with long parts lately; bounded.
struct PartUses {
    struct Use {
        std::uint32_t target { 0 }; ///< Hash of the id.
        SteadyTime at;
    };
    std::unordered_map<PromptPart, std::vector<Use>> recent;
    std::unordered_map<PromptPart, std::vector<Use>> older;
};

/// Whether the parts are long enough for their caches to matter.
bool hasLongParts(const std::vector<SharedPart>&);

/// Records that a request with these parts was sent to a target.
///
///     recordUse(pool.partUses, facts.sharedParts, targetHash, now);
void recordUse(PartUses&, const std::vector<SharedPart>&, std::uint32_t target, SteadyTime now);

/// The tokens of the prompt that each target is expected to have in its cache, in the order of `targets`, which holds the
/// hashes of their ids. Empty where no part is long enough to matter.
///
///     input.cachedTokens = cachedTokens(pool.partUses, facts.sharedParts, targetHashes, now);
std::vector<double> cachedTokens(const PartUses&, const std::vector<SharedPart>&, const std::vector<std::uint32_t>& targets, SteadyTime now);

} // namespace limpetpond
