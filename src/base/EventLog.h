#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// One field of a log line. Text is quoted where it needs it; durations are written in milliseconds.
struct LogField {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool, Duration> value;
};

// Writes structured lines (`event=NAME field=value …`) to the standard output from a thread of its own. Never blocks:
// while the reader is slow, the oldest waiting lines are overwritten and counted. Lines beyond the rate limit are
// counted as well; both counts appear in the next line that fits.
class EventLog {
public:
    struct Settings {
        std::string instance;
        unsigned linesPerSecond { 2000 };
        std::size_t waitingLines { 4096 };
    };

    // `clock` must outlive the log.
    EventLog(const Clock& clock, const Settings& settings);
    ~EventLog();

    void write(std::string_view event, std::initializer_list<LogField> fields);

    // Lines that were not written so far.
    std::uint64_t dropped() const;

    // Writes the waiting lines and ends the thread. Later lines are dropped.
    void close();

private:
    bool fitsRate();

    struct Sink;
    const Clock& clock;
    Settings settings;
    std::unique_ptr<Sink> sink;
    TimePoint second {};
    unsigned linesThisSecond { 0 };
    std::uint64_t overRate { 0 };
    std::uint64_t reported { 0 };
};

}
