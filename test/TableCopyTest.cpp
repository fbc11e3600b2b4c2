#include "gateway/TableCopy.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(TableCopy)
{
    TableCopy copy;

    void setup() override
    {
        recordRow(copy, "a", { .value = "1", .version = 4 });
        recordRow(copy, "b", { .value = "2", .version = 5 });
        recordRow(copy, "a", { .version = 6, .isDeleted = true, .afterOutage = true });
        recordRow(copy, "c", { .value = "3", .version = 7 });
    }
};

TEST(TableCopy, versionZeroGetsAllExistingRows)
{
    TableDelta delta = changesAfter(copy, 0);
    CHECK_TRUE(delta.isWhole);
    LONGS_EQUAL(7, delta.version);
    LONGS_EQUAL(2, delta.rows.size());
    CHECK_FALSE(delta.rows.contains("a"));
}

TEST(TableCopy, anOlderVersionGetsTheChangedRows)
{
    TableDelta delta = changesAfter(copy, 5);
    CHECK_FALSE(delta.isWhole);
    LONGS_EQUAL(2, delta.rows.size());
    CHECK_TRUE(delta.rows.at("a").isDeleted && delta.rows.at("a").afterOutage);
    STRCMP_EQUAL("3", delta.rows.at("c").value.c_str());
}

TEST(TableCopy, afterManyDeletionsOldVersionsGetTheWholeTable)
{
    for (std::uint64_t i = 0; i < 3000; ++i)
        recordRow(copy, "gone-" + std::to_string(i), { .version = 100 + i, .isDeleted = true });
    CHECK_TRUE(copy.rows.size() < 1200);
    CHECK_TRUE(changesAfter(copy, 8).isWhole);
    CHECK_FALSE(changesAfter(copy, 3090).isWhole);
    LONGS_EQUAL(9, changesAfter(copy, 3090).rows.size());
}

TEST(TableCopy, anEncodedDeltaIsDecodedUnchanged)
{
    recordRow(copy, "d", { .value = std::string("x\0y", 3), .version = 9 });
    TableDelta delta = changesAfter(copy, 5);
    std::optional<TableDelta> decoded = decodeDelta(encodeDelta(delta));
    CHECK(decoded.has_value());
    CHECK(decoded->rows == delta.rows);
    LONGS_EQUAL(9, decoded->version);
    CHECK_FALSE(decoded->isWhole);
}

TEST(TableCopy, malformedBytesAreRejected)
{
    CHECK_FALSE(decodeDelta("\x19\xff\xff\xff\xff\x0f").has_value());
}
