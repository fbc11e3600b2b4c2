#include "gateway/ConditionalWriter.h"
#include "base/BootTimeClock.h"
#include "test/fakes/edge/StoreFake.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;
using Outcome = ConditionalWriteResult::Outcome;

TEST_GROUP(ConditionalWriter)
{
    fakes::StoreFake store;
    BootTimeClock clock;
    boost::asio::io_context context;
    std::vector<ConditionalWriteResult> results;
    std::unique_ptr<ConditionalWriter> writer;

    void setup() override { writer = std::make_unique<ConditionalWriter>(context, clock, *parseEndpoint("127.0.0.1:" + std::to_string(store.port()))); }

    /// Writes the row and another one if the row has the version.
    void write(const std::string& value, std::uint64_t version)
    {
        writer->write({ .condition = { .table = "t", .key = "k", .version = version },
            .writes = { { .table = "other", .key = "o", .value = value }, { .table = "t", .key = "k", .value = value } },
            .onDone = [this](const ConditionalWriteResult& result) { results.push_back(result); } });
    }

    const ConditionalWriteResult& next()
    {
        std::size_t before = results.size();
        for (int i = 0; i < 1000 && results.size() == before; ++i) {
            context.restart();
            context.run_for(5ms);
            writer->tick(clock.steadyNow());
        }
        CHECK(results.size() > before);
        return results.back();
    }
};

TEST(ConditionalWriter, writesFollowEachOtherByTheVersionOfTheLast)
{
    write("1", 0);
    CHECK(next().outcome == Outcome::Written);
    write("2", results.back().row.version);
    CHECK(next().outcome == Outcome::Written);
    STRCMP_EQUAL("2", store.rows("t")["k"].c_str());
    STRCMP_EQUAL("2", store.rows("other")["o"].c_str());
}

TEST(ConditionalWriter, aRowThatHasChangedIsReadBackAndNothingIsWritten)
{
    store.put("t", "k", "theirs");
    write("ours", 0);
    CHECK(next().outcome == Outcome::ReadBack);
    STRCMP_EQUAL("theirs", results.back().row.value.c_str());
    LONGS_EQUAL(store.version(), results.back().row.version);
    STRCMP_EQUAL("theirs", store.rows("t")["k"].c_str());
    LONGS_EQUAL(0, store.rows("other").size());
}

// A write that was performed without an answer would otherwise be taken for one that was not.
TEST(ConditionalWriter, aWriteWithoutAnAnswerIsReadBack)
{
    store.setLosingAnswers(true);
    write("1", 0);
    CHECK(next().outcome == Outcome::ReadBack);
    STRCMP_EQUAL("1", results.back().row.value.c_str());
    CHECK(!results.back().failure.empty());
}

TEST(ConditionalWriter, aStoreThatIsAwayLeavesTheOutcomeUnknown)
{
    store.setFailStatus(503);
    write("1", 0);
    CHECK(next().outcome == Outcome::Unknown);
    store.setFailStatus(0);
    write("1", 0);
    CHECK(next().outcome == Outcome::Written);
}

TEST(ConditionalWriter, aRowCanBeReadWithoutAWrite)
{
    store.put("t", "a", "before");
    store.put("t", "k", "1");
    writer->write({ .condition = { .table = "t", .key = "k" }, .onDone = [this](const ConditionalWriteResult& result) { results.push_back(result); } });
    CHECK(next().outcome == Outcome::ReadBack);
    STRCMP_EQUAL("1", results.back().row.value.c_str());
    CHECK(results.back().failure.empty());
}

TEST(ConditionalWriter, writesOfSeveralRowsAreMadeInTheirOrder)
{
    write("1", 0);
    write("2", 0);
    next();
    if (results.size() < 2)
        next(); // Both may end within one step.
    LONGS_EQUAL(2, results.size());
    CHECK(results[0].outcome == Outcome::Written);
    CHECK(results[1].outcome == Outcome::ReadBack);
    STRCMP_EQUAL("1", store.rows("t")["k"].c_str());
}
