#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <marigoldpaddle/Clock.h>

#include "base/EventLog.h"
#include "base/Metrics.h"
#include "serving/PlatformStore.h"
#include "serving/ServingView.h"

namespace marigoldpaddle {

struct ViewFollowerSettings {
    // Long-poll time for the configuration; less than the time within which a change must take effect.
    Duration configurationWait { std::chrono::milliseconds { 1400 } };
    // Polling period of the targets; less than half of the time that a leaving target still serves.
    Duration targetsPeriod { std::chrono::milliseconds { 900 } };
    Duration retryDelay { std::chrono::milliseconds { 250 } }; // After a failed call.
};

// Applies the platform's keyed streams to the view.
class ViewFollower {
public:
    // Everything that is passed by reference must outlive the follower.
    ViewFollower(boost::asio::io_context& context, const Clock& clock, PlatformStore& store,
        const RecordDecoder& decoder, ServingView& view, EventLog& log, MetricsRegistry& metrics,
        ViewFollowerSettings settings);

    // `configurationChanged` is called after each configuration that was installed.
    void start(std::function<void()> configurationChanged);

    // Takes effect with the next call to the platform.
    void setSettings(const ViewFollowerSettings& settings);

    // The installed configuration record, for peers that the platform refuses.
    const std::optional<KeyedRecord>& configurationRecord() const;

    // Installs a configuration record, of the platform or from a peer, if it is valid and newer. `source` is logged.
    void installConfiguration(const KeyedRecord& record, std::string_view source);

    // The newest records of the targets, by id.
    const std::map<std::string, std::string, std::less<>>& targetRecords() const;

    // Installs a complete list of targets from a peer, unless this instance's own list is at most `age` old.
    void installTargets(const std::vector<KeyedRecord>& records, Duration age, std::string_view source);

private:
    boost::asio::awaitable<void> followConfiguration();
    boost::asio::awaitable<void> followTargets();
    // Reads the changes from `next` on or, if `next` is empty, the newest record of every key.
    boost::asio::awaitable<PlatformResult<KeyedPage>> read(
        KeyedStream stream, std::optional<std::uint64_t> next, Duration wait);
    boost::asio::awaitable<void> pause(Duration duration);
    void applyTargets(const std::vector<KeyedRecord>& records, bool isWhole, TimePoint readAt);
    void storeRecord(const KeyedRecord& record);
    void applyConfiguration(const KeyedPage& page);
    void recordCall(KeyedStream stream, std::optional<PlatformError> failure);

    boost::asio::io_context& context;
    const Clock& clock;
    PlatformStore& store;
    const RecordDecoder& decoder;
    ServingView& view;
    EventLog& log;
    MetricsRegistry& metrics;
    ViewFollowerSettings settings;
    std::function<void()> configurationChanged;
    std::optional<KeyedRecord> newestConfiguration;
    std::map<std::string, std::string, std::less<>> records; // Of targets, by id.
    std::map<KeyedStream, bool> connected;
};

}
