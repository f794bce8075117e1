#pragma once

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldpaddle {

// Puts together what the logs of several instances say about one request: its own lines, and what its instance had
// learned last of each target that they name.
class LogStory {
public:
    explicit LogStory(std::string requestId);

    // Reads the log of one instance, oldest line first. Lines that are not log lines are skipped.
    void read(std::istream& log);

    // Returns the lines in order. Lines of one log keep their order, also where its clock stepped back; those of
    // several logs are merged by time, which is right up to the difference of their clocks.
    std::vector<std::string> lines() const;

private:
    struct Line {
        std::string time; // Of the line, or of a later one before it in its log.
        std::string text;
    };

    std::string requestId;
    std::vector<Line> found;
};

// Returns the value of a field of a log line, without quotes; empty when it is absent.
std::string fieldOf(std::string_view line, std::string_view field);

}
