#pragma once

#include <memory>
#include <span>
#include <string_view>

#include <marigoldpaddle/CellScheduler.h>

namespace marigoldpaddle {

enum class Policy {
    SlackCost, // The product's policy.
    RoundRobin,
    LeastOutstanding, // The target with the fewest outstanding requests.
    TwoChoices, // The less loaded of two random targets, by their delayed load reports.
    FirstCome, // First come, first served: the head of the queue waits for the first engine with enough memory.
    PrefixAffinity, // Rendezvous hashing by prompt prefix.
    ShortestFirst, // Fewest prompt tokens first, without aging.
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
