#include "core/PrefixIndex.h"

#include "core/Hash.h"
#include <algorithm>
#include <bit>

namespace limpetpond {

namespace {

    constexpr std::size_t bitsPerWord = 64;
    constexpr std::size_t seenWords = 8'192;
    constexpr std::size_t maxSeenPerGeneration = 65'536; // blocks

    std::size_t wordOf(const PrefixIndex& index, std::uint32_t entry, std::size_t target)
    {
        return entry * index.wordsPerBlock + target / bitsPerWord;
    }

    std::uint64_t bitOf(std::size_t target)
    {
        return std::uint64_t { 1 } << (target % bitsPerWord);
    }

    std::uint32_t findOrAddEntry(PrefixIndex& index, std::uint64_t block)
    {
        auto found = index.entryByBlock.find(block);
        if (found != index.entryByBlock.end())
            return found->second;
        std::uint32_t entry = 0;
        if (index.freeEntries.empty()) {
            entry = static_cast<std::uint32_t>(index.blockByEntry.size());
            index.blockByEntry.push_back(block);
            index.holders.resize(index.holders.size() + index.wordsPerBlock);
            index.recentlyUsed.resize(index.recentlyUsed.size() + index.wordsPerBlock);
            index.ringMembers.resize(index.ringMembers.size() + index.wordsPerBlock);
        } else {
            entry = index.freeEntries.back();
            index.freeEntries.pop_back();
            index.blockByEntry[entry] = block;
        }
        index.entryByBlock.emplace(block, entry);
        return entry;
    }

    bool isInAnyRing(const PrefixIndex& index, std::uint32_t entry)
    {
        auto begin = index.ringMembers.begin() + static_cast<std::ptrdiff_t>(entry * index.wordsPerBlock);
        return std::any_of(begin, begin + static_cast<std::ptrdiff_t>(index.wordsPerBlock), [](std::uint64_t word) { return word; });
    }

    // Clears the entry's bits for the target and frees the entry if no ring contains it; the caller updates the ring.
    void removeFromRing(PrefixIndex& index, std::uint32_t entry, std::size_t target)
    {
        std::size_t word = wordOf(index, entry, target);
        index.holders[word] &= ~bitOf(target);
        index.recentlyUsed[word] &= ~bitOf(target);
        index.ringMembers[word] &= ~bitOf(target);
        if (isInAnyRing(index, entry))
            return;
        index.entryByBlock.erase(index.blockByEntry[entry]);
        index.freeEntries.push_back(entry);
    }

    // Adds the entry to the target's ring; if the ring is full, it replaces one that was not used recently.
    void addToRing(PrefixIndex& index, std::uint32_t entry, std::size_t target)
    {
        PrefixIndex::TargetRing& ring = index.rings[target];
        index.ringMembers[wordOf(index, entry, target)] |= bitOf(target);
        if (ring.entries.size() < ring.capacity) {
            ring.entries.push_back(entry);
            return;
        }
        while (true) {
            std::uint32_t& candidate = ring.entries[ring.clockPosition];
            ring.clockPosition = (ring.clockPosition + 1) % ring.entries.size();
            std::uint64_t& recent = index.recentlyUsed[wordOf(index, candidate, target)];
            if (!(recent & bitOf(target))) {
                removeFromRing(index, candidate, target);
                candidate = entry;
                return;
            }
            recent &= ~bitOf(target);
        }
    }

    // Writes `depth` for each target whose bit is set in the word.
    void writeMatched(std::uint64_t targets, std::size_t word, int depth, std::vector<int>& matched)
    {
        if (!depth)
            return;
        for (; targets; targets &= targets - 1) {
            std::size_t target = word * bitsPerWord + static_cast<std::size_t>(std::countr_zero(targets));
            if (target < matched.size())
                matched[target] = depth;
        }
    }

