#include "base/Metrics.h"

#include <limits>
#include <sstream>

namespace limpetpond {

namespace {

    /// Upper bounds of the buckets in seconds, from one token over loopback to a prompt of a month of logs on a slow engine.
    const std::vector<double> bucketBounds { 0, 0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.95, 2, 5, 10, 30, 60, 300 };

    std::string labelText(const std::vector<MetricLabel>& labels)
    {
        if (labels.empty())
            return "";
        std::string text = "{";
        for (const MetricLabel& label : labels) {
            if (text.size() > 1)
                text += ',';
            text += label.name + "=\"";
            for (char c : label.value) {
                if (c == '\\' || c == '"')
                    text += '\\';
                if (c == '\n')
                    text += "\\n";
                else
                    text += c;
            }
            text += '"';
        }
        return text + "}";
    }

    std::string boundText(double bound)
    {
        if (bound == std::numeric_limits<double>::infinity())
            return "+Inf";
        std::ostringstream text;
        text << bound;
        return text.str();
    }

    void writeHeader(std::ostream& out, const std::string& name, const std::string& help, const char* type)
    {
        out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
    }

    void writeHistogram(std::ostream& out, const std::string& name, const std::vector<MetricLabel>& labels, const SecondsHistogram& histogram)
    {
        std::uint64_t count = 0;
        for (const SecondsHistogram::Bucket& bucket : histogram.buckets()) {
            std::vector<MetricLabel> withBound = labels;
            withBound.push_back({ "le", boundText(bucket.upperBound) });
            out << name << "_bucket" << labelText(withBound) << ' ' << bucket.cumulative << '\n';
            count = bucket.cumulative;
        }
        out << name << "_sum" << labelText(labels) << ' ' << histogram.sum() << '\n';
        out << name << "_count" << labelText(labels) << ' ' << count << '\n';
    }

} // namespace

SecondsHistogram::SecondsHistogram()
    : m_histogram(boost::histogram::make_histogram_with(boost::histogram::dense_storage<AtomicCount>(), Axis(bucketBounds)))
{
}

void SecondsHistogram::record(double seconds)
{
    m_histogram(seconds);
    m_sumMicros.fetch_add(static_cast<std::int64_t>(seconds * 1e6), std::memory_order_relaxed);
}

std::vector<SecondsHistogram::Bucket> SecondsHistogram::buckets() const
{
    std::vector<Bucket> list;
    const auto& axis = m_histogram.axis(0);
    std::uint64_t cumulative = m_histogram.at(-1).value();
    for (int i = 0; i < axis.size(); ++i) {
        cumulative += m_histogram.at(i).value();
        list.push_back({ axis.bin(i).upper(), cumulative });
    }
    cumulative += m_histogram.at(axis.size()).value();
    list.push_back({ std::numeric_limits<double>::infinity(), cumulative });
    return list;
}

template <typename Metric>
Metric& Metrics::find(Families<Metric>& families, const std::string& name, const std::string& help, const std::vector<MetricLabel>& labels)
{
    std::lock_guard lock(m_mutex);
    Family<Metric>& family = families[name];
    family.help = help;
    std::unique_ptr<Metric>& metric = family.series[labels];
    if (!metric)
        metric = std::make_unique<Metric>();
    return *metric;
}

Counter& Metrics::counter(const std::string& name, const std::string& help, const std::vector<MetricLabel>& labels)
{
    return find(m_counters, name, help, labels);
}

Gauge& Metrics::gauge(const std::string& name, const std::string& help, const std::vector<MetricLabel>& labels)
{
    return find(m_gauges, name, help, labels);
}

SecondsHistogram& Metrics::secondsHistogram(const std::string& name, const std::string& help, const std::vector<MetricLabel>& labels)
{
    return find(m_seconds, name, help, labels);
}

std::string Metrics::prometheusText() const
{
    std::ostringstream out;
    std::lock_guard lock(m_mutex);
    for (const auto& [name, family] : m_counters) {
        writeHeader(out, name, family.help, "counter");
        for (const auto& [labels, counter] : family.series)
            out << name << labelText(labels) << ' ' << counter->value() << '\n';
    }
    for (const auto& [name, family] : m_gauges) {
        writeHeader(out, name, family.help, "gauge");
        for (const auto& [labels, gauge] : family.series)
            out << name << labelText(labels) << ' ' << gauge->value() << '\n';
    }
    for (const auto& [name, family] : m_seconds) {
        writeHeader(out, name, family.help, "histogram");
        for (const auto& [labels, histogram] : family.series)
            writeHistogram(out, name, labels, *histogram);
    }
    return out.str();
}

} // namespace limpetpond
