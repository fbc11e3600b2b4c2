#pragma once

/// Estimate of which targets have which blocks of prompt prefixes in their caches.
///
/// It is updated by this instance's dispatches and by cache events; both are only hints. The number of
/// entries of each target is bounded by its cache capacity. The clock algorithm replaces entries and so
/// approximates the engine's own replacement of the least recently used blocks.

#include "limpetpond/Units.h"
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <vector>

namespace limpetpond {

/// Prompt tokens in one block, to convert an engine's cache capacity to blocks.
constexpr TokenCount prefixBlockTokens { 64 };

/// Bit sets of targets, one per block, each with `wordsPerBlock` words.
struct PrefixIndex {
    struct TargetRing {
        std::vector<std::uint32_t> entries; ///< Entry numbers in clock order.
        std::size_t capacity { 0 }; ///< In blocks. Replacement starts when the ring is full.
        std::size_t clockPosition { 0 }; ///< The next candidate for replacement.
    };

    std::size_t wordsPerBlock { 1 }; ///< 64 targets per word.
    boost::unordered_flat_map<std::uint64_t, std::uint32_t> entryByBlock; ///< Block hash to entry; looked up, never iterated.
    std::vector<std::uint64_t> blockByEntry; ///< Entry to block hash.
    std::vector<std::uint64_t> holders; ///< Targets that have the entry's block cached, from word `entry * wordsPerBlock` on.
    std::vector<std::uint64_t> recentlyUsed; ///< Same layout: targets at which the block was used since the clock passed it.
    std::vector<std::uint64_t> ringMembers; ///< Same layout: targets whose ring contains the entry, cached or evicted.
    std::vector<std::uint32_t> freeEntries;
    std::vector<TargetRing> rings;
    std::vector<std::uint64_t> scratch;
};

/// The blocks of recent prompts, whether a target has them cached or not. Two generations of a hashed
/// bit set bound the memory; hash collisions cause a few false positives.
struct SeenBlocks {
    std::vector<std::uint64_t> current;
    std::vector<std::uint64_t> previous;
    std::size_t added { 0 }; ///< Blocks added to the current generation.
};

/// Marks a block as seen; `wasSeen` tells whether a block was marked recently.
///
///     markSeen(seen, block);
///     wasSeen(seen, block) == true;
void markSeen(SeenBlocks&, std::uint64_t block);
bool wasSeen(const SeenBlocks&, std::uint64_t block);

/// Grows the index to `targets` targets; existing targets keep their numbers.
///
///     resizeTargets(index, 20);
///     setCapacity(index, 0, TokenCount(200'000));
void resizeTargets(PrefixIndex&, std::size_t targets);

/// Sets the cache capacity of a target and removes its entries.
///
///     setCapacity(index, 3, TokenCount(200'000));
void setCapacity(PrefixIndex&, std::size_t target, TokenCount capacity);

/// Records that the target has the blocks cached.
///
///     insert(index, 3, request.prefixBlocks);
void insert(PrefixIndex&, std::size_t target, const std::vector<std::uint64_t>& blocks);

/// Records that the target has evicted the blocks.
///
///     erase(index, 3, change.evicted);
void erase(PrefixIndex&, std::size_t target, const std::vector<std::uint64_t>& blocks);

/// Removes all entries of a target, for example after its restart.
///
///     clearTarget(index, 3);
void clearTarget(PrefixIndex&, std::size_t target);

/// Writes to `matched`, for each target, how many leading blocks it has cached.
///
///     matchAll(index, request.prefixBlocks, matched);
///     int cachedBlocks = matched[3];
void matchAll(PrefixIndex&, const std::vector<std::uint64_t>& blocks, std::vector<int>& matched);

} // namespace limpetpond
