#include "gateway/RateLimitedLog.h"
#include <boost/json.hpp>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(RateLimitedLog)
{
    int pipe[2] { -1, -1 };
    ManualClock clock;

    void setup() override { CHECK_EQUAL(0, ::pipe(pipe)); }
    void teardown() override
    {
        close(pipe[0]);
        close(pipe[1]);
    }

    std::string readAll()
    {
        std::string text(1 << 20, '\0');
        ssize_t count = ::read(pipe[0], text.data(), text.size());
        text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return text;
    }
};

TEST(RateLimitedLog, aLineIsJsonWithItsValues)
{
    RateLimitedLog log(clock, { .instance = "a\"b", .descriptor = pipe[1] });
    log.line("info", "request_sent", { { "request", std::string_view("r\n1") }, { "rank", std::int64_t { 3 } }, { "ready", true } });
    log.flush();
    boost::json::value line = boost::json::parse(readAll());
    STRCMP_EQUAL("a\"b", line.at("instance").as_string().c_str());
    STRCMP_EQUAL("r\n1", line.at("request").as_string().c_str());
    LONGS_EQUAL(3, line.at("rank").as_int64());
}

TEST(RateLimitedLog, linesOverTheRateAreDroppedAndCounted)
{
    RateLimitedLog log(clock, { .instance = "a", .descriptor = pipe[1], .linesPerSecond = 10 });
    for (int i = 0; i < 25; ++i)
        log.line("info", "e", {});
    LONGS_EQUAL(15, log.droppedLines());
    clock.advance(std::chrono::seconds(1));
    log.line("info", "e", {});
    log.flush();
    STRCMP_CONTAINS("\"left_out\":15", readAll().c_str());
}

TEST(RateLimitedLog, aStalledReaderDoesNotBlockLogging)
{
    RateLimitedLog log(clock, { .instance = "a", .descriptor = pipe[1], .linesPerSecond = 1'000'000, .maxBufferedBytes = 100'000 });
    for (int i = 0; i < 20'000; ++i) {
        log.line("info", "event_with_a_long_name", {});
        log.flush();
    }
    CHECK(log.droppedLines() > 0);
}
