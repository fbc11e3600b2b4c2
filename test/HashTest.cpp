#include "base/Hash.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(Hash) {};

TEST(Hash, sha256MatchesThePublishedVector)
{
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", sha256Hex("abc").c_str());
}

TEST(Hash, constantTimeEqualsComparesWholeTexts)
{
    CHECK(constantTimeEquals("abc", "abc"));
    CHECK_FALSE(constantTimeEquals("abc", "abd"));
    CHECK_FALSE(constantTimeEquals("abc", "ab"));
}

TEST(Hash, prefixBlocksAgreeUpToTheFirstDifference)
{
    std::string prompt(4 * kPrefixBlockBytes + 7, 'a');
    std::string changed = prompt;
    changed[2 * kPrefixBlockBytes] = 'b';
    auto first = hashPrefixBlocks("pool", prompt);
    auto second = hashPrefixBlocks("pool", changed);
    LONGS_EQUAL(4, first.size());
    CHECK(first[0] == second[0] && first[1] == second[1]);
    CHECK(first[2] != second[2] && first[3] != second[3]);
    CHECK(first[0] != first[1]);
}

TEST(Hash, prefixBlocksDifferBetweenPools)
{
    std::string prompt(kPrefixBlockBytes, 'a');
    CHECK(hashPrefixBlocks("one", prompt) != hashPrefixBlocks("two", prompt));
}
