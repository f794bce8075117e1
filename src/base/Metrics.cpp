#include "base/Metrics.h"

#include <cmath>
#include <sstream>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace marigoldpaddle {

namespace {

constexpr unsigned BucketsPerDecade = 10;
constexpr unsigned Decades = 7;
constexpr double LowestSeconds = 0.0001;
constexpr double HighestSeconds = 1000;

using LogarithmicAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

auto makeLatencyHistogram()
{
    return boost::histogram::make_histogram(
        LogarithmicAxis { BucketsPerDecade * Decades, LowestSeconds, HighestSeconds });
}

std::string series(std::string_view name, std::string_view labels)
{
    return labels.empty() ? std::string { name } : std::string { name } + "{" + std::string { labels } + "}";
}

std::string withBucketBound(std::string_view labels, std::string_view bound)
{
    return std::string { labels } + (labels.empty() ? "" : ",") + "le=\"" + std::string { bound } + "\"";
}

}

struct LatencyHistogram::Storage {
    decltype(makeLatencyHistogram()) buckets = makeLatencyHistogram();
    double sumSeconds { 0 };
    std::uint64_t count { 0 };

    void writeTo(std::ostream& out, std::string_view name, std::string_view labels) const
    {
        const auto& axis = this->buckets.axis();
        auto cumulative = static_cast<std::uint64_t>(this->buckets.at(-1));
        const auto bucketName = std::string { name } + "_bucket";
        for (int i = 0; i < axis.size(); ++i) {
            const auto inBucket = static_cast<std::uint64_t>(this->buckets.at(i));
            cumulative += inBucket;
            if (inBucket == 0)
                continue;
            std::ostringstream bound;
            bound << axis.bin(i).upper();
            out << series(bucketName, withBucketBound(labels, bound.str())) << ' ' << cumulative << '\n';
        }
        out << series(bucketName, withBucketBound(labels, "+Inf")) << ' ' << this->count << '\n';
        out << series(std::string { name } + "_sum", labels) << ' ' << this->sumSeconds << '\n';
        out << series(std::string { name } + "_count", labels) << ' ' << this->count << '\n';
    }
};

LatencyHistogram::LatencyHistogram()
    : storage(std::make_unique<Storage>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration latency)
{
    const auto seconds = std::chrono::duration<double>(latency).count();
    this->storage->buckets(std::max(seconds, 0.0));
    this->storage->sumSeconds += seconds;
    ++this->storage->count;
}

double LatencyHistogram::quantile(double quantile) const
{
    if (this->storage->count == 0)
        return 0;
    const auto rank = std::ceil(quantile * static_cast<double>(this->storage->count));
    const auto& axis = this->storage->buckets.axis();
    auto cumulative = static_cast<double>(this->storage->buckets.at(-1));
    for (int i = 0; i < axis.size(); ++i) {
        if (cumulative >= rank)
            return axis.bin(i).lower();
        cumulative += static_cast<double>(this->storage->buckets.at(i));
    }
    return HighestSeconds;
}

std::uint64_t LatencyHistogram::count() const
{
    return this->storage->count;
}

Counter& MetricsRegistry::counter(std::string_view name, std::string_view labels)
{
    return this->counters[std::string { name }][std::string { labels }];
}

Gauge& MetricsRegistry::gauge(std::string_view name, std::string_view labels)
{
    return this->gauges[std::string { name }][std::string { labels }];
}

LatencyHistogram& MetricsRegistry::histogram(std::string_view name, std::string_view labels)
{
    return this->histograms[std::string { name }][std::string { labels }];
}

std::string MetricsRegistry::exposition() const
{
    std::ostringstream out;
    for (const auto& [name, family] : this->counters) {
        out << "# TYPE " << name << " counter\n";
        for (const auto& [labels, counter] : family)
            out << series(name, labels) << ' ' << counter.value() << '\n';
    }
    for (const auto& [name, family] : this->gauges) {
        out << "# TYPE " << name << " gauge\n";
        for (const auto& [labels, gauge] : family)
            out << series(name, labels) << ' ' << gauge.value() << '\n';
    }
    for (const auto& [name, family] : this->histograms) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto& [labels, histogram] : family)
            histogram.storage->writeTo(out, name, labels);
    }
    return out.str();
}

}
