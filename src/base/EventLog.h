#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// One field of a log line. Text is quoted if it is empty or contains spaces, quotes, '=', control characters or
// non-ASCII bytes. Durations are written in milliseconds.
struct LogField {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool, Duration> value;
};

// Writes structured lines (`event=NAME field=value …`) to the standard output from a background thread. write() never
// blocks: if the reader of the output is slow, the oldest queued lines are overwritten. Lines above the rate limit are
// dropped. Overwritten and dropped lines are counted, and the next line that is written reports them as dropped_lines.
class EventLog {
public:
    struct Settings {
        std::string instance;
        unsigned linesPerSecond { 2000 };
        std::size_t maximumQueuedLines { 4096 };
    };

    // `clock` must outlive the log. It is used for the rate limit only.
    EventLog(const Clock& clock, const Settings& settings);
    ~EventLog();

    void write(std::string_view event, std::initializer_list<LogField> fields);

    // Returns the number of lines that were overwritten in the queue or exceeded the rate limit.
    std::uint64_t dropped() const;

    // Writes the queued lines and stops the background thread. Later calls to write() have no effect.
    void close();

private:
    bool isWithinRate();

    struct Sink;
    const Clock& clock;
    Settings settings;
    std::unique_ptr<Sink> sink;
    TimePoint rateWindowStart {};
    unsigned linesInWindow { 0 };
    std::uint64_t linesOverRate { 0 };
    std::uint64_t reportedDropped { 0 };
};

}
