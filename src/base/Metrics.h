#pragma once

/// Counters, gauges and histograms behind `/metrics`, in Prometheus text format.
///
/// Looking up a metric takes a lock; updates through the returned reference do not.

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

/// A value that only increases.
class Counter {
public:
    void add(std::int64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }
    std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value { 0 };
};

/// A value that can increase and decrease.
class Gauge {
public:
    void set(std::int64_t n) { m_value.store(n, std::memory_order_relaxed); }
    void add(std::int64_t n) { m_value.fetch_add(n, std::memory_order_relaxed); }
    std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value { 0 };
};

/// A histogram of durations with fixed buckets; any thread may record.
class SecondsHistogram {
public:
    SecondsHistogram();
    void record(double seconds);

    struct Bucket {
        double upperBound; ///< Seconds; infinity in the last one.
        std::uint64_t cumulative; ///< Recorded values up to the bound.
    };
    std::vector<Bucket> buckets() const;
    double sum() const { return static_cast<double>(m_sumMicros.load(std::memory_order_relaxed)) / 1e6; }

private:
    using AtomicCount = boost::histogram::accumulators::count<std::uint64_t, true>;
    using Axis = boost::histogram::axis::variable<double>;
    boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<AtomicCount>> m_histogram;
    std::atomic<std::int64_t> m_sumMicros { 0 };
};

/// A label and its value, which is escaped on output.
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

    /// All metrics in Prometheus text format 0.0.4.
    std::string prometheusText() const;

private:
    template <typename Metric>
    struct Family {
        std::string help;
        std::map<std::vector<MetricLabel>, std::unique_ptr<Metric>> series; ///< By label values.
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
