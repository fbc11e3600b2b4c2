#include "base/Metrics.h"
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(Metrics)
{
    Metrics metrics;
};

TEST(Metrics, counterLabelsAreEscaped)
{
    metrics.counter("limpetpond_shed_total", "Requests given up on.", { { "tier", "a\"b" } }).add(3);
    STRCMP_CONTAINS("# TYPE limpetpond_shed_total counter\nlimpetpond_shed_total{tier=\"a\\\"b\"} 3\n", metrics.prometheusText().c_str());
}

TEST(Metrics, sameNameAndLabelsGiveTheSameCounter)
{
    metrics.counter("c_total", "C.").add();
    metrics.counter("c_total", "C.").add();
    LONGS_EQUAL(2, metrics.counter("c_total", "C.").value());
}

TEST(Metrics, histogramBucketsAreCumulative)
{
    SecondsHistogram& histogram = metrics.secondsHistogram("t_seconds", "T.");
    histogram.record(0.0002);
    histogram.record(0.3);
    histogram.record(1e6);
    std::string text = metrics.prometheusText();
    STRCMP_CONTAINS("t_seconds_bucket{le=\"0.00025\"} 1\n", text.c_str());
    STRCMP_CONTAINS("t_seconds_bucket{le=\"0.5\"} 2\n", text.c_str());
    STRCMP_CONTAINS("t_seconds_bucket{le=\"+Inf\"} 3\n", text.c_str());
    STRCMP_CONTAINS("t_seconds_count 3\n", text.c_str());
}

TEST(Metrics, recordingsFromConcurrentThreadsAreAllCounted)
{
    constexpr int recordings = 2000;
    SecondsHistogram& histogram = metrics.secondsHistogram("t_seconds", "T.");
    auto record = [&] {
        for (int i = 0; i < recordings; ++i)
            histogram.record(0.001 * i);
    };
    std::thread first(record);
    std::thread second(record);
    first.join();
    second.join();
    LONGS_EQUAL(2 * recordings, histogram.buckets().back().cumulative);
}
