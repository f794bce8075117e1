#include "serving/RetryBudget.h"

#include <algorithm>

namespace marigoldpaddle {

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : settings(settings)
{
}

void RetryBudget::setSettings(const RetryBudgetSettings& settings)
{
    this->settings = settings;
}

void RetryBudget::updateInstanceCount(std::size_t instances)
{
    this->slackSharers = std::max(this->slackSharers, 2 * instances);
}

void RetryBudget::recordFirstSend(std::string_view service, TimePoint now)
{
    auto& window = this->windows[std::string { service }];
    this->expire(window, now);
    window.firstSends.push_back(now);
}

bool RetryBudget::trySpend(std::string_view service, TimePoint now)
{
    if (this->remaining(service, now) < 1)
        return false;
    this->windows[std::string { service }].retries.push_back(now);
    return true;
}

double RetryBudget::remaining(std::string_view service, TimePoint now)
{
    auto& window = this->windows[std::string { service }];
    this->expire(window, now);
    const auto allowed = this->settings.ratio * static_cast<double>(window.firstSends.size())
        + this->settings.slack / static_cast<double>(this->slackSharers);
    return allowed - static_cast<double>(window.retries.size());
}

void RetryBudget::expire(Window& window, TimePoint now) const
{
    const auto oldest = now - this->settings.window;
    while (!window.firstSends.empty() && window.firstSends.front() < oldest)
        window.firstSends.pop_front();
    while (!window.retries.empty() && window.retries.front() < oldest)
        window.retries.pop_front();
}

}
