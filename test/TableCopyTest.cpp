#include "gateway/TableCopy.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(TableCopy) {};

TEST(TableCopy, rowsAreKeptAsLastRead)
{
    TableCopy copy;
    noteRows(copy, { .isWholeTable = true, .version = 4, .rows = { { .key = "a", .value = "1" }, { .key = "b", .value = "2" } } });
    noteRows(copy, { .version = 6, .rows = { { .key = "a", .isDeleted = true }, { .key = "b", .value = "3" } } });
    LONGS_EQUAL(1, copy.rows.size());
    LONGS_EQUAL(6, copy.version);
    STRCMP_EQUAL("3", copy.rows["b"].c_str());
    noteRows(copy, { .isWholeTable = true, .version = 5, .rows = { { .key = "c", .value = "4" } } });
    LONGS_EQUAL(1, copy.rows.size());
    LONGS_EQUAL(6, copy.version);
    STRCMP_EQUAL("4", copy.rows["c"].c_str());
}

TEST(TableCopy, whatIsPassedOnComesBackTheSame)
{
    TableCopy copy { .version = 9, .rows = { { "t1", std::string("x\0y", 3) }, { "t2", "" } } };
    std::optional<TableCopy> back = decodeTable(encodeTable(copy));
    CHECK(back.has_value());
    CHECK(back->rows == copy.rows);
    LONGS_EQUAL(9, back->version);
}

TEST(TableCopy, bytesThatAreNoTableAreRefused)
{
    CHECK_FALSE(decodeTable("\x19\xff\xff\xff\xff\x0f").has_value());
}

TEST(TableCopy, aCopyIsTheWholeTable)
{
    TableNews news = newsOf({ .version = 3, .rows = { { "t1", "x" } } });
    CHECK_TRUE(news.isWholeTable);
    CHECK_FALSE(news.afterOutage);
    LONGS_EQUAL(1, news.rows.size());
}
