#include <marigoldpaddle/EngineOrders.h>

#include <algorithm>

namespace marigoldpaddle {

namespace {

// Loading takes this long at most; an engine whose report does not show the version by then is ordered again.
constexpr std::chrono::minutes LoadTimeout { 2 };
constexpr std::chrono::seconds RetryPause { 5 };
// A process that was fenced waits for the later intent to reach it.
constexpr std::chrono::seconds FencedPause { 10 };

}

EngineOrders::EngineOrders(std::size_t atOnce)
    : atOnce(std::max<std::size_t>(atOnce, 1))
{
}

void EngineOrders::setIntent(const EngineIntent& wanted)
{
    if (wanted.fence < this->intent.fence || wanted == this->intent)
        return;
    this->intent = wanted;
    for (auto& [name, engine] : this->engines)
        engine.isUnderWay = false;
}

void EngineOrders::noteReport(std::string_view target, std::string_view version)
{
    auto& engine = this->engines.try_emplace(std::string { target }).first->second;
    engine.version = version;
    if (engine.version == this->intent.version)
        engine.isUnderWay = false;
}

void EngineOrders::noteAnswer(const EngineOrder& order, OrderAnswer answer, TimePoint now)
{
    const auto found = this->engines.find(order.target);
    if (found == this->engines.end() || order.fence != this->intent.fence || answer == OrderAnswer::CarriedOut)
        return;
    found->second.isUnderWay = false;
    found->second.notBefore
        = now + (answer == OrderAnswer::Fenced ? Duration { FencedPause } : Duration { RetryPause });
}

void EngineOrders::forgetTarget(std::string_view target)
{
    const auto found = this->engines.find(target);
    if (found != this->engines.end())
        this->engines.erase(found);
}

std::vector<EngineOrder> EngineOrders::decide(TimePoint now)
{
    std::vector<EngineOrder> orders;
    if (this->intent.version.empty())
        return orders;
    auto running = this->underWay(now);
    for (auto& [name, engine] : this->engines) {
        if (running >= this->atOnce)
            break;
        if (!this->isDue(engine, now))
            continue;
        engine.isUnderWay = true;
        engine.orderedAt = now;
        orders.push_back({ name, this->intent.version, this->intent.fence });
        ++running;
    }
    return orders;
}

bool EngineOrders::isDue(const Engine& engine, TimePoint now) const
{
    if (engine.version.empty() || engine.version == this->intent.version || now < engine.notBefore)
        return false;
    return !engine.isUnderWay || engine.orderedAt + LoadTimeout <= now;
}

std::size_t EngineOrders::underWay(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->engines,
        [&](const auto& each) { return each.second.isUnderWay && each.second.orderedAt + LoadTimeout > now; }));
}

}