    void widen(PrefixIndex& index, std::size_t words)
    {
        auto widened = [&](const std::vector<std::uint64_t>& old) {
            std::vector<std::uint64_t> result(index.blockByEntry.size() * words);
            for (std::size_t entry = 0; entry < index.blockByEntry.size(); ++entry)
                std::copy_n(old.begin() + static_cast<std::ptrdiff_t>(entry * index.wordsPerBlock), index.wordsPerBlock,
                    result.begin() + static_cast<std::ptrdiff_t>(entry * words));
            return result;
        };
        index.holders = widened(index.holders);
        index.recentlyUsed = widened(index.recentlyUsed);
        index.ringMembers = widened(index.ringMembers);
        index.wordsPerBlock = words;
    }

} // namespace

void markSeen(SeenBlocks& seen, std::uint64_t block)
{
    if (seen.current.empty() || seen.added >= maxSeenPerGeneration) {
        seen.previous.swap(seen.current);
        seen.current.assign(seenWords, 0);
        seen.added = 0;
    }
    std::size_t bit = mixBits(block) % (seenWords * bitsPerWord);
    seen.current[bit / bitsPerWord] |= bitOf(bit);
    seen.added += 1;
}

bool wasSeen(const SeenBlocks& seen, std::uint64_t block)
{
    std::size_t bit = mixBits(block) % (seenWords * bitsPerWord);
    auto holds = [&](const std::vector<std::uint64_t>& words) { return !words.empty() && (words[bit / bitsPerWord] & bitOf(bit)); };
    return holds(seen.current) || holds(seen.previous);
}

void resizeTargets(PrefixIndex& index, std::size_t targets)
{
    std::size_t words = std::max<std::size_t>(1, (targets + bitsPerWord - 1) / bitsPerWord);
    if (words > index.wordsPerBlock)
        widen(index, words);
    index.rings.resize(std::max(targets, index.rings.size()));
    index.scratch.resize(index.wordsPerBlock);
}

void setCapacity(PrefixIndex& index, std::size_t target, TokenCount capacity)
{
    clearTarget(index, target);
    index.rings[target].capacity = static_cast<std::size_t>(std::max<std::int64_t>(0, capacity.count() / prefixBlockTokens.count()));
    index.rings[target].entries.reserve(index.rings[target].capacity);
}

void insert(PrefixIndex& index, std::size_t target, const std::vector<std::uint64_t>& blocks)
{
    if (!index.rings[target].capacity)
        return;
    for (std::uint64_t block : blocks) {
        std::uint32_t entry = findOrAddEntry(index, block);
        std::size_t word = wordOf(index, entry, target);
        bool isInRing = index.ringMembers[word] & bitOf(target);
        index.holders[word] |= bitOf(target);
        index.recentlyUsed[word] |= bitOf(target);
        if (!isInRing)
            addToRing(index, entry, target);
    }
}

void erase(PrefixIndex& index, std::size_t target, const std::vector<std::uint64_t>& blocks)
{
    for (std::uint64_t block : blocks) {
        auto found = index.entryByBlock.find(block);
        if (found == index.entryByBlock.end())
            continue;
        std::size_t word = wordOf(index, found->second, target);
        index.holders[word] &= ~bitOf(target);
        index.recentlyUsed[word] &= ~bitOf(target);
    }
}

void clearTarget(PrefixIndex& index, std::size_t target)
{
    PrefixIndex::TargetRing& ring = index.rings[target];
    for (std::uint32_t entry : ring.entries)
        removeFromRing(index, entry, target);
    ring.entries.clear();
    ring.clockPosition = 0;
}

void matchAll(PrefixIndex& index, const std::vector<std::uint64_t>& blocks, std::vector<int>& matched)
{
    matched.assign(index.rings.size(), 0);
    std::fill(index.scratch.begin(), index.scratch.end(), ~std::uint64_t { 0 });
    int depth = 0;
    for (std::uint64_t block : blocks) {
        auto found = index.entryByBlock.find(block);
        std::uint64_t left = 0;
        for (std::size_t word = 0; word < index.wordsPerBlock; ++word) {
            std::uint64_t holders = found == index.entryByBlock.end() ? 0 : index.holders[found->second * index.wordsPerBlock + word];
            writeMatched(index.scratch[word] & ~holders, word, depth, matched);
            index.scratch[word] &= holders;
            left |= index.scratch[word];
        }
        if (!left)
            return;
        depth += 1;
    }
    for (std::size_t word = 0; word < index.wordsPerBlock; ++word)
        writeMatched(index.scratch[word], word, depth, matched);
}

} // namespace limpetpond
