#include "serving/ServingView.h"

#include <algorithm>
#include <utility>

namespace marigoldpaddle {

bool ServingView::install(ServingConfiguration configuration)
{
    if (configuration.version <= this->version())
        return false;
    this->active = std::make_shared<const ActiveConfiguration>(std::move(configuration));
    this->notifyUpdate();
    return true;
}

void ServingView::confirmConfiguration(BootTime at)
{
    this->confirmedAt = std::max(this->confirmedAt.value_or(at), at);
    if (at > this->knownAt)
        this->knownVersion = this->version();
    this->notifyUpdate();
}

std::optional<Duration> ServingView::configurationAge(BootTime now) const
{
    return this->confirmedAt ? std::optional { now - *this->confirmedAt } : std::nullopt;
}

void ServingView::recordKnownVersion(std::uint64_t version, BootTime at)
{
    if (version < this->knownVersion || version > MaximumVersion)
        return;
    this->knownVersion = version;
    this->knownAt = at;
}

void ServingView::onConfigurationUpdate(std::function<void()> notify)
{
    this->notify = std::move(notify);
}

void ServingView::notifyUpdate() const
{
    if (this->notify)
        this->notify();
}

}
