#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "GatewayWithPeers.h"
#include "PartitionedLink.h"

namespace marigoldpaddle::testing {

// Instances before three targets. The paths of each instance to the targets can be cut, while callers and the other
// instances still reach it.
class FaultsTargetPartitionTest : public InstancesTest {
protected:
    static constexpr std::size_t Targets = 3;
    // The loss of all paths has to be known by then.
    static constexpr Duration DetectionTime = 2s;

    struct Counts {
        unsigned sent { 0 };
        unsigned served { 0 }; // Whole answers, at the first attempt.
        unsigned answered { 0 }; // Answers of any status.
        Duration longest {}; // Until an answer.
    };

    FaultsTargetPartitionTest()
    {
        this->other.script = { respondWith(200, "whole") };
        for (std::size_t index = 0; index < Targets; ++index) {
            auto& target = this->targets.emplace_back(std::make_unique<ScriptedTarget>(this->context));
            target->script = { [this](HttpExchange& exchange) -> asio::awaitable<void> {
                ++this->runs[std::string { exchange.request()["Marigoldpaddle-Attempt-Id"] }];
                this->received.push_back(exchange.request());
                if (this->reaction)
                    co_return co_await this->reaction(exchange);
                const bool isStream = exchange.request().target().starts_with("/stream/");
                const auto reaction = isStream ? events("id: 1\n\nid: 2\n\n", true) : respondWith(200, "whole");
                co_await reaction(exchange);
            } };
        }
        this->start([this](std::size_t) {
            auto& links = this->links.emplace_back();
            std::vector<TargetEntry> entries;
            for (std::size_t index = 0; index < Targets; ++index) {
                links.push_back(std::make_unique<PartitionedLink>(this->context, this->targets[index]->address));
                entries.push_back(entryOf("t" + std::to_string(index), *this->targets[index]));
                entries.back().address = links.back()->address();
            }
            entries.push_back(entryOf("other", this->other));
            entries.back().service = "t";
            return entries;
        });
    }

    static std::vector<std::size_t> all()
    {
        std::vector<std::size_t> indexes(Instances);
        std::iota(indexes.begin(), indexes.end(), 0);
        return indexes;
    }

    void cut(std::size_t instance, Cut kind)
    {
        for (auto& link : this->links[instance])
            link->setCut(kind);
    }

    asio::awaitable<void> call(std::string address, HttpRequest request, Counts& counts)
    {
        const auto sentAt = this->clock.now();
        ++counts.sent;
        const bool isStream = request.target().starts_with("/stream/");
        const auto answered = co_await this->caller.call(std::move(address), std::move(request), 10s);
        if (!answered)
            co_return;
        ++counts.answered;
        counts.longest = std::max(counts.longest, this->clock.now() - sentAt);
        const std::string whole { isStream ? "id: 1\n\nid: 2\n\n" : "whole" };
        if (answered.value().result_int() == 200 && answered.value().body() == whole)
            ++counts.served;
    }

    // Sends one request of each kind to an instance.
    void callEachKind(std::size_t instance, Counts& counts)
    {
        for (const std::string path : { "/safe/x", "/unsafe/x", "/stream/x" })
            asio::co_spawn(this->context,
                this->call(this->instances[instance]->address, this->request("", path), counts), asio::detached);
    }

    // Cuts off an instance and lets it find out.
    void cutOff(std::size_t instance, Cut kind)
    {
        this->cut(instance, kind);
        Counts ignored;
        this->callFor(100ms, { instance }, ignored);
        const auto giveUpAt = this->clock.now() + DetectionTime;
        while (!this->instances[instance]->links.isCutOff("s") && this->clock.now() < giveUpAt)
            this->runFor(20ms);
        ASSERT_TRUE(this->instances[instance]->links.isCutOff("s"));
        this->runFor(200ms); // The peers hear of it.
    }

    // Sends one request to an instance and waits for its answer.
    HttpResult<HttpResponse> callOnce(std::size_t instance, HttpRequest request)
    {
        std::optional<HttpResult<HttpResponse>> result;
        const auto operation = [&]() -> asio::awaitable<void> {
            result.emplace(co_await this->caller.call(this->instances[instance]->address, std::move(request), 10s));
        };
        asio::co_spawn(this->context, operation, asio::detached);
        const auto giveUpAt = this->clock.now() + 10s;
        while (!result && this->clock.now() < giveUpAt)
            this->runFor(5ms);
        return result ? std::move(*result) : HttpError::Timeout;
    }

    unsigned statusOf(std::size_t instance, const std::string& path)
    {
        const auto answered = this->callOnce(instance, this->request("", path));
        return answered ? answered.value().result_int() : 0;
    }

    // Sends requests of each kind to some instances for a time, and waits for their answers.
    void callFor(Duration time, const std::vector<std::size_t>& instances, Counts& counts, Duration interval = 50ms)
    {
        const auto end = this->clock.now() + time;
        while (this->clock.now() < end) {
            for (const auto instance : instances)
                this->callEachKind(instance, counts);
            this->runFor(interval);
        }
        const auto giveUpAt = this->clock.now() + 6s;
        while (counts.answered < counts.sent && this->clock.now() < giveUpAt)
            this->runFor(20ms);
    }

    ScriptedTarget other { this->context }; // Of another service, whose path is never cut.
    // The refusals and denied retries of all instances, for failure messages.
    std::string refusals() const
    {
        std::string lines;
        for (std::size_t index = 0; index < this->instances.size(); ++index) {
            std::istringstream metrics { this->instances[index]->metrics.exposition() };
            for (std::string line; std::getline(metrics, line);) {
                if (line.starts_with("marigold_refusals_total{") || line.starts_with("marigold_denied_retries_total{"))
                    lines += "instance " + std::to_string(index) + ": " + line + '\n';
            }
        }
        return lines;
    }

    std::vector<std::unique_ptr<ScriptedTarget>> targets;
    std::vector<std::vector<std::unique_ptr<PartitionedLink>>> links; // By instance and target.
    std::map<std::string, unsigned> runs; // At targets, by attempt id.
    std::vector<HttpRequest> received; // By all targets.
    ScriptedTarget::Reaction reaction; // Of all targets; empty for a whole answer.
    Counts early; // Right after the cut.
    Counts late;
};

}
