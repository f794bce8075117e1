#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// What the engines of a model are to run. `fence` is the log offset at which the preset in force took on this intent; a
// later intent has a higher one.
struct EngineIntent {
    std::string version;
    std::uint64_t fence { 0 };

    bool operator==(const EngineIntent&) const = default;
};

// Orders one engine to load a version. An engine that checks fencing refuses it once it has carried out a higher fence.
struct EngineOrder {
    std::string target;
    std::string version;
    std::uint64_t fence { 0 };

    bool operator==(const EngineOrder&) const = default;
};

// What became of an order.
enum class OrderAnswer {
    CarriedOut,
    Fenced, // The engine has carried out a later intent: this process is behind.
    Unknown, // No answer: it may have taken effect.
};

// Compares what the engines of a cell report with the intent and orders the difference, a few engines at a time for the
// sake of the weight store. It trusts reports, not answers: an order counts as done when a report shows its version,
// and an engine that another owner's late order has put back is ordered again. Pure; not thread-safe.
class EngineOrders {
public:
    // Engines of the cell that may be under way to a new version at the same time; at least 1.
    explicit EngineOrders(std::size_t atOnce);

    // Takes over an intent. One with a lower fence than the present one is ignored.
    void setIntent(const EngineIntent& intent);

    // An engine's own report of the version that it runs.
    void noteReport(std::string_view target, std::string_view version);

    // The answer to an order that `decide` gave.
    void noteAnswer(const EngineOrder& order, OrderAnswer answer, TimePoint now);

    void forgetTarget(std::string_view target);

    // Returns the orders to be sent now.
    std::vector<EngineOrder> decide(TimePoint now);

private:
    struct Engine {
        std::string version; // As last reported.
        bool isUnderWay { false };
        TimePoint orderedAt {};
        TimePoint notBefore {}; // After a fenced order.
    };

    bool isDue(const Engine& engine, TimePoint now) const;
    std::size_t underWay(TimePoint now) const;

    std::size_t atOnce;
    EngineIntent intent;
    std::map<std::string, Engine, std::less<>> engines;
};

}
