#include "gateway/StateCopy.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(StateCopy) {};

TEST(StateCopy, rowsAreKeptAsLastRead)
{
    std::map<std::string, std::string> rows;
    noteRows(rows, { .isWholeTable = true, .rows = { { .key = "a", .value = "1" }, { .key = "b", .value = "2" } } });
    noteRows(rows, { .rows = { { .key = "a", .isDeleted = true }, { .key = "b", .value = "3" } } });
    LONGS_EQUAL(1, rows.size());
    STRCMP_EQUAL("3", rows["b"].c_str());
    noteRows(rows, { .isWholeTable = true, .rows = { { .key = "c", .value = "4" } } });
    LONGS_EQUAL(1, rows.size());
    STRCMP_EQUAL("4", rows["c"].c_str());
}

TEST(StateCopy, whatIsPassedOnComesBackTheSame)
{
    StateCopy state { .settings = { { "config", std::string("{\0}", 3) } }, .targets = { { "t1", "x" }, { "t2", "" } } };
    std::optional<StateCopy> back = decodeState(encodeState(state));
    CHECK(back.has_value());
    CHECK(back->settings == state.settings);
    CHECK(back->targets == state.targets);
}

TEST(StateCopy, bytesThatAreNoStateAreRefused)
{
    CHECK_FALSE(decodeState("\x19\xff\xff\xff\xff\x0f").has_value());
}

TEST(StateCopy, rowsOfAPeerNameNothingAsGone)
{
    TableNews news = newsOf({ { "t1", "x" } });
    CHECK_FALSE(news.isWholeTable);
    CHECK_TRUE(news.afterOutage);
    LONGS_EQUAL(1, news.rows.size());
}
