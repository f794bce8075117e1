#pragma once

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldpaddle {

// Collects the log lines of several instances about one request: every line with the id of the request, preceded by the
// latest earlier target_changed or target_removed line of the target that it names in the same log, unless that line
// was included already.
class RequestTimeline {
public:
    explicit RequestTimeline(std::string requestId);

    // Reads the log of one instance, oldest line first. Lines without a leading timestamp are skipped.
    void read(std::istream& log);

    // Returns the lines in order of time. Lines of the same log keep their order, even if the clock of the instance
    // stepped back. Lines of different logs are merged by time, so their order is only as accurate as the clocks of the
    // instances.
    std::vector<std::string> lines() const;

private:
    struct Entry {
        std::string time; // The highest timestamp in the log up to and including this line.
        std::string text;
    };

    std::string requestId;
    std::vector<Entry> entries;
};

// Returns the value of a field of a log line, without quotes and escapes; empty if the field is absent.
std::string logFieldValue(std::string_view line, std::string_view field);

}
