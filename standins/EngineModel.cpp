#include "standins/EngineModel.h"

#include <algorithm>
#include <numeric>
#include <ranges>
#include <utility>

namespace marigoldpaddle::standins {

namespace {

constexpr double TokensPerThousand = 1000;
constexpr double PairsPerMillion = 1e6;

Duration milliseconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli> { count });
}

}

EngineModel::EngineModel(EngineModelSettings settings)
    : settings(std::move(settings))
{
}

EngineModel::Admission EngineModel::admit(std::uint64_t work, const EnginePrompt& prompt, TimePoint now)
{
    if (prompt.memoryHere > this->settings.profile.memoryTokens)
        return Admission::TooLarge;
    if (this->waiting.size() + this->batch.size() >= this->settings.profile.batchSlots + this->settings.queueLength)
        return Admission::Full;
    Running running;
    running.work = work;
    running.prompt = prompt;
    running.arrival = ++this->arrivals;
    const auto place = std::ranges::upper_bound(
        this->waiting, prompt.urgency, {}, [](const Running& each) { return each.prompt.urgency; });
    this->waiting.insert(place, running);
    this->beginPass(now);
    return Admission::Accepted;
}

bool EngineModel::readPart(
    std::uint64_t work, std::int64_t tokens, std::int64_t before, const std::string& ticket, TimePoint now)
{
    if (!ticket.empty()) {
        const auto held = this->reserved.find(ticket);
        if (held == this->reserved.end() || held->second.user != 0)
            return false;
        held->second.user = work;
    }
    this->parts.push_back({ work, tokens, before, 0, ticket });
    this->beginPass(now);
    return true;
}

void EngineModel::partArrived(std::uint64_t work, TimePoint now)
{
    auto* running = this->find(work);
    if (!running || running->prompt.partsElsewhere == 0)
        return;
    --running->prompt.partsElsewhere;
    this->beginPass(now);
}

void EngineModel::cancel(std::uint64_t work, TimePoint now)
{
    const auto isIt = [&](const auto& each) {
        return each.work == work;
    };
    std::erase_if(this->waiting, isIt);
    std::erase_if(this->batch, isIt);
    std::erase_if(this->parts, isIt);
    for (auto& ticket : this->reserved | std::views::values) {
        if (ticket.user == work)
            ticket.user = 0;
    }
    this->beginPass(now);
}

EngineModel::Reservation EngineModel::reserve(
    const std::string& ticket, std::int64_t tokens, Duration hold, TimePoint now)
{
    this->lapseTickets(now);
    if (const auto held = this->reserved.find(ticket); held != this->reserved.end()) {
        held->second.lapsesAt = now + hold;
        return Reservation::Held;
    }
    if (tokens > this->settings.profile.memoryTokens)
        return Reservation::TooLarge;
    const auto isFree = this->memoryUsed() + tokens <= this->settings.profile.memoryTokens;
    if (!isFree || this->reserved.size() >= this->settings.reservationLimit)
        return Reservation::Refused;
    this->reserved.emplace(ticket, Ticket { tokens, now + hold, 0 });
    return Reservation::Held;
}

void EngineModel::release(const std::string& ticket)
{
    this->reserved.erase(ticket);
}

std::vector<EngineEvent> EngineModel::advance(TimePoint now)
{
    std::vector<EngineEvent> events;
    while (this->pass && this->pass->endsAt <= now) {
        const auto endedAt = this->pass->endsAt;
        this->lapseTickets(endedAt);
        this->endPass(events);
        this->beginPass(endedAt);
    }
    this->lapseTickets(now);
    return events;
}

std::vector<std::uint64_t> EngineModel::takeCutOff()
{
    return std::exchange(this->cutOff, {});
}

std::optional<TimePoint> EngineModel::nextDeadline() const
{
    std::optional<TimePoint> next;
    if (this->pass)
        next = this->pass->endsAt;
    for (const auto& ticket : this->reserved | std::views::values)
        next = std::min(next.value_or(ticket.lapsesAt), ticket.lapsesAt);
    return next;
}

void EngineModel::setSlowness(double factor)
{
    this->settings.slowness = factor;
}

std::size_t EngineModel::queued() const
{
    return this->waiting.size();
}

std::size_t EngineModel::active() const
{
    return this->batch.size();
}

std::int64_t EngineModel::memoryUsed() const
{
    std::int64_t used = 0;
    for (const auto& each : this->batch)
        used += each.prompt.memoryHere + each.written;
    for (const auto& ticket : this->reserved | std::views::values)
        used += ticket.tokens;
    return used;
}

std::int64_t EngineModel::memoryTotal() const
{
    return this->settings.profile.memoryTokens;
}

const std::map<std::string, EngineModel::Ticket, std::less<>>& EngineModel::tickets() const
{
    return this->reserved;
}

