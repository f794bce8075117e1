#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// The version that the engines of a model should run. `fence` is a fencing token: the log offset at which the preset in
// force adopted this version. It rises with every later intent.
struct EngineIntent {
    std::string version; // Empty: no version is requested.
    std::uint64_t fence { 0 };

    bool operator==(const EngineIntent&) const = default;
};

// An order to one engine to load a version. An engine that checks fencing tokens rejects the order if it has already
// carried out one with a higher token.
struct EngineOrder {
    std::string target;
    std::string version;
    std::uint64_t fence { 0 };

    bool operator==(const EngineOrder&) const = default;
};

// Outcome of an order.
enum class OrderOutcome {
    CarriedOut,
    Fenced, // Rejected: the engine has already carried out a later intent, so this process's intent is out of date.
    Unknown, // No answer arrived. The order may have taken effect.
};

// Reconciles the versions that the engines of a cell report with the intent, a few engines at a time to limit the load
// on the weight store. Reports decide, not answers to orders: an order is complete once a report shows its version, and
// an engine that a late order of another owner has reverted is ordered again. Pure: no I/O, no clock. Not thread-safe.
class EngineOrders {
public:
    // `maximumConcurrent` limits how many engines may change version concurrently; at least 1.
    explicit EngineOrders(std::size_t maximumConcurrent);

    // Replaces the intent. An intent with a lower fencing token than the present one is ignored.
    void setIntent(const EngineIntent& intent);

    // Records the version that an engine reports to be running.
    void noteReport(std::string_view target, std::string_view version);

    // Records the outcome of an order that `decide` returned.
    void noteOutcome(const EngineOrder& order, OrderOutcome outcome, TimePoint now);

    void removeTarget(std::string_view target);

    // Returns the orders to send now.
    std::vector<EngineOrder> decide(TimePoint now);

private:
    struct Engine {
        std::string version; // As last reported; empty until the first report that names one.
        bool isOrderPending { false };
        TimePoint orderedAt {};
        TimePoint notBefore {}; // No order is sent before this time: the delay after a rejected or unanswered order.
    };

    bool isDue(const Engine& engine, TimePoint now) const;
    std::size_t pendingOrders(TimePoint now) const;

    std::size_t maximumConcurrent;
    EngineIntent intent;
    std::map<std::string, Engine, std::less<>> engines;
};

}
