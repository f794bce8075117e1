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
    // Less than a change may take to be in force.
    Duration configurationWait { std::chrono::milliseconds { 1400 } };
    // Less than half of the time that a leaving target serves on.
    Duration targetsPeriod { std::chrono::milliseconds { 900 } };
    Duration retryPause { std::chrono::milliseconds { 250 } }; // After a failed call.
};

// Follows the platform's keyed streams into the view.
class ViewFollower {
public:
    // Everything that is passed by reference must outlive the follower. `changed` is called after the view changed.
    ViewFollower(boost::asio::io_context& context, const Clock& clock, PlatformStore& store,
        const RecordDecoder& decoder, ServingView& view, EventLog& log, MetricsRegistry& metrics,
        ViewFollowerSettings settings);

    void start(std::function<void()> configurationChanged);

    // Takes effect with the next call to the platform.
    void setSettings(const ViewFollowerSettings& settings);

    // The newest configuration record that was taken, for peers that the platform turns away.
    const std::optional<KeyedRecord>& configurationRecord() const;

    // Takes a configuration record from a peer.
    void takeConfiguration(const KeyedRecord& record, std::string_view source);

    // The newest records of the targets, by id.
    const std::map<std::string, std::string, std::less<>>& targetRecords() const;

    // Takes a whole listing from a peer, unless this instance's own view is newer than `age`.
    void takeTargets(const std::vector<KeyedRecord>& records, Duration age, std::string_view source);

private:
    boost::asio::awaitable<void> followConfiguration();
    boost::asio::awaitable<void> followTargets();
    // Everything if there is no offset to continue at.
    boost::asio::awaitable<PlatformResult<KeyedPage>> read(
        KeyedStream stream, std::optional<std::uint64_t> next, Duration wait);
    boost::asio::awaitable<void> pause(Duration duration);
    void applyTargets(const std::vector<KeyedRecord>& records, bool isWhole, TimePoint readAt);
    void keepRecord(const KeyedRecord& record);
    void applyConfiguration(const KeyedPage& page);
    void noteCall(KeyedStream stream, std::optional<PlatformError> failure);

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
