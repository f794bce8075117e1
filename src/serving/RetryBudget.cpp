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

void RetryBudget::noteInstances(std::size_t instances)
{
    this->sharers = std::max(this->sharers, 2 * instances);
}

void RetryBudget::noteFirst(std::string_view service, TimePoint now)
{
    auto& window = this->windows[std::string { service }];
    this->expire(window, now);
    window.firsts.push_back(now);
}

bool RetryBudget::trySpend(std::string_view service, TimePoint now)
{
    if (this->left(service, now) < 1)
        return false;
    this->windows[std::string { service }].further.push_back(now);
    return true;
}

double RetryBudget::left(std::string_view service, TimePoint now)
{
    auto& window = this->windows[std::string { service }];
    this->expire(window, now);
    const auto allowed = this->settings.ratio * static_cast<double>(window.firsts.size())
        + this->settings.slack / static_cast<double>(this->sharers);
    return allowed - static_cast<double>(window.further.size());
}

void RetryBudget::expire(Window& window, TimePoint now) const
{
    const auto oldest = now - this->settings.window;
    while (!window.firsts.empty() && window.firsts.front() < oldest)
        window.firsts.pop_front();
    while (!window.further.empty() && window.further.front() < oldest)
        window.further.pop_front();
}

}
