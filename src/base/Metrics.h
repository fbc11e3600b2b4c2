#pragma once

/// Counters, gauges and histograms behind `/metrics`, in Prometheus text format.
///
/// Looking a metric up takes a lock; keep the reference and update it without one.

#include <atomic>
#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace limpetpond {

/// A number that only rises.
class Counter {
public:
    void add(std::int64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }
    std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value { 0 };
};

/// A number that rises and falls.
class Gauge {
public:
    void set(std::int64_t n) { m_value.store(n, std::memory_order_relaxed); }
    void add(std::int64_t n) { m_value.fetch_add(n, std::memory_order_relaxed); }
    std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value { 0 };
};

/// A distribution of seconds over fixed buckets; any thread may record.
class SecondsHistogram {
public:
    SecondsHistogram();
    void record(double seconds);

    struct Bucket {
        double upperBound; ///< Seconds; infinity in the last one.
        std::uint64_t cumulative; ///< Recordings at or below the bound.
    };
    std::vector<Bucket> buckets() const;
    double sum() const { return static_cast<double>(m_sumMicros.load(std::memory_order_relaxed)) / 1e6; }

private:
    using Cell = boost::histogram::accumulators::count<std::uint64_t, true>;
    using Axis = boost::histogram::axis::variable<double>;
    boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<Cell>> m_histogram;
    std::atomic<std::int64_t> m_sumMicros { 0 };
};

/// One label and its value; the value is escaped on output.
struct MetricLabel {
    std::string name;
    std::string value;
    auto operator<=>(const MetricLabel&) const = default;
};

/// All metrics of one process.
///
///     Counter& shed = metrics.counter("limpetpond_shed_total", "Requests given up on.", { { "tier", "2" } });
///     shed.add();
class Metrics {
public:
    Counter& counter(const std::string& name, const std::string& help, const std::vector<MetricLabel>& = {});
    Gauge& gauge(const std::string& name, const std::string& help, const std::vector<MetricLabel>& = {});
    SecondsHistogram& secondsHistogram(const std::string& name, const std::string& help, const std::vector<MetricLabel>& = {});

    /// Everything in Prometheus text format 0.0.4.
    std::string prometheusText() const;

private:
    template <typename Metric>
    struct Family {
        std::string help;
        std::map<std::vector<MetricLabel>, std::unique_ptr<Metric>> members;
    };
    template <typename Metric>
    using Families = std::map<std::string, Family<Metric>>;
    template <typename Metric>
    Metric& find(Families<Metric>&, const std::string& name, const std::string& help, const std::vector<MetricLabel>&);

    mutable std::mutex m_mutex;
    Families<Counter> m_counters;
    Families<Gauge> m_gauges;
    Families<SecondsHistogram> m_seconds;
};

} // namespace limpetpond
