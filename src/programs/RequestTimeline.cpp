#include "programs/RequestTimeline.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace marigoldpaddle {

namespace {

// Returns the leading timestamp of a line, "YYYY-MM-DDTHH:MM:SS.mmm"; empty if the line does not start with one.
std::string_view timeOf(std::string_view line)
{
    constexpr std::size_t Length = 23;
    const auto time = line.substr(0, line.find(' '));
    const bool isTime = time.size() == Length && time[4] == '-' && time[10] == 'T' && time[19] == '.';
    return isTime ? time : std::string_view {};
}

}

std::string logFieldValue(std::string_view line, std::string_view field)
{
    const auto name = ' ' + std::string { field } + '=';
    const auto start = line.find(name);
    if (start == std::string_view::npos)
        return {};
    const auto value = line.substr(start + name.size());
    if (!value.starts_with('"'))
        return std::string { value.substr(0, value.find(' ')) };
    std::string text;
    for (std::size_t position = 1; position < value.size() && value[position] != '"'; ++position) {
        if (value[position] == '\\' && position + 1 < value.size())
            ++position;
        text += value[position];
    }
    return text;
}

RequestTimeline::RequestTimeline(std::string requestId)
    : requestId(std::move(requestId))
{
}

void RequestTimeline::read(std::istream& log)
{
    // The highest timestamp so far. It replaces lower timestamps of later lines, so that the lines of a log keep their
    // order if the clock of the instance steps back.
    std::string highestTime;
    std::map<std::string, Entry> unreportedChanges; // The last change of each target that is not in `entries` yet.
    std::string line;
    while (std::getline(log, line)) {
        const auto time = timeOf(line);
        if (time.empty())
            continue;
        highestTime = std::max(highestTime, std::string { time });
        const auto event = logFieldValue(line, "event");
        if (event == "target_changed" || event == "target_removed")
            unreportedChanges[logFieldValue(line, "target")] = { highestTime, line };
        if (logFieldValue(line, "id") != this->requestId)
            continue;
        if (const auto change = unreportedChanges.find(logFieldValue(line, "target"));
            change != unreportedChanges.end()) {
            this->entries.push_back(change->second);
            unreportedChanges.erase(change);
        }
        this->entries.push_back({ highestTime, line });
    }
}

std::vector<std::string> RequestTimeline::lines() const
{
    const auto& collected = this->entries;
    // The index as a second key keeps lines with equal times in the order in which they were read.
    std::vector<std::size_t> order(collected.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::ranges::sort(order, {}, [&](std::size_t index) { return std::pair { collected[index].time, index }; });
    std::vector<std::string> texts;
    std::ranges::transform(order, std::back_inserter(texts), [&](std::size_t index) { return collected[index].text; });
    return texts;
}

}
