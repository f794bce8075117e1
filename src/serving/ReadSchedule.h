#pragma once

#include <cstddef>
#include <random>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

struct ReadScheduleSettings {
    Duration bound { std::chrono::seconds { 2 } }; // Time within which a change has to be known.
    Duration retryDelay { std::chrono::milliseconds { 250 } }; // After the first failed read.
    // How long a read of the first rank waits for a change. Its reads follow each other without a pause then, and the
    // views of the other instances get older by this time.
    Duration pollWait {};
};

// Decides when an instance reads a stream of the platform's store itself. Instances of an availability zone pass on
// what they read, so one reader a zone is enough. Nobody elects it: every instance reads once its own view has reached
// an age that grows with its rank, and a view that a peer has refreshed does not reach it. When the reader is frozen,
// cut off or refused by the store, the views grow older and the next ranks read within the bound; beyond the last rank
// every instance reads for itself, spread over time. Pure computation, no I/O.
class ReadSchedule {
public:
    // Ranks with an age of their own. The view of an instance of a higher rank gets older before it reads.
    static constexpr std::size_t Ranks = 4;

    ReadSchedule(ReadScheduleSettings settings, std::mt19937_64 random);

    void setSettings(const ReadScheduleSettings& settings);

    // Returns the time until the next read is due, zero if it is due now. `rank` is the number of live instances of the
    // zone that read before this one, `age` that of the view; Duration::max() without a view.
    Duration timeUntilDue(std::size_t rank, Duration age, TimePoint now) const;

    // Record the outcome of a read. After failures in a row the delay grows, for a ranked instance only a little: one
    // of them is enough to notice that the store is back.
    void recordSuccess();
    void recordFailure(std::size_t rank, TimePoint now);

    // Whether the last read failed. Another instance is then more likely to reach the store.
    bool isFailing() const;

private:
    Duration dueAge(std::size_t rank) const;
    double randomShare(double from, double to);

    ReadScheduleSettings settings;
    std::mt19937_64 random;
    double lastResortShare; // Of the bound, drawn anew after each read.
    unsigned failures { 0 }; // In a row.
    TimePoint notBefore {}; // After a failure.
};

}
