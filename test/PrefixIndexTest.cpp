#include "core/PrefixIndex.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(PrefixIndex)
{
    PrefixIndex index;
    std::vector<int> matched;

    void setup() override
    {
        resizeTargets(index, 2);
        setCapacity(index, 0, TokenCount(4 * prefixBlockTokens.count()));
        setCapacity(index, 1, TokenCount(4 * prefixBlockTokens.count()));
    }

    int match(std::size_t target, const std::vector<std::uint64_t>& blocks)
    {
        matchAll(index, blocks, matched);
        return matched[target];
    }
};

TEST(PrefixIndex, countsLeadingBlocksOnly)
{
    insert(index, 0, { 1, 2, 4 });
    LONGS_EQUAL(2, match(0, { 1, 2, 3, 4 }));
    LONGS_EQUAL(0, match(1, { 1, 2, 3, 4 }));
    LONGS_EQUAL(0, match(0, { 9, 1, 2 }));
}

TEST(PrefixIndex, replacesTheBlocksNotUsedRecently)
{
    insert(index, 0, { 1, 2, 3, 4 });
    insert(index, 0, { 5 });
    insert(index, 0, { 2 });
    insert(index, 0, { 6 });
    LONGS_EQUAL(0, match(0, { 1 }));
    LONGS_EQUAL(1, match(0, { 2 }));
    LONGS_EQUAL(1, match(0, { 6 }));
}

TEST(PrefixIndex, holdsAtMostItsCapacity)
{
    for (std::uint64_t block = 1; block <= 100; ++block)
        insert(index, 0, { block });
    int held = 0;
    for (std::uint64_t block = 1; block <= 100; ++block)
        held += match(0, { block });
    LONGS_EQUAL(4, held);
    CHECK(index.blockByEntry.size() <= 5);
}

TEST(PrefixIndex, anEvictedBlockIsRemovedAtItsTargetOnly)
{
    insert(index, 0, { 1, 2 });
    insert(index, 1, { 1, 2 });
    erase(index, 0, { 2, 77 });
    LONGS_EQUAL(1, match(0, { 1, 2 }));
    LONGS_EQUAL(2, match(1, { 1, 2 }));
}

TEST(PrefixIndex, anEvictedBlockCanBeInsertedAgain)
{
    insert(index, 0, { 1 });
    erase(index, 0, { 1 });
    insert(index, 0, { 1 });
    LONGS_EQUAL(1, match(0, { 1 }));
}

TEST(PrefixIndex, aClearedTargetHoldsNothing)
{
    insert(index, 0, { 1 });
    clearTarget(index, 0);
    LONGS_EQUAL(0, match(0, { 1 }));
}

TEST(PrefixIndex, keepsItsBlocksWhenItGrowsPastOneWord)
{
    insert(index, 1, { 1, 2 });
    resizeTargets(index, 100);
    setCapacity(index, 99, TokenCount(1000));
    insert(index, 99, { 1 });
    LONGS_EQUAL(2, match(1, { 1, 2 }));
    LONGS_EQUAL(1, match(99, { 1, 2 }));
}
