#include "programs/LogStory.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace marigoldpaddle {

namespace {

// Returns the time at which a line begins, "YYYY-MM-DDTHH:MM:SS.mmm"; empty for other lines.
std::string_view timeOf(std::string_view line)
{
    constexpr std::size_t Length = 23;
    const auto time = line.substr(0, line.find(' '));
    const bool isTime = time.size() == Length && time[4] == '-' && time[10] == 'T' && time[19] == '.';
    return isTime ? time : std::string_view {};
}

}

std::string fieldOf(std::string_view line, std::string_view field)
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

LogStory::LogStory(std::string requestId)
    : requestId(std::move(requestId))
{
}

void LogStory::read(std::istream& log)
{
    std::string newest; // The highest time so far: a clock that steps back does not disorder its own log.
    std::map<std::string, Line> targets; // The last line about each target, until it was told.
    std::string line;
    while (std::getline(log, line)) {
        const auto time = timeOf(line);
        if (time.empty())
            continue;
        newest = std::max(newest, std::string { time });
        const auto event = fieldOf(line, "event");
        if (event == "target_changed" || event == "target_removed")
            targets[fieldOf(line, "target")] = { newest, line };
        if (fieldOf(line, "id") != this->requestId)
            continue;
        if (const auto known = targets.find(fieldOf(line, "target")); known != targets.end()) {
            this->found.push_back(known->second);
            targets.erase(known);
        }
        this->found.push_back({ newest, line });
    }
}

std::vector<std::string> LogStory::lines() const
{
    const auto& sorted = this->found;
    // Equal times keep the order in which they were read.
    std::vector<std::size_t> order(sorted.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::ranges::sort(order, {}, [&](std::size_t index) { return std::pair { sorted[index].time, index }; });
    std::vector<std::string> texts;
    std::ranges::transform(order, std::back_inserter(texts), [&](std::size_t index) { return sorted[index].text; });
    return texts;
}

}
