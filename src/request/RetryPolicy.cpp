#include <marigoldpaddle/RetryPolicy.h>

#include <algorithm>

namespace marigoldpaddle {

namespace {

constexpr double RetryCost = 1;
constexpr unsigned MaximumBackoffExponent = 16;

bool isCharged(RetryReason reason)
{
    return reason != RetryReason::OwnerChanged;
}

}

RetryPolicy::RetryPolicy(RetryLimits limits, std::mt19937_64& random)
    : limits(limits)
    , random(random)
    , availableRetries(limits.burst)
{
}

void RetryPolicy::setRatio(double ratio)
{
    this->limits.ratio = std::clamp(ratio, 0.0, 1.0);
}

void RetryPolicy::recordRequest()
{
    this->availableRetries = std::min(this->limits.burst, this->availableRetries + this->limits.ratio);
}

std::optional<Duration> RetryPolicy::permit(const RetryCandidate& candidate, TimePoint now)
{
    if (candidate.mayHaveExecuted && !candidate.isIdempotent)
        return std::nullopt;
    if (candidate.attemptsMade >= this->limits.attemptsPerRequest)
        return std::nullopt;
    if (isCharged(candidate.reason) && this->availableRetries < RetryCost)
        return std::nullopt;
    const auto delay = this->drawDelay(candidate.attemptsMade);
    if (now + delay >= candidate.deadline)
        return std::nullopt;
    if (isCharged(candidate.reason))
        this->availableRetries -= RetryCost;
    return delay;
}

double RetryPolicy::budget() const
{
    return this->availableRetries;
}

// Exponential back-off with full jitter: uniform between zero and a bound that doubles with each attempt.
Duration RetryPolicy::drawDelay(unsigned attemptsMade)
{
    const auto exponent = std::min(attemptsMade == 0 ? 0 : attemptsMade - 1, MaximumBackoffExponent);
    const auto bound = std::min(this->limits.maximumDelay, this->limits.baseDelay * (std::int64_t { 1 } << exponent));
    std::uniform_int_distribution<Duration::rep> distribution { 0, bound.count() };
    return Duration { distribution(this->random) };
}

}
