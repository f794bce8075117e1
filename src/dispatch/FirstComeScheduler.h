#pragma once

#include <deque>
#include <map>
#include <string>

#include <marigoldpaddle/CellScheduler.h>

namespace marigoldpaddle {

// Grants requests strictly in the order of their arrival, each on the target with the most free memory, or on a span
// when no single target could ever hold it.
class FirstComeScheduler final : public CellScheduler {
public:
    SchedulerCommands submit(const PlacementRequest& request, TimePoint now) override;
    SchedulerCommands withdraw(const RequestId& id, TimePoint now) override;
    SchedulerCommands firstToken(const RequestId& id, TimePoint now) override;
    SchedulerCommands finish(const RequestId& id, std::uint64_t outputTokens, TimePoint now) override;
    SchedulerCommands updateTarget(const TargetDescription& target, TimePoint now) override;
    SchedulerCommands removeTarget(std::string_view name, TimePoint now) override;
    SchedulerCommands reportLoad(const LoadReport& report, TimePoint now) override;
    SchedulerCommands reportCache(std::span<const CacheEvent> events, TimePoint now) override;
    SchedulerCommands adopt(const Holding& holding, TimePoint now) override;
    SchedulerCommands tick(TimePoint now) override;
    TimePoint nextTick() const override;
    CellDigest digest(TimePoint now) const override;
    std::vector<PlacementRequest> drainQueue() override;

private:
    struct TargetState {
        TargetDescription description;
        std::uint64_t granted { 0 };

        std::uint64_t freeTokens() const
        {
            const auto capacity = this->description.memoryTokens;
            return this->description.isLeaving || capacity < this->granted ? 0 : capacity - this->granted;
        }
    };

    SchedulerCommands grantWaiting(TimePoint now);
    std::vector<GrantPart> place(std::uint64_t tokens) const;
    std::uint64_t largestSpan() const;
    void release(const RequestId& id);

    std::map<std::string, TargetState, std::less<>> targets;
    std::deque<PlacementRequest> queue;
    std::map<RequestId, std::vector<GrantPart>> granted;
};

}
