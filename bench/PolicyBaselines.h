#pragma once

#include <memory>
#include <span>
#include <string_view>

#include <marigoldpaddle/CellScheduler.h>

namespace marigoldpaddle {

enum class Policy {
    SlackCost, // The product's own.
    RoundRobin,
    LeastOutstanding, // Requests.
    TwoChoices, // Two random targets, compared by their late load reports.
    FirstCome, // First come, first served for each engine: the queue's head waits for the first engine with room.
    PrefixAffinity, // The target that rendezvous hashing gives for the prefix.
    ShortestFirst, // By prompt tokens, without aging.
};

inline constexpr Policy AllPolicies[] {
    Policy::SlackCost,
    Policy::RoundRobin,
    Policy::LeastOutstanding,
    Policy::TwoChoices,
    Policy::FirstCome,
    Policy::PrefixAffinity,
    Policy::ShortestFirst,
};

std::string_view name(Policy policy);

std::unique_ptr<CellScheduler> makeScheduler(Policy policy, const CellSchedulerSettings& settings);

}
