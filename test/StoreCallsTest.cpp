#include "platform/StoreCalls.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(StoreCalls) {};

TEST(StoreCalls, pathsContainTableAndStart)
{
    STRCMP_EQUAL("/v1/rows-feed?table=op&after=530&waitMs=20000", platform::feedPath("op", 530, 20000).c_str());
    STRCMP_CONTAINS("table=servers", platform::rowsPath("servers", "").c_str());
    STRCMP_CONTAINS("from=a%2Fb", platform::rowsPath("servers", "a/b").c_str());
}

TEST(StoreCalls, decodesRows)
{
    std::optional<platform::RowsAnswer> answer = platform::decodeRows(
        R"({"rows":[{"table":"t","part":"","key":"a","value":"bm9kZS0x","objVer":412},{"table":"t","part":"","key":"b","deleted":true,"objVer":413}],"hasMore":true,"objVer":530,"serverTimeMs":1})");
    CHECK(answer.has_value());
    LONGS_EQUAL(2, answer->rows.size());
    STRCMP_EQUAL("node-1", answer->rows[0].value.c_str());
    CHECK(answer->rows[1].isDeleted);
    CHECK(answer->hasMore);
    LONGS_EQUAL(530, answer->version);
    CHECK(answer->storeTime == std::chrono::milliseconds(1));
}

TEST(StoreCalls, aTimeThatCantBeTheStoresIsLeftOut)
{
    for (const char* time : { "-1", "1e300", "18446744073709551615", "\"1\"" }) {
        std::optional<platform::RowsAnswer> answer = platform::decodeRows(std::string(R"({"rows":[],"objVer":1,"serverTimeMs":)") + time + "}");
        CHECK(answer.has_value());
        CHECK_FALSE(answer->storeTime.has_value());
    }
}

TEST(StoreCalls, invalidRowsDontAffectOthers)
{
    std::optional<platform::RowsAnswer> answer = platform::decodeRows(R"({"rows":["odd",{"key":7},{"key":"a","value":"***","objVer":1}],"objVer":2})");
    LONGS_EQUAL(1, answer->rows.size());
    STRCMP_EQUAL("", answer->rows[0].value.c_str());
    CHECK_FALSE(platform::decodeRows("not json").has_value());
    CHECK_FALSE(platform::decodeRows(R"({"objVer":1})").has_value());
}

// One odd row would make the whole table unreadable, and with it every change that follows.
TEST(StoreCalls, aRowThatCantBeParsedIsLeftOut)
{
    constexpr std::size_t depth = 30000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const std::vector<std::string> oddRows {
        R"({"key":"odd","value":"","objVer":3,"more":)" + nested + "}",
        nested,
        R"({"key":"\ud800","value":"","objVer":3})",
        "{\"key\":\"\xff\xfe\",\"value\":\"\",\"objVer\":3}",
        R"({"key":"odd","value":"","objVer":1e99999999999})",
        R"({"key":"odd]},\"","value":"","objVer":3})",
    };
    for (const std::string& odd : oddRows) {
        std::optional<platform::RowsAnswer> answer
            = platform::decodeRows(R"({"rows":[{"key":"a","value":"bm9kZS0x","objVer":2},)" + odd + R"( , {"key":"b","value":"bm9kZS0x","objVer":4}],"hasMore":true,"objVer":5})");
        CHECK(answer.has_value());
        STRCMP_EQUAL("a", answer->rows.front().key.c_str());
        STRCMP_EQUAL("b", answer->rows.back().key.c_str());
        CHECK(answer->hasMore);
        LONGS_EQUAL(5, answer->version);
    }
}

TEST(StoreCalls, aVersionThatIsNoWholeNumberEndsNothing)
{
    for (const char* version : { "-1", "1.5", "1e30", "1e400", "\"7\"", "null", "99999999999999999999" }) {
        std::optional<platform::RowsAnswer> answer = platform::decodeRows(
            std::string(R"({"rows":[{"key":"a","value":"","objVer":)") + version + R"(},{"key":"b","value":"","objVer":4}],"objVer":5})");
        CHECK(answer.has_value());
        STRCMP_EQUAL("b", answer->rows.back().key.c_str());
        LONGS_EQUAL(4, answer->rows.back().version);
        // Without the newest version, changes can't be followed.
        CHECK_FALSE(platform::decodeRows(std::string(R"({"rows":[],"objVer":)") + version + "}").has_value());
    }
}

