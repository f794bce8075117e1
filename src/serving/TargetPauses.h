#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// Targets that have asked this instance to send nothing for some time (503 with Retry-After). Unlike an ejection, which
// is a guess from outcomes, a pause is the target's own word: it holds even if all targets are paused. A pause ends by
// time alone. It belongs to the id, not to the incarnation: the answer may come from a restarted target before its
// registration does. Pure computation, no I/O.
class TargetPauses {
public:
    // Pauses are cut to this length, so that no value of a target excludes it for good.
    static constexpr Duration DefaultLongestPause = std::chrono::seconds { 60 };

    // Applies to later pauses.
    void setLongestPause(Duration longest);

    // Pauses a target from `now` on. An earlier pause that ends later stays in force. Returns the length of the pause
    // from `now` if its end has moved.
    std::optional<Duration> pause(std::string_view target, Duration requested, TimePoint now);

    // End of the target's pause; empty if it is not paused.
    std::optional<TimePoint> end(std::string_view target, TimePoint now) const;

    bool isPaused(std::string_view target, TimePoint now) const;

    // Drops pauses that have ended.
    void expire(TimePoint now);

private:
    std::map<std::string, TimePoint, std::less<>> ends;
    Duration longestPause { DefaultLongestPause };
};

}
