#include "PolicyBaselines.h"

#include <algorithm>
#include <map>
#include <random>
#include <ranges>
#include <set>

#include <xxhash.h>

namespace marigoldpaddle {

namespace {

constexpr double UsableMemoryShare = 0.95; // Of a target's memory, when the width of a span is computed.

struct BaselineTarget {
    TargetDescription description;
    std::uint64_t grantedTokens { 0 };
    std::uint64_t prefillTokens { 0 };
    std::size_t outstanding { 0 };
    std::uint64_t reportedTokens { 0 };
    std::uint32_t reportedWaiting { 0 };
};

// Common base of the baselines: targets, grants, and a queue in the order of the policy.
class BaselineScheduler : public CellScheduler {
public:
    explicit BaselineScheduler(const CellSchedulerSettings& settings)
        : settings(settings)
    {
    }

    SchedulerCommands submit(const PlacementRequest& request, TimePoint now) override
    {
        if (this->usableTargets().empty())
            return { Refusal { request.id, RefusalReason::NoTarget, std::chrono::seconds { 1 } } };
        if (this->width(request) == 0)
            return { Refusal { request.id, RefusalReason::PromptTooLong, std::chrono::seconds { 60 } } };
        this->queue.emplace(this->rank(request), request);
        return this->dispatch(now);
    }

    SchedulerCommands withdraw(const RequestId& id, TimePoint now) override
    {
        std::erase_if(this->queue, [&](const auto& each) { return each.second.id == id; });
        return this->dispatch(now);
    }

    SchedulerCommands firstToken(const RequestId& id, TimePoint now) override
    {
        auto found = this->granted.find(id);
        if (found == this->granted.end() || !found->second.isPrefilling)
            return {};
        found->second.isPrefilling = false;
        this->releaseGrant(found->second, true, false);
        return this->dispatch(now);
    }

    SchedulerCommands finish(const RequestId& id, std::uint64_t, TimePoint now) override
    {
        auto found = this->granted.find(id);
        if (found == this->granted.end())
            return {};
        this->releaseGrant(found->second, found->second.isPrefilling, true);
        this->granted.erase(found);
        return this->dispatch(now);
    }

    SchedulerCommands updateTarget(const TargetDescription& target, TimePoint now) override
    {
        this->targets[target.name].description = target;
        return this->dispatch(now);
    }

    SchedulerCommands removeTarget(std::string_view name, TimePoint now) override
    {
        this->targets.erase(std::string { name });
        return this->dispatch(now);
    }

    SchedulerCommands reportLoad(const LoadReport& report, TimePoint) override
    {
        auto found = this->targets.find(report.target);
        if (found != this->targets.end()) {
            found->second.reportedTokens = report.usedTokens;
            found->second.reportedWaiting = report.waiting;
        }
        return {};
    }

    SchedulerCommands reportCache(std::span<const CacheEvent>, TimePoint) override
    {
        return {};
    }

    SchedulerCommands restoreGrant(const Holding& holding, TimePoint) override
    {
        this->recordGrant(holding.id, holding.parts, holding.promptTokens);
        return {};
    }

    SchedulerCommands tick(TimePoint now) override
    {
        SchedulerCommands commands;
        for (const auto& [rank, request] : this->queue)
            if (request.deadline <= now)
                commands.push_back(Refusal { request.id, RefusalReason::DeadlineExceeded, std::chrono::seconds { 1 } });
        std::erase_if(this->queue, [now](const auto& each) { return each.second.deadline <= now; });
        std::ranges::copy(this->dispatch(now), std::back_inserter(commands));
        return commands;
    }

    TimePoint nextTick() const override
    {
        auto deadlines = this->queue | std::views::values | std::views::transform(&PlacementRequest::deadline);
        return std::ranges::empty(deadlines) ? TimePoint::max() : std::ranges::min(deadlines);
    }

    CellDigest digest(TimePoint) const override
    {
        CellDigest digest;
        digest.cell = this->settings.cell;
        digest.queued = static_cast<std::uint32_t>(this->queue.size());
        std::size_t outstanding = this->queue.size();
        for (const auto& [name, target] : this->targets) {
            ++digest.liveTargets;
            outstanding += target.outstanding;
            digest.largestSpanTokens
                += static_cast<std::uint64_t>(UsableMemoryShare * static_cast<double>(target.description.memoryTokens));
        }
        digest.expectedWait = std::chrono::milliseconds { 10 } * outstanding / std::max(1U, digest.liveTargets);
        return digest;
    }

