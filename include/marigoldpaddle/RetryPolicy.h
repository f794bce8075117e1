#pragma once

#include <optional>
#include <random>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Reasons.h>

namespace marigoldpaddle {

struct RetryLimits {
    double ratio { 0.1 }; // Retries earned by each request, from 0 to 1.
    double burst { 16 }; // Most retries that can be saved up.
    unsigned attemptsPerRequest { 8 }; // Including the first.
    Duration baseDelay { std::chrono::milliseconds { 5 } }; // Upper bound of the delay before the first retry.
    Duration maximumDelay { std::chrono::milliseconds { 500 } }; // Upper bound of the delay before any retry.
};

// A request whose attempt has ended without an answer.
struct RetryCandidate {
    RetryReason reason { RetryReason::ConnectFailed };
    unsigned attemptsMade { 1 };
    bool isIdempotent { true };
    bool mayHaveRun { false }; // A byte was written to a target that has not answered that it did not execute it.
    TimePoint deadline {};
};

// Decides whether an attempt may be repeated and how long to wait before it. Retries that cost a target work draw on a
// budget that requests pay into, so that failures cannot multiply the load; a changed owner has cost no target anything
// and takes its whole queue with it, so asking its successor is free. Not thread-safe.
class RetryPolicy {
public:
    // `random` must outlive the policy.
    RetryPolicy(RetryLimits limits, std::mt19937_64& random);

    // Takes over the ratio of the preset in force.
    void setRatio(double ratio);

    // Pays for the first attempt of a request.
    void noteRequest();

    // Returns the delay before the next attempt and charges it to the budget. Without a value the attempt must not be
    // repeated: what was sent is not idempotent, its attempts or the budget are used up, or its deadline comes first.
    std::optional<Duration> permit(const RetryCandidate& candidate, TimePoint now);

    // Returns how many retries the budget holds.
    double budget() const;

private:
    Duration drawDelay(unsigned attemptsMade);

    RetryLimits limits;
    std::mt19937_64& random;
    double saved;
};

}
