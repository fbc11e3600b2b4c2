#include "base/Hash.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(Hash) {};

TEST(Hash, sha256MatchesThePublishedTestVector)
{
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", sha256Hex("abc").c_str());
}

TEST(Hash, constantTimeEqualsComparesWholeTexts)
{
    CHECK(constantTimeEquals("abc", "abc"));
    CHECK_FALSE(constantTimeEquals("abc", "abd"));
    CHECK_FALSE(constantTimeEquals("abc", "ab"));
}

TEST(Hash, bodyHashIsNeverZero)
{
    CHECK(hashBody("") != 0);
    CHECK(hashBody("a") != hashBody("b"));
}
