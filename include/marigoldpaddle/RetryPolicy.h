#pragma once

#include <optional>
#include <random>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Reasons.h>

namespace marigoldpaddle {

struct RetryLimits {
    double ratio { 0.1 }; // Retries that each request adds to the budget, from 0 to 1.
    double burst { 16 }; // Upper bound of the budget, in retries.
    unsigned attemptsPerRequest { 8 }; // Upper bound of the attempts of one request, including the first.
    Duration baseDelay { std::chrono::milliseconds { 5 } }; // Upper bound of the delay before the first retry.
    Duration maximumDelay { std::chrono::milliseconds { 500 } }; // Upper bound of the delay before any retry.
};

// A request whose last attempt failed.
struct RetryCandidate {
    RetryReason reason { RetryReason::ConnectFailed };
    unsigned attemptsMade { 1 };
    bool isIdempotent { true };
    bool mayHaveExecuted { false }; // Bytes were written to a target that has not denied execution.
    TimePoint deadline {};
};

// Decides whether an attempt may be retried, and after which back-off. Retries are charged to a budget that grows with
// the number of requests, so that failures cannot multiply the load (a retry budget). A retry after a change of the
// cell's owner is free: it costs no target any work, and all requests queued at the former owner need one at the same
// time. Not thread-safe.
class RetryPolicy {
public:
    // `random` must outlive the policy.
    RetryPolicy(RetryLimits limits, std::mt19937_64& random);

    // Sets RetryLimits::ratio, clamped to the range from 0 to 1.
    void setRatio(double ratio);

    // Records a new request, which adds to the budget.
    void recordRequest();

    // Charges the budget and returns the delay before the next attempt. Returns no value if the request must not be
    // retried: it is not idempotent and may have been executed, its attempts or the budget are exhausted, or its
    // deadline would pass during the delay.
    std::optional<Duration> permit(const RetryCandidate& candidate, TimePoint now);

    // Returns how many retries are left in the budget.
    double budget() const;

private:
    Duration drawDelay(unsigned attemptsMade);

    RetryLimits limits;
    std::mt19937_64& random;
    double availableRetries;
};

}