    std::vector<PlacementRequest> drainQueue() override
    {
        std::vector<PlacementRequest> requests;
        std::ranges::copy(this->queue | std::views::values, std::back_inserter(requests));
        this->queue.clear();
        return requests;
    }

protected:
    using Target = std::pair<const std::string, BaselineTarget>;
    using Rank = std::pair<std::uint64_t, std::uint64_t>;

    // Returns the eligible targets, best first. The request stays queued if its span needs more targets.
    virtual std::vector<Target*> preferredTargets(const PlacementRequest& request) = 0;

    virtual std::uint64_t rankTokens(const PlacementRequest&) const
    {
        return 0;
    }

    std::vector<Target*> usableTargets()
    {
        std::vector<Target*> result;
        for (auto& target : this->targets)
            if (!target.second.description.isLeaving)
                result.push_back(&target);
        return result;
    }

    std::uint64_t partTokens(const PlacementRequest& request)
    {
        auto width = std::max<std::size_t>(1, this->width(request));
        return (request.promptTokens + request.maximumOutputTokens + width - 1) / width;
    }

    std::map<std::string, BaselineTarget> targets;

private:
    struct GrantedRequest {
        std::vector<GrantPart> parts;
        std::uint64_t promptTokens { 0 };
        bool isPrefilling { true };
    };

    Rank rank(const PlacementRequest& request)
    {
        return { this->rankTokens(request), this->sequence++ };
    }

    std::size_t width(const PlacementRequest& request)
    {
        auto tokens = static_cast<double>(request.promptTokens + request.maximumOutputTokens);
        auto candidates = this->usableTargets();
        if (candidates.empty())
            return 0;
        auto tokensPerTarget
            = UsableMemoryShare * static_cast<double>(candidates.front()->second.description.memoryTokens);
        auto width = static_cast<std::size_t>(tokens / tokensPerTarget) + 1;
        return width <= candidates.size() ? width : 0;
    }

    SchedulerCommands dispatch(TimePoint now)
    {
        SchedulerCommands commands;
        while (!this->queue.empty()) {
            auto first = this->queue.begin();
            const auto& request = first->second;
            auto width = this->width(request);
            auto preferred = this->preferredTargets(request);
            if (width == 0 || preferred.size() < width)
                return commands;
            preferred.resize(width);
            std::ranges::sort(preferred, {}, [](const Target* target) { return target->first; });
            Grant grant { request.id, {}, 0, now + std::chrono::seconds { 2 } };
            for (auto* target : preferred)
                grant.parts.push_back({ target->first, this->partTokens(request) });
            this->recordGrant(request.id, grant.parts, request.promptTokens);
            commands.push_back(std::move(grant));
            this->queue.erase(first);
        }
        return commands;
    }

    void recordGrant(const RequestId& id, const std::vector<GrantPart>& parts, std::uint64_t promptTokens)
    {
        for (const auto& part : parts) {
            auto found = this->targets.find(part.target);
            if (found == this->targets.end())
                continue;
            auto& target = found->second;
            target.grantedTokens += part.tokens;
            target.prefillTokens += promptTokens / parts.size();
            ++target.outstanding;
        }
        this->granted.emplace(id, GrantedRequest { parts, promptTokens });
    }

    void releaseGrant(const GrantedRequest& request, bool isPrefillOver, bool isMemoryFree)
    {
        for (const auto& part : request.parts) {
            auto found = this->targets.find(part.target);
            if (found == this->targets.end())
                continue;
            auto& target = found->second;
            target.prefillTokens -= isPrefillOver ? request.promptTokens / request.parts.size() : 0;
            target.grantedTokens -= isMemoryFree ? part.tokens : 0;
            target.outstanding -= isMemoryFree ? 1 : 0;
        }
    }

    CellSchedulerSettings settings;
    std::map<Rank, PlacementRequest> queue;
    std::map<RequestId, GrantedRequest> granted;
    std::uint64_t sequence { 0 };
};

class RoundRobinScheduler final : public BaselineScheduler {
public:
    using BaselineScheduler::BaselineScheduler;

private:
    std::vector<Target*> preferredTargets(const PlacementRequest&) override
    {
        auto result = this->usableTargets();
        std::ranges::rotate(
            result, result.begin() + static_cast<std::ptrdiff_t>(this->nextTargetIndex++ % result.size()));
        return result;
    }

