#include "limpetpond/Outcome.h"
#include <set>
#include <string_view>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(Outcome) {};

TEST(Outcome, outcomesHaveTheirApiCodes)
{
    CHECK(toString(Outcome::Completed) == "completed");
    CHECK(toString(Outcome::NotRun) == "not_run");
    CHECK(toString(Outcome::Unknown) == "unknown");
}

TEST(Outcome, everyReasonHasADistinctCode)
{
    std::set<std::string_view> codes;
    for (int i = 0; i <= static_cast<int>(Reason::CallerDisconnected); ++i)
        codes.insert(toString(static_cast<Reason>(i)));
    LONGS_EQUAL(static_cast<int>(Reason::CallerDisconnected) + 1, codes.size());
}
