#include "serving/FetchSources.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace marigoldpaddle {

void FetchSources::begin(const std::string& address, TimePoint now, Duration patience)
{
    this->open.insert(address);
    this->latest = address;
    this->patientUntil = now + patience;
}

void FetchSources::end(const std::string& address, Result result)
{
    this->open.erase(address);
    std::erase(this->answering, address);
    if (result == Result::Progress || result == Result::Late)
        this->answering.push_back(address);
    else
        this->excluded.insert(address);
    if (result == Result::NoAnswer)
        ++this->unanswered;
    if (result == Result::Progress || address == this->latest)
        this->patientUntil.reset();
}

TimePoint FetchSources::nextAt() const
{
    if (this->open.size() >= MaximumOpen)
        return TimePoint::max();
    return this->patientUntil.value_or(TimePoint {});
}

bool FetchSources::hasOpen() const
{
    return !this->open.empty();
}

std::optional<std::string> FetchSources::next(PeerExchange& exchange, std::uint64_t version, TimePoint now) const
{
    const auto awaited = this->open.size() + this->unanswered;
    const auto isIdle = [this](const std::string& address) {
        return !this->open.contains(address);
    };
    const auto known = std::ranges::find_if(this->answering.rbegin(), this->answering.rend(), isIdle);
    if (awaited > 0 && known != this->answering.rend())
        return *known;
    auto unavailable = this->excluded;
    unavailable.insert(this->open.begin(), this->open.end());
    const auto preference = awaited < LocalAttempts ? PeerExchange::SourcePreference::LocalZone
                                                    : PeerExchange::SourcePreference::OtherZones;
    return exchange.configurationSource(version, unavailable, preference, now);
}

}
