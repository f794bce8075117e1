#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <gmock/gmock.h>

#include <marigoldpaddle/CellScheduler.h>

namespace marigoldpaddle {

// A scheduler with a manual clock.
class CellSchedulerFixture : public testing::Test {
protected:
    static TargetDescription target(const std::string& name, std::uint64_t memoryTokens)
    {
        TargetDescription description;
        description.name = name;
        description.serves = "model";
        description.memoryTokens = memoryTokens;
        return description;
    }

    TimePoint now() const
    {
        return this->clock.now();
    }

    SchedulerCommands addTarget(const std::string& name, std::uint64_t memoryTokens)
    {
        return this->scheduler->updateTarget(target(name, memoryTokens), this->now());
    }

    PlacementRequest request(
        const std::string& id, std::uint64_t tokens, Duration allowed = std::chrono::seconds { 600 }) const
    {
        PlacementRequest request;
        request.id.value = id;
        request.owner.name = "gateway-1";
        request.workspace = "workspace";
        request.promptTokens = tokens;
        request.maximumOutputTokens = 100;
        request.deadline = this->now() + allowed;
        return request;
    }

    SchedulerCommands submit(const std::string& id, std::uint64_t tokens,
        Duration allowed = std::chrono::seconds { 600 }, const std::string& workspace = "workspace")
    {
        auto request = this->request(id, tokens, allowed);
        request.workspace = workspace;
        return this->scheduler->submit(request, this->now());
    }

    SchedulerCommands finish(const std::string& id)
    {
        return this->scheduler->finish(RequestId { id }, 100, this->now());
    }

    static std::vector<std::string> grantsOf(const SchedulerCommands& commands)
    {
        std::vector<std::string> ids;
        for (const auto& command : commands)
            if (const auto* grant = std::get_if<Grant>(&command))
                ids.push_back(grant->id.value);
        return ids;
    }

    static std::vector<RefusalReason> refusalsOf(const SchedulerCommands& commands)
    {
        std::vector<RefusalReason> reasons;
        for (const auto& command : commands)
            if (const auto* refusal = std::get_if<Refusal>(&command))
                reasons.push_back(refusal->reason);
        return reasons;
    }

    // Advances time until the request is granted, and returns the number of grants up to and including its own.
    std::size_t grantsUntil(const std::string& id)
    {
        std::size_t count = 0;
        for (int step = 0; step < 1'000; ++step) {
            for (const auto& granted : grantsOf(this->scheduler->tick(this->now()))) {
                ++count;
                if (granted == id)
                    return count;
            }
            this->clock.advance(std::chrono::milliseconds { 50 });
        }
        return count;
    }

    ManualClock clock;
    std::unique_ptr<CellScheduler> scheduler { makeCellScheduler({}) };
};

}
