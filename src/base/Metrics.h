#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// A monotonic counter of events.
class Counter {
public:
    void increment(std::uint64_t by = 1)
    {
        this->total += by;
    }

    std::uint64_t value() const
    {
        return this->total;
    }

private:
    std::uint64_t total { 0 };
};

// The current value of a quantity that can rise and fall.
class Gauge {
public:
    void set(double reading)
    {
        this->latest = reading;
    }

    double value() const
    {
        return this->latest;
    }

private:
    double latest { 0 };
};

// Distribution of durations, in logarithmic buckets from 0.1 ms to 1000 s, 10 for each decade.
class LatencyHistogram {
public:
    LatencyHistogram();
    ~LatencyHistogram();

    void record(Duration latency);

    // Returns an upper bound of the given quantile, in seconds; 0 if nothing was recorded. `quantile` is in [0, 1].
    double quantile(double quantile) const;
    std::uint64_t count() const;

private:
    friend class MetricsRegistry;
    struct Storage;
    std::unique_ptr<Storage> storage;
};

// Owns the metrics of a process and formats them in the Prometheus text exposition format. References to metrics are
// valid for the lifetime of the registry. Not thread-safe.
class MetricsRegistry {
public:
    // Return the metric with this name and label set, which is created on first use. `labels` is e.g.
    // `reason="overloaded"`.
    Counter& counter(std::string_view name, std::string_view labels = {});
    Gauge& gauge(std::string_view name, std::string_view labels = {});
    LatencyHistogram& histogram(std::string_view name, std::string_view labels = {});

    // Returns all metrics. Histogram buckets without samples are left out.
    std::string exposition() const;

private:
    template <typename Metric>
    using Family = std::map<std::string, std::map<std::string, Metric, std::less<>>, std::less<>>;

    Family<Counter> counters;
    Family<Gauge> gauges;
    Family<LatencyHistogram> histograms;
};

}
