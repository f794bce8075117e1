#include "configuration/ChangePublication.h"

#include <algorithm>

namespace marigoldpaddle {

namespace {

constexpr std::size_t PageRecords = 1000;

}

std::string_view name(PublicationOutcome outcome)
{
    switch (outcome) {
    case PublicationOutcome::Accepted:
        return "accepted";
    case PublicationOutcome::Refused:
        return "refused";
    case PublicationOutcome::NotPublished:
        return "not_published";
    case PublicationOutcome::Unknown:
        return "unknown";
    }
    return "invalid";
}

ChangePublication::ChangePublication(
    ConfigurationState& state, const ConfigurationChange& change, PublicationSettings settings, TimePoint now)
    : state(state)
    , id(change.id)
    , record(encodeChange(change))
    , settings(settings)
    , deadline(now + settings.timeout)
    , retryDelay(settings.minimumRetryDelay)
{
}

PublicationStep ChangePublication::start(TimePoint now)
{
    if (!decodeChange(this->record))
        return this->giveUp(
            "the change cannot be encoded as a record: names must have 1 to 200 bytes, values at most 64 KiB, "
            "a change at most 256 KiB, and all text must be valid UTF-8");
    return this->append(now);
}

PublicationStep ChangePublication::appendCompleted(const PlatformResult<std::uint64_t>& result, TimePoint now)
{
    const auto isCertainlyAbsent
        = !result && (result.error() == PlatformError::Unreachable || result.error() == PlatformError::Rejected);
    if (isCertainlyAbsent)
        return this->wait(now);
    this->mayBeInLog = true;
    this->isReadNext = true;
    return this->read(now);
}

PublicationStep ChangePublication::readCompleted(const PlatformResult<LogPage>& result, TimePoint now)
{
    if (!result && result.error() == PlatformError::Trimmed)
        return this->giveUp("the log was trimmed before the change could be read back");
    if (!result)
        return this->wait(now);
    for (const auto& each : result.value().records)
        this->state.apply(each.offset, each.data);
    if (const auto verdict = this->state.findResult(this->id)) {
        const auto outcome = verdict->isAccepted ? PublicationOutcome::Accepted : PublicationOutcome::Refused;
        return PublicationResult { outcome, *verdict, {} };
    }
    if (this->state.nextOffset() < result.value().next)
        return this->read(now);
    this->isReadNext = false; // The log was read to its end and does not contain the change.
    return this->wait(now);
}

PublicationStep ChangePublication::waitCompleted(TimePoint now)
{
    return this->isReadNext ? this->read(now) : this->append(now);
}

PublicationStep ChangePublication::append(TimePoint now)
{
    if (this->isExpired(now))
        return this->giveUp("no append of the change was confirmed before the timeout");
    if (this->appends == this->settings.maximumAppends)
        return this->giveUp("no append of the change was confirmed in " + std::to_string(this->appends) + " attempts");
    ++this->appends;
    return AppendStep { this->record };
}

PublicationStep ChangePublication::read(TimePoint now)
{
    if (this->isExpired(now))
        return this->giveUp("the change could not be read back before the timeout");
    return ReadStep { this->state.nextOffset(), PageRecords, this->settings.longPollTimeout };
}

PublicationStep ChangePublication::wait(TimePoint now)
{
    if (this->isExpired(now))
        return this->giveUp("the log could not be reached before the timeout");
    const auto delay = std::min(this->retryDelay, this->deadline - now);
    this->retryDelay = std::min(this->retryDelay * 2, this->settings.maximumRetryDelay);
    return WaitStep { delay };
}

PublicationStep ChangePublication::giveUp(std::string_view reason) const
{
    const auto outcome = this->mayBeInLog ? PublicationOutcome::Unknown : PublicationOutcome::NotPublished;
    return PublicationResult { outcome, {}, std::string { reason } };
}

bool ChangePublication::isExpired(TimePoint now) const
{
    return now >= this->deadline;
}

}