// A prompt whose ticket lapses while it is used loses its memory and is cut off.
void EngineModel::lapseTickets(TimePoint now)
{
    std::erase_if(this->reserved, [&](const auto& each) {
        if (each.second.lapsesAt > now)
            return false;
        if (each.second.user != 0)
            this->cutOff.push_back(each.second.user);
        return true;
    });
}

void EngineModel::fillBatch()
{
    while (!this->waiting.empty() && this->batch.size() < this->settings.profile.batchSlots) {
        const auto& next = this->waiting.front();
        if (this->memoryUsed() + next.prompt.memoryHere + next.written > this->settings.profile.memoryTokens)
            return;
        this->batch.push_back(next);
        this->waiting.erase(this->waiting.begin());
    }
}

// Takes tokens from the budget of a pass, and returns the time that reading them takes.
double EngineModel::readMs(std::int64_t& budget, std::int64_t& read, std::int64_t total, std::int64_t before) const
{
    const auto tokens = std::min(budget, total - read);
    const auto pairs = static_cast<double>(tokens) * static_cast<double>(before + read)
        + static_cast<double>(tokens) * static_cast<double>(tokens) / 2;
    budget -= tokens;
    read += tokens;
    return static_cast<double>(tokens) / this->settings.profile.promptTokensPerMs
        + pairs / PairsPerMillion * this->settings.profile.msPerMillionPairs;
}

void EngineModel::beginPass(TimePoint now)
{
    if (this->pass)
        return;
    this->fillBatch();
    const auto& profile = this->settings.profile;
    Pass next;
    double stepMs = profile.stepMs;
    for (const auto& each : this->batch) {
        if (!each.isWriting())
            continue;
        next.writers.push_back(each.work);
        const auto context = static_cast<double>(each.prompt.tokensHere + each.written);
        stepMs += profile.stepMsPerRequest + profile.stepMsPerThousandContextTokens * context / TokensPerThousand;
    }
    const std::int64_t steps = next.writers.empty() ? 1 : profile.stepsPerPass;
    const auto readable = steps * this->settings.tokensReadPerStep;
    auto budget = readable;
    double readingMs = 0;
    for (auto& part : std::views::reverse(this->parts))
        readingMs += this->readMs(budget, part.read, part.tokens, part.before);
    for (auto& each : this->batch) {
        if (!each.didRead)
            readingMs += this->readMs(budget, each.read, each.prompt.tokensHere, each.prompt.tokensBefore);
    }
    if (next.writers.empty() && budget == readable)
        return;
    const auto passMs = (static_cast<double>(steps) * stepMs + readingMs) * this->settings.slowness;
    next.endsAt = now + milliseconds(passMs);
    this->pass = std::move(next);
}

void EngineModel::endPass(std::vector<EngineEvent>& events)
{
    const auto writers = std::move(this->pass->writers);
    this->pass.reset();
    std::erase_if(this->parts, [&](const Part& part) {
        if (part.read < part.tokens)
            return false;
        events.push_back({ part.work, EngineEvent::Kind::PartRead, 0 });
        return true;
    });
    for (auto& each : this->batch) {
        const auto didWrite = std::ranges::find(writers, each.work) != writers.end();
        if (didWrite)
            this->write(each, this->settings.profile.stepsPerPass, events);
        else if (!each.didRead && each.read >= each.prompt.tokensHere)
            each.didRead = true;
        // The first token comes with the end of the reading.
        if (!didWrite && each.isWriting() && each.written == 0)
            this->write(each, 1, events);
    }
    std::erase_if(this->batch, [](const Running& each) { return each.written >= each.prompt.outputTokens; });
    this->yieldMemory();
}

void EngineModel::write(Running& running, std::int64_t tokens, std::vector<EngineEvent>& events)
{
    const auto written = std::min(tokens, running.prompt.outputTokens - running.written);
    running.written += written;
    events.push_back({ running.work, EngineEvent::Kind::Written, written });
    if (running.written >= running.prompt.outputTokens)
        events.push_back({ running.work, EngineEvent::Kind::Finished, 0 });
}

// The newest prompt goes back to the queue and is read again, with what it had written.
void EngineModel::yieldMemory()
{
    while (this->memoryUsed() > this->settings.profile.memoryTokens && !this->batch.empty()) {
        const auto newest = std::ranges::max_element(this->batch, {}, &Running::arrival);
        newest->read = 0;
        newest->didRead = false;
        this->waiting.insert(this->waiting.begin(), *newest);
        this->batch.erase(newest);
    }
}

EngineModel::Running* EngineModel::find(std::uint64_t work)
{
    for (auto* list : { &this->batch, &this->waiting }) {
        const auto found = std::ranges::find(*list, work, &Running::work);
        if (found != list->end())
            return &*found;
    }
    return nullptr;
}

}
