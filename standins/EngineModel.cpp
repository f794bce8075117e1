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

EngineModel::Admission EngineModel::admit(std::uint64_t jobId, const EnginePrompt& prompt, TimePoint now)
{
    if (prompt.localMemoryTokens > this->settings.profile.memoryTokens)
        return Admission::TooLarge;
    if (this->waiting.size() + this->batch.size() >= this->settings.profile.batchSlots + this->settings.queueLength)
        return Admission::Full;
    PromptState state;
    state.jobId = jobId;
    state.prompt = prompt;
    state.arrivalNumber = ++this->arrivalCount;
    const auto place = std::ranges::upper_bound(
        this->waiting, prompt.urgency, {}, [](const PromptState& each) { return each.prompt.urgency; });
    this->waiting.insert(place, state);
    this->beginPass(now);
    return Admission::Accepted;
}

bool EngineModel::prefillPart(
    std::uint64_t jobId, std::int64_t tokens, std::int64_t precedingTokens, const std::string& ticket, TimePoint now)
{
    if (!ticket.empty()) {
        const auto held = this->reservationsByTicket.find(ticket);
        if (held == this->reservationsByTicket.end() || held->second.usedByJob != 0)
            return false;
        held->second.usedByJob = jobId;
    }
    this->parts.push_back({ jobId, tokens, precedingTokens, 0, ticket });
    this->beginPass(now);
    return true;
}

void EngineModel::remotePartCompleted(std::uint64_t jobId, TimePoint now)
{
    auto* state = this->findPrompt(jobId);
    if (!state || state->prompt.remoteParts == 0)
        return;
    --state->prompt.remoteParts;
    this->beginPass(now);
}

void EngineModel::cancel(std::uint64_t jobId, TimePoint now)
{
    const auto isJob = [&](const auto& each) {
        return each.jobId == jobId;
    };
    std::erase_if(this->waiting, isJob);
    std::erase_if(this->batch, isJob);
    std::erase_if(this->parts, isJob);
    for (auto& reservation : this->reservationsByTicket | std::views::values) {
        if (reservation.usedByJob == jobId)
            reservation.usedByJob = 0;
    }
    this->beginPass(now);
}

EngineModel::ReservationResult EngineModel::reserve(
    const std::string& ticket, std::int64_t tokens, Duration hold, TimePoint now)
{
    this->expireReservations(now);
    if (const auto held = this->reservationsByTicket.find(ticket); held != this->reservationsByTicket.end()) {
        held->second.expiresAt = now + hold;
        return ReservationResult::Held;
    }
    if (tokens > this->settings.profile.memoryTokens)
        return ReservationResult::TooLarge;
    const auto isFree = this->memoryUsed() + tokens <= this->settings.profile.memoryTokens;
    if (!isFree || this->reservationsByTicket.size() >= this->settings.reservationLimit)
        return ReservationResult::Refused;
    this->reservationsByTicket.emplace(ticket, MemoryReservation { tokens, now + hold, 0 });
    return ReservationResult::Held;
}

void EngineModel::release(const std::string& ticket)
{
    this->reservationsByTicket.erase(ticket);
}

std::vector<EngineEvent> EngineModel::advance(TimePoint now)
{
    std::vector<EngineEvent> events;
    while (this->pass && this->pass->endsAt <= now) {
        const auto endedAt = this->pass->endsAt;
        this->expireReservations(endedAt);
        this->endPass(events);
        this->beginPass(endedAt);
    }
    this->expireReservations(now);
    return events;
}

std::vector<std::uint64_t> EngineModel::takeExpiredJobs()
{
    return std::exchange(this->expiredJobs, {});
}

std::optional<TimePoint> EngineModel::nextDeadline() const
{
    std::optional<TimePoint> next;
    if (this->pass)
        next = this->pass->endsAt;
    for (const auto& reservation : this->reservationsByTicket | std::views::values)
        next = std::min(next.value_or(reservation.expiresAt), reservation.expiresAt);
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
        used += each.prompt.localMemoryTokens + each.generatedTokens;
    for (const auto& reservation : this->reservationsByTicket | std::views::values)
        used += reservation.tokens;
    return used;
}

std::int64_t EngineModel::memoryTotal() const
{
    return this->settings.profile.memoryTokens;
}

const std::map<std::string, EngineModel::MemoryReservation, std::less<>>& EngineModel::reservations() const
{
    return this->reservationsByTicket;
}

// A job that uses an expired reservation loses its memory and is reported by takeExpiredJobs().
void EngineModel::expireReservations(TimePoint now)
{
    std::erase_if(this->reservationsByTicket, [&](const auto& each) {
        if (each.second.expiresAt > now)
            return false;
        if (each.second.usedByJob != 0)
            this->expiredJobs.push_back(each.second.usedByJob);
        return true;
    });
}

