#include "gateway/TableCopy.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(TableCopy)
{
    TableCopy copy;

    void setup() override
    {
        noteRow(copy, "a", { .value = "1", .version = 4 });
        noteRow(copy, "b", { .value = "2", .version = 5 });
        noteRow(copy, "a", { .version = 6, .isDeleted = true, .afterOutage = true });
        noteRow(copy, "c", { .value = "3", .version = 7 });
    }
};

TEST(TableCopy, whoKnowsNothingGetsAllRowsThatExist)
{
    TablePart part = changesAfter(copy, 0);
    CHECK_TRUE(part.isWhole);
    LONGS_EQUAL(7, part.version);
    LONGS_EQUAL(2, part.rows.size());
    CHECK_FALSE(part.rows.contains("a"));
}

TEST(TableCopy, whoIsBehindGetsWhatChanged)
{
    TablePart part = changesAfter(copy, 5);
    CHECK_FALSE(part.isWhole);
    LONGS_EQUAL(2, part.rows.size());
    CHECK_TRUE(part.rows.at("a").isDeleted && part.rows.at("a").afterOutage);
    STRCMP_EQUAL("3", part.rows.at("c").value.c_str());
}

TEST(TableCopy, afterManyDeletionsThoseFarBehindGetTheWholeTable)
{
    for (std::uint64_t i = 0; i < 3000; ++i)
        noteRow(copy, "gone-" + std::to_string(i), { .version = 100 + i, .isDeleted = true });
    CHECK_TRUE(copy.rows.size() < 1200);
    CHECK_TRUE(changesAfter(copy, 8).isWhole);
    CHECK_FALSE(changesAfter(copy, 3090).isWhole);
    LONGS_EQUAL(9, changesAfter(copy, 3090).rows.size());
}

TEST(TableCopy, whatIsPassedOnComesBackTheSame)
{
    noteRow(copy, "d", { .value = std::string("x\0y", 3), .version = 9 });
    TablePart part = changesAfter(copy, 5);
    std::optional<TablePart> back = decodePart(encodePart(part));
    CHECK(back.has_value());
    CHECK(back->rows == part.rows);
    LONGS_EQUAL(9, back->version);
    CHECK_FALSE(back->isWhole);
}

TEST(TableCopy, bytesThatAreNoTableAreRefused)
{
    CHECK_FALSE(decodePart("\x19\xff\xff\xff\xff\x0f").has_value());
}
