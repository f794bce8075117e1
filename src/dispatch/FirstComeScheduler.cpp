#include "dispatch/FirstComeScheduler.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace marigoldpaddle {

namespace {

constexpr std::chrono::seconds GrantLifetime { 5 };
constexpr std::chrono::seconds RetryAfter { 1 };

std::uint64_t tokensOf(const PlacementRequest& request)
{
    return request.promptTokens + request.maximumOutputTokens;
}

}

SchedulerCommands FirstComeScheduler::submit(const PlacementRequest& request, TimePoint now)
{
    const auto isQueued = std::ranges::find(this->queue, request.id, &PlacementRequest::id) != this->queue.end();
    if (isQueued || this->granted.contains(request.id))
        return {};
    if (this->largestSpan() == 0)
        return { Refusal { request.id, RefusalReason::NoTarget, RetryAfter } };
    if (tokensOf(request) > this->largestSpan())
        return { Refusal { request.id, RefusalReason::PromptTooLong, Duration::zero() } };
    this->queue.push_back(request);
    return this->grantWaiting(now);
}

SchedulerCommands FirstComeScheduler::withdraw(const RequestId& id, TimePoint now)
{
    std::erase_if(this->queue, [&](const auto& request) { return request.id == id; });
    this->release(id);
    return this->grantWaiting(now);
}

SchedulerCommands FirstComeScheduler::firstToken(const RequestId&, TimePoint)
{
    return {};
}

SchedulerCommands FirstComeScheduler::finish(const RequestId& id, std::uint64_t, TimePoint now)
{
    this->release(id);
    return this->grantWaiting(now);
}

SchedulerCommands FirstComeScheduler::updateTarget(const TargetDescription& target, TimePoint now)
{
    this->targets[target.name].description = target;
    return this->grantWaiting(now);
}

SchedulerCommands FirstComeScheduler::removeTarget(std::string_view name, TimePoint now)
{
    const auto found = this->targets.find(name);
    if (found != this->targets.end())
        this->targets.erase(found);
    return this->grantWaiting(now);
}

SchedulerCommands FirstComeScheduler::reportLoad(const LoadReport&, TimePoint)
{
    return {};
}

SchedulerCommands FirstComeScheduler::reportCache(std::span<const CacheEvent>, TimePoint)
{
    return {};
}

SchedulerCommands FirstComeScheduler::adopt(const Holding& holding, TimePoint)
{
    if (this->granted.contains(holding.id))
        return {};
    for (const auto& part : holding.parts)
        this->targets[part.target].granted += part.tokens;
    this->granted[holding.id] = holding.parts;
    return {};
}

SchedulerCommands FirstComeScheduler::tick(TimePoint now)
{
    SchedulerCommands commands;
    const auto isLate = [&](const PlacementRequest& request) {
        return request.deadline <= now;
    };
    for (const auto& request : this->queue | std::views::filter(isLate))
        commands.push_back(Refusal { request.id, RefusalReason::DeadlineExceeded, RetryAfter });
    std::erase_if(this->queue, isLate);
    return commands;
}

TimePoint FirstComeScheduler::nextTick() const
{
    if (this->queue.empty())
        return TimePoint::max();
    return std::ranges::min(this->queue | std::views::transform(&PlacementRequest::deadline));
}

CellDigest FirstComeScheduler::digest(TimePoint) const
{
    CellDigest digest;
    for (const auto& [name, target] : this->targets) {
        digest.liveTargets += target.description.isLeaving ? 0 : 1;
        digest.freeTokens += target.freeTokens();
    }
    digest.queued = static_cast<std::uint32_t>(this->queue.size());
    digest.largestSpanTokens = this->largestSpan();
    return digest;
}

std::vector<PlacementRequest> FirstComeScheduler::drainQueue()
{
    std::vector<PlacementRequest> drained(this->queue.begin(), this->queue.end());
    this->queue.clear();
    return drained;
}

SchedulerCommands FirstComeScheduler::grantWaiting(TimePoint now)
{
    SchedulerCommands commands;
    while (!this->queue.empty()) {
        const auto& request = this->queue.front();
        auto parts = this->place(tokensOf(request));
        if (parts.empty())
            break;
        for (const auto& part : parts)
            this->targets[part.target].granted += part.tokens;
        this->granted[request.id] = parts;
        commands.push_back(Grant { request.id, std::move(parts), 0, std::min(request.deadline, now + GrantLifetime) });
        this->queue.pop_front();
    }
    return commands;
}

std::vector<GrantPart> FirstComeScheduler::place(std::uint64_t tokens) const
{
    std::vector<std::pair<std::uint64_t, std::string>> byFree;
    byFree.reserve(this->targets.size());
    for (const auto& [name, target] : this->targets)
        byFree.emplace_back(target.freeTokens(), name);
    std::ranges::sort(byFree, std::ranges::greater {});
    if (!byFree.empty() && byFree.front().first >= tokens)
        return { { byFree.front().second, tokens } };
    const auto capacity = std::ranges::max(this->targets | std::views::values
        | std::views::transform([](const auto& target) { return target.description.memoryTokens; }));
    if (tokens <= capacity)
        return {};
    std::vector<GrantPart> parts;
    for (const auto& [free, name] : byFree) {
        const auto share = std::min(free, tokens);
        if (share > 0)
            parts.push_back({ name, share });
        tokens -= share;
    }
    std::ranges::sort(parts, {}, &GrantPart::target);
    return tokens == 0 ? parts : std::vector<GrantPart> {};
}

std::uint64_t FirstComeScheduler::largestSpan() const
{
    const auto sizes = this->targets | std::views::values | std::views::transform([](const auto& target) {
        return target.description.isLeaving ? std::uint64_t { 0 } : target.description.memoryTokens;
    });
    return std::accumulate(sizes.begin(), sizes.end(), std::uint64_t { 0 });
}

void FirstComeScheduler::release(const RequestId& id)
{
    const auto found = this->granted.find(id);
    if (found == this->granted.end())
        return;
    for (const auto& part : found->second) {
        const auto target = this->targets.find(part.target);
        if (target != this->targets.end())
            target->second.granted -= std::min(target->second.granted, part.tokens);
    }
    this->granted.erase(found);
}

}