TEST(StoreCalls, anAnswerThatEndsWithinItsRowsIsInvalid)
{
    for (const char* text : { R"({"rows":[)", R"({"rows":[{"key":"a"})", R"({"rows":[{"key":"a"}],"objVer":1)", R"({"rows":[{"key":"a)", R"({"rows":[}],"objVer":1})" })
        CHECK_FALSE(platform::decodeRows(text).has_value());
}

TEST(StoreCalls, writeEncodesValueAsBase64)
{
    STRCMP_CONTAINS(R"("value":"bm9kZS0x")", platform::writeBody("t", "k", "node-1").c_str());
    STRCMP_CONTAINS(R"("ifRev":[])", platform::writeBody("t", "k", "node-1").c_str());
}

TEST(StoreCalls, theStoresEpochIsANumber)
{
    CHECK(platform::decodeStoreEpoch("3") == StoreEpoch(3));
    for (const char* malformed : { "", "x", "3x", "-1", "3 " })
        CHECK_FALSE(platform::decodeStoreEpoch(malformed).has_value());
}

TEST(StoreCalls, deletionNamesTheRow)
{
    STRCMP_CONTAINS(R"("delete":[{"table":"t","part":"","key":"k"}])", platform::deleteBody("t", "k").c_str());
    STRCMP_CONTAINS(R"("writes":[])", platform::deleteBody("t", "k").c_str());
}

TEST(StoreCalls, aTransactionStatesItsConditions)
{
    STRCMP_EQUAL(R"({"ifRev":[{"table":"a","part":"","key":"k","objVer":7}],"writes":[{"table":"b","part":"","key":"l","value":"dg=="}],"delete":[]})",
        platform::transactionBody({ { .table = "a", .key = "k", .version = 7 } }, { { .table = "b", .key = "l", .value = "v" } }).c_str());
    STRCMP_CONTAINS(R"("ifRev":[])", platform::writeBody("a", "k", "v").c_str());
    STRCMP_EQUAL("/v1/rows-get?table=a&part=&pageSize=1&from=b%2Fc", platform::rowPath("a", "b/c").c_str());
    CHECK(platform::decodeWriteVersion(R"({"objVer":8,"serverTimeMs":1})") == 8U);
    CHECK_FALSE(platform::decodeWriteVersion("odd").has_value());
}

TEST(StoreCalls, theRowOfAConditionIsReadFromARefusal)
{
    const char* body = R"({"rows":[{"table":"b","part":"","key":"k","value":"eA==","objVer":3},{"table":"a","part":"","key":"k","value":"dg==","objVer":9}]})";
    std::optional<platform::Row> row = platform::decodeConditionRow(body, "a", "k");
    CHECK(row.has_value());
    LONGS_EQUAL(9, row->version);
    STRCMP_EQUAL("v", row->value.c_str());
}

// A further write under the condition of a row that isn't there would fail again and again.
TEST(StoreCalls, aRowOfAConditionThatIsGoneHasNoVersion)
{
    for (const char* body : { R"({"rows":[],"objVer":5})", R"({"rows":[{"table":"a","key":"k","deleted":true,"objVer":9}]})", R"({"rows":[{"table":"a","key":"k","objVer":0}]})",
             R"({"rows":[{"table":"a","key":"other","value":"dg==","objVer":9}]})" }) {
        std::optional<platform::Row> row = platform::decodeConditionRow(body, "a", "k");
        CHECK_TEXT(row.has_value(), body);
        LONGS_EQUAL(0, row->version);
        CHECK(row->isDeleted);
    }
    CHECK_FALSE(platform::decodeConditionRow("odd", "a", "k").has_value());
    CHECK_FALSE(platform::decodeConditionRow("{}", "a", "k").has_value());
}