    std::size_t nextTargetIndex { 0 };
};

class LeastOutstandingScheduler final : public BaselineScheduler {
public:
    using BaselineScheduler::BaselineScheduler;

private:
    std::vector<Target*> preferredTargets(const PlacementRequest&) override
    {
        auto result = this->usableTargets();
        std::ranges::stable_sort(result, {}, [](const Target* target) { return target->second.outstanding; });
        return result;
    }
};

class TwoChoicesScheduler final : public BaselineScheduler {
public:
    using BaselineScheduler::BaselineScheduler;

private:
    std::vector<Target*> preferredTargets(const PlacementRequest&) override
    {
        auto result = this->usableTargets();
        std::ranges::shuffle(result, this->random);
        auto load = [](const Target* target) {
            return std::pair { target->second.reportedWaiting, target->second.reportedTokens };
        };
        if (result.size() > 1 && load(result[1]) < load(result[0]))
            std::swap(result[0], result[1]);
        return result;
    }

    std::mt19937_64 random { 1 };
};

class FirstComeEngineScheduler final : public BaselineScheduler {
public:
    using BaselineScheduler::BaselineScheduler;

private:
    std::vector<Target*> preferredTargets(const PlacementRequest& request) override
    {
        auto result = this->usableTargets();
        auto tokens = this->partTokens(request);
        std::erase_if(result, [tokens](const Target* target) {
            return target->second.grantedTokens + tokens > target->second.description.memoryTokens;
        });
        std::ranges::stable_sort(result, {}, [](const Target* target) { return target->second.grantedTokens; });
        return result;
    }
};

class PrefixAffinityScheduler final : public BaselineScheduler {
public:
    using BaselineScheduler::BaselineScheduler;

private:
    static constexpr std::size_t SessionBlockIndex = 3; // Earlier blocks may be common to a workspace.

    std::vector<Target*> preferredTargets(const PlacementRequest& request) override
    {
        auto result = this->usableTargets();
        const auto& blocks = request.prefixBlocks;
        auto block = blocks.empty() ? 0 : blocks[std::min(SessionBlockIndex, blocks.size() - 1)];
        std::ranges::sort(result, {}, [block](const Target* target) {
            return XXH3_64bits_withSeed(target->first.data(), target->first.size(), block);
        });
        return result;
    }
};

class ShortestFirstScheduler final : public BaselineScheduler {
public:
    using BaselineScheduler::BaselineScheduler;

private:
    static constexpr std::uint64_t MaximumPendingPrefillTokens = 3'000; // A target with more gets no further request.

    std::uint64_t rankTokens(const PlacementRequest& request) const override
    {
        return request.promptTokens;
    }

    std::vector<Target*> preferredTargets(const PlacementRequest& request) override
    {
        auto result = this->usableTargets();
        auto tokens = this->partTokens(request);
        std::erase_if(result, [tokens](const Target* target) {
            return target->second.grantedTokens + tokens > target->second.description.memoryTokens
                || target->second.prefillTokens > MaximumPendingPrefillTokens;
        });
        std::ranges::stable_sort(result, {}, [](const Target* target) { return target->second.prefillTokens; });
        return result;
    }
};

}

std::string_view name(Policy policy)
{
    switch (policy) {
    case Policy::SlackCost:
        return "slack-cost";
    case Policy::RoundRobin:
        return "round-robin";
    case Policy::LeastOutstanding:
        return "least-outstanding";
    case Policy::TwoChoices:
        return "two-choices";
    case Policy::FirstCome:
        return "first-come";
    case Policy::PrefixAffinity:
        return "prefix-affinity";
    case Policy::ShortestFirst:
        return "shortest-first";
    }
    return "unknown";
}

std::unique_ptr<CellScheduler> makeScheduler(Policy policy, const CellSchedulerSettings& settings)
{
    switch (policy) {
    case Policy::SlackCost:
        break;
    case Policy::RoundRobin:
        return std::make_unique<RoundRobinScheduler>(settings);
    case Policy::LeastOutstanding:
        return std::make_unique<LeastOutstandingScheduler>(settings);
    case Policy::TwoChoices:
        return std::make_unique<TwoChoicesScheduler>(settings);
    case Policy::FirstCome:
        return std::make_unique<FirstComeEngineScheduler>(settings);
    case Policy::PrefixAffinity:
        return std::make_unique<PrefixAffinityScheduler>(settings);
    case Policy::ShortestFirst:
        return std::make_unique<ShortestFirstScheduler>(settings);
    }
    return makeCellScheduler(settings);
}

}
