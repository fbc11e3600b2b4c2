#pragma once

/// Which targets probably hold which blocks of prompt prefixes in their caches.
///
/// Filled from own dispatches and from cache events, both only hints. Each target's entries
/// are clampRate by its cache's capacity and replaced by the clock algorithm, as a model of the
/// engine's own replacement of least recently used blocks.

#include "limpetpond/Units.h"
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <vector>

namespace limpetpond {

/// Prompt tokens of one block, for the bound of an engine's cache.
constexpr TokenCount prefixBlockTokens { 64 };

/// A bit for each target, with a fixed number of words for each block.
struct PrefixIndex {
    struct TargetRing {
        std::vector<std::uint32_t> entries; ///< Entry numbers in the order of the clock's hand.
        std::size_t capacity { 0 }; ///< Blocks; the ring fills before the hand moves.
        std::size_t clockPosition { 0 };
    };

    std::size_t wordsPerBlock { 1 }; ///< 64 targets a word.
    boost::unordered_flat_map<std::uint64_t, std::uint32_t> entryByBlock; ///< Block hash to entry; looked up, never iterated.
    std::vector<std::uint64_t> blockByEntry; ///< Entry to block hash.
    std::vector<std::uint64_t> holders; ///< Entry times words: targets that hold the block.
    std::vector<std::uint64_t> recentlyUsed; ///< Entry times words: touched since the hand passed.
    std::vector<std::uint64_t> ringMembers; ///< Entry times words: has a place in the target's ring, held or not.
    std::vector<std::uint32_t> freeEntries;
    std::vector<TargetRing> rings;
    std::vector<std::uint64_t> scratch;
};

/// Which blocks were asked for lately, whether a cache holds them or not; two generations of a
/// bit set, so that memory stays clampRate. A few blocks are taken for seen that were not.
struct SeenBlocks {
    std::vector<std::uint64_t> current;
    std::vector<std::uint64_t> previous;
    std::size_t added { 0 }; ///< Blocks noted in the current generation.
};

/// Notes a block; tells whether a block was noted lately.
///
///     markSeen(seen, block);
///     wasSeen(seen, block) == true;
void markSeen(SeenBlocks&, std::uint64_t block);
bool wasSeen(const SeenBlocks&, std::uint64_t block);

/// Makes room for `targets` targets; targets keep their numbers.
///
///     resizeTargets(index, 20);
///     setCapacity(index, 0, TokenCount(200'000));
void resizeTargets(PrefixIndex&, std::size_t targets);

/// Sets a target's capacity and forgets what it held.
///
///     setCapacity(index, 3, TokenCount(200'000));
void setCapacity(PrefixIndex&, std::size_t target, TokenCount capacity);

/// Notes that the target holds the blocks now.
///
///     insert(index, 3, request.prefixBlocks);
void insert(PrefixIndex&, std::size_t target, const std::vector<std::uint64_t>& blocks);

/// Notes that the target no longer holds the blocks.
///
///     erase(index, 3, change.evicted);
void erase(PrefixIndex&, std::size_t target, const std::vector<std::uint64_t>& blocks);

/// Forgets everything that the target held, for example after its restart.
///
///     clearTarget(index, 3);
void clearTarget(PrefixIndex&, std::size_t target);

/// Writes for each target how many leading blocks it holds; `matched` is resized to the targets.
///
///     matchAll(index, request.prefixBlocks, matched);
///     int held = matched[3];
void matchAll(PrefixIndex&, const std::vector<std::uint64_t>& blocks, std::vector<int>& matched);

} // namespace limpetpond
