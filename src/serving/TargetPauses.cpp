#include "serving/TargetPauses.h"

#include <algorithm>

namespace marigoldpaddle {

void TargetPauses::setLongestPause(Duration longest)
{
    this->longestPause = longest;
}

std::optional<Duration> TargetPauses::pause(std::string_view target, Duration requested, TimePoint now)
{
    const auto length = std::min(requested, this->longestPause);
    if (now + length <= this->end(target, now).value_or(now))
        return std::nullopt;
    this->ends.insert_or_assign(std::string { target }, now + length);
    return length;
}

std::optional<TimePoint> TargetPauses::end(std::string_view target, TimePoint now) const
{
    const auto found = this->ends.find(target);
    return found != this->ends.end() && now < found->second ? std::optional { found->second } : std::nullopt;
}

bool TargetPauses::isPaused(std::string_view target, TimePoint now) const
{
    return this->end(target, now).has_value();
}

void TargetPauses::expire(TimePoint now)
{
    std::erase_if(this->ends, [&](const auto& item) { return item.second <= now; });
}

}