void EngineModel::fillBatch()
{
    while (!this->waiting.empty() && this->batch.size() < this->settings.profile.batchSlots) {
        const auto& next = this->waiting.front();
        if (this->memoryUsed() + next.prompt.localMemoryTokens + next.generatedTokens
            > this->settings.profile.memoryTokens)
            return;
        this->batch.push_back(next);
        this->waiting.erase(this->waiting.begin());
    }
}

// Prefills as many of the remaining tokens as the budget of the pass allows. Returns the duration in milliseconds.
double EngineModel::prefillMs(
    std::int64_t& budget, std::int64_t& prefilledTokens, std::int64_t total, std::int64_t precedingTokens) const
{
    const auto tokens = std::min(budget, total - prefilledTokens);
    const auto pairs = static_cast<double>(tokens) * static_cast<double>(precedingTokens + prefilledTokens)
        + static_cast<double>(tokens) * static_cast<double>(tokens) / 2;
    budget -= tokens;
    prefilledTokens += tokens;
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
        if (!each.isDecoding())
            continue;
        next.decodingJobs.push_back(each.jobId);
        const auto context = static_cast<double>(each.prompt.localTokens + each.generatedTokens);
        stepMs += profile.stepMsPerRequest + profile.stepMsPerThousandContextTokens * context / TokensPerThousand;
    }
    const std::int64_t steps = next.decodingJobs.empty() ? 1 : profile.stepsPerPass;
    const auto maximumPrefillTokens = steps * this->settings.prefillTokensPerStep;
    auto budget = maximumPrefillTokens;
    double totalPrefillMs = 0;
    for (auto& part : std::views::reverse(this->parts))
        totalPrefillMs += this->prefillMs(budget, part.prefilledTokens, part.tokens, part.precedingTokens);
    for (auto& each : this->batch) {
        if (!each.isPrefilled)
            totalPrefillMs
                += this->prefillMs(budget, each.prefilledTokens, each.prompt.localTokens, each.prompt.precedingTokens);
    }
    if (next.decodingJobs.empty() && budget == maximumPrefillTokens)
        return;
    const auto passMs = (static_cast<double>(steps) * stepMs + totalPrefillMs) * this->settings.slowness;
    next.endsAt = now + milliseconds(passMs);
    this->pass = std::move(next);
}

void EngineModel::endPass(std::vector<EngineEvent>& events)
{
    const auto decodingJobs = std::move(this->pass->decodingJobs);
    this->pass.reset();
    std::erase_if(this->parts, [&](const Part& part) {
        if (part.prefilledTokens < part.tokens)
            return false;
        events.push_back({ part.jobId, EngineEvent::Kind::PartPrefilled, 0 });
        return true;
    });
    for (auto& each : this->batch) {
        const auto wasDecoding = std::ranges::find(decodingJobs, each.jobId) != decodingJobs.end();
        if (wasDecoding)
            this->generateTokens(each, this->settings.profile.stepsPerPass, events);
        else if (!each.isPrefilled && each.prefilledTokens >= each.prompt.localTokens)
            each.isPrefilled = true;
        // The end of the prefill yields the first output token.
        if (!wasDecoding && each.isDecoding() && each.generatedTokens == 0)
            this->generateTokens(each, 1, events);
    }
    std::erase_if(
        this->batch, [](const PromptState& each) { return each.generatedTokens >= each.prompt.outputTokens; });
    this->preemptNewest();
}

void EngineModel::generateTokens(PromptState& state, std::int64_t tokens, std::vector<EngineEvent>& events)
{
    const auto generated = std::min(tokens, state.prompt.outputTokens - state.generatedTokens);
    state.generatedTokens += generated;
    events.push_back({ state.jobId, EngineEvent::Kind::TokensGenerated, generated });
    if (state.generatedTokens >= state.prompt.outputTokens)
        events.push_back({ state.jobId, EngineEvent::Kind::Finished, 0 });
}

// Returns the newest prompts to the front of the queue until memory suffices. They keep the tokens that they have
// generated, but are prefilled again.
void EngineModel::preemptNewest()
{
    while (this->memoryUsed() > this->settings.profile.memoryTokens && !this->batch.empty()) {
        const auto newest = std::ranges::max_element(this->batch, {}, &PromptState::arrivalNumber);
        newest->prefilledTokens = 0;
        newest->isPrefilled = false;
        this->waiting.insert(this->waiting.begin(), *newest);
        this->batch.erase(newest);
    }
}

EngineModel::PromptState* EngineModel::findPrompt(std::uint64_t jobId)
{
    for (auto* list : { &this->batch, &this->waiting }) {
        const auto found = std::ranges::find(*list, jobId, &PromptState::jobId);
        if (found != list->end())
            return &*found;
    }
    return nullptr;
}

}
