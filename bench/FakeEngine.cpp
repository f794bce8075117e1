#include "FakeEngine.h"

#include <algorithm>

namespace marigoldpaddle {

std::uint64_t FakePrefixCache::matchedTokens(std::span<const std::uint64_t> blocks, std::uint64_t blockTokens)
{
    std::uint64_t matched = 0;
    for (auto block : blocks) {
        auto found = this->byBlock.find(block);
        if (found == this->byBlock.end())
            break;
        this->entries.splice(this->entries.end(), this->entries, found->second);
        matched += blockTokens;
    }
    return matched;
}

void FakePrefixCache::store(std::span<const std::uint64_t> blocks, std::uint64_t blockTokens, std::uint64_t capacity)
{
    for (auto block : blocks) {
        auto found = this->byBlock.find(block);
        if (found != this->byBlock.end()) {
            this->entries.splice(this->entries.end(), this->entries, found->second);
            continue;
        }
        this->entries.push_back({ block, blockTokens });
        this->byBlock.emplace(block, std::prev(this->entries.end()));
        this->totalTokens += blockTokens;
        this->events.push_back({ {}, 0, block, true });
    }
    this->shrink(capacity);
}

void FakePrefixCache::shrink(std::uint64_t capacity)
{
    while (this->totalTokens > capacity) {
        const auto& oldest = this->entries.front();
        this->events.push_back({ {}, 0, oldest.block, false });
        this->totalTokens -= oldest.tokens;
        this->byBlock.erase(oldest.block);
        this->entries.pop_front();
    }
}

std::vector<CacheEvent> FakePrefixCache::takeEvents()
{
    return std::exchange(this->events, {});
}

FakeEngine::FakeEngine(const EngineParameters& parameters)
    : parameters(parameters)
{
}

void FakeEngine::submit(const EngineTask& task)
{
    this->waiting.emplace(QueueKey { task.priority, this->sequence++ }, task);
}

void FakeEngine::startSpan(std::uint64_t request)
{
    auto found = this->running.find(request);
    if (found != this->running.end() && found->second.phase == Phase::Allocated)
        this->beginPrefill(found->second);
}

void FakeEngine::startDecoding(std::uint64_t request)
{
    auto found = this->running.find(request);
    if (found == this->running.end() || found->second.phase != Phase::Prefilled)
        return;
    found->second.phase = Phase::Decoding;
    this->decodingContextTokens += found->second.contextTokens;
    this->decoding.insert(request);
}

void FakeEngine::cancel(std::uint64_t request)
{
    std::erase_if(this->waiting, [request](const auto& each) { return each.second.request == request; });
    auto found = this->running.find(request);
    if (found == this->running.end())
        return;
    this->usedMemoryTokens -= found->second.task.memoryTokens;
    if (this->decoding.erase(request) > 0)
        this->decodingContextTokens -= found->second.contextTokens;
    auto key = this->runningKeys.find(request);
    this->prefilling.erase({ key->second, request });
    this->runningKeys.erase(key);
    this->running.erase(found);
}

bool FakeEngine::isIdle() const
{
    return this->waiting.empty() && this->prefilling.empty() && this->decoding.empty();
}

IterationResult FakeEngine::iterate()
{
    IterationResult result;
    this->admit(result.events);
    auto decodeTime = this->decodeSeconds();
    this->decode(result);
    this->prefill(result);
    result.seconds = this->parameters.iterationBaseSeconds + decodeTime + result.prefillSeconds;
    return result;
}

std::uint64_t FakeEngine::usedTokens() const
{
    return this->usedMemoryTokens;
}

std::uint32_t FakeEngine::runningCount() const
{
    return static_cast<std::uint32_t>(this->running.size());
}

std::uint32_t FakeEngine::waitingCount() const
{
    return static_cast<std::uint32_t>(this->waiting.size());
}

double FakeEngine::prefillTokensPerSecond() const
{
    auto budget = this->parameters.prefillBudgetSeconds;
    auto iteration = this->parameters.iterationBaseSeconds + this->decodeSeconds() + budget;
    return this->parameters.prefillTokensPerSecond * budget / iteration;
}

FakePrefixCache& FakeEngine::cache()
{
    return this->prefixCache;
}

// Admits tasks in order of priority and arrival. The first task that does not fit blocks the tasks behind it.
void FakeEngine::admit(std::vector<EngineEvent>& events)
{
    while (!this->waiting.empty() && this->running.size() < this->parameters.maximumStreams) {
        auto first = this->waiting.begin();
        if (this->usedMemoryTokens + first->second.memoryTokens > this->parameters.memoryTokens)
            return;
        auto request = first->second.request;
        auto& running = this->running.emplace(request, RunningTask { first->second }).first->second;
        this->runningKeys.emplace(request, first->first);
        this->waiting.erase(first);
        this->usedMemoryTokens += running.task.memoryTokens;
        this->prefixCache.shrink(this->parameters.memoryTokens - this->usedMemoryTokens);
        events.push_back({ EngineEventKind::Admitted, request, running.task.attempt });
        if (running.task.spanWidth == 1)
            this->beginPrefill(running);
    }
}

void FakeEngine::beginPrefill(RunningTask& running)
{
    const auto& task = running.task;
    auto matched = this->prefixCache.matchedTokens(task.prefixBlocks, task.prefixBlockTokens);
    running.cachedTokens = std::min(matched, task.promptTokens - 1);
    auto width = static_cast<double>(task.spanWidth);
    running.contextTokens = static_cast<double>(running.cachedTokens) / width;
    running.remainingPrefillTokens = static_cast<double>(task.promptTokens) / width - running.contextTokens;
    running.phase = Phase::Prefilling;
    this->prefilling.emplace(this->runningKeys.at(task.request), task.request);
}

void FakeEngine::prefill(IterationResult& result)
{
    auto budget = this->parameters.prefillBudgetSeconds;
    while (!this->prefilling.empty() && result.prefillSeconds < budget) {
        auto& running = this->running.at(this->prefilling.begin()->second);
        auto seconds = this->prefillOne(running, budget - result.prefillSeconds, result);
        result.prefillSecondsByRequest.emplace_back(running.task.request, seconds);
        result.prefillSeconds += seconds;
    }
}

// Prefills one task for at most `budget` seconds. Returns the seconds used.
double FakeEngine::prefillOne(RunningTask& running, double budget, IterationResult& result)
{
    auto spanContextTokens = running.contextTokens * static_cast<double>(running.task.spanWidth);
    auto slowdown = 1 + spanContextTokens / this->parameters.attentionTokens;
    auto rate = this->parameters.prefillTokensPerSecond / slowdown;
    auto tokens = std::min(running.remainingPrefillTokens, rate * budget);
    running.remainingPrefillTokens -= tokens;
    running.contextTokens += tokens;
    if (running.remainingPrefillTokens > 0.5)
        return budget;
    this->endPrefill(running, result.events);
    return tokens / rate;
}

// The iteration that completes a prefill also produces the first token, except in a span, whose other parts may not be
// prefilled yet.
void FakeEngine::endPrefill(RunningTask& running, std::vector<EngineEvent>& events)
{
    const auto& task = running.task;
    this->prefilling.erase(this->prefilling.begin());
    events.push_back({ EngineEventKind::Prefilled, task.request, task.attempt, running.cachedTokens });
    this->prefixCache.store(
        task.prefixBlocks, task.prefixBlockTokens, this->parameters.memoryTokens - this->usedMemoryTokens);
    running.phase = Phase::Prefilled;
    if (task.spanWidth > 1)
        return;
    this->startDecoding(task.request);
    running.generatedTokens = 1;
    events.push_back({ EngineEventKind::FirstToken, task.request, task.attempt });
}

void FakeEngine::decode(IterationResult& result)
{
    std::vector<std::uint64_t> finished;
    for (auto request : this->decoding) {
        auto& running = this->running.at(request);
        if (running.generatedTokens++ == 0)
            result.events.push_back({ EngineEventKind::FirstToken, request, running.task.attempt });
        else
            ++(running.task.isShort ? result.shortStreams : result.otherStreams);
        running.contextTokens += 1;
        if (running.generatedTokens >= running.task.outputTokens)
            finished.push_back(request);
    }
    this->decodingContextTokens += static_cast<double>(this->decoding.size());
    for (auto request : finished) {
        result.events.push_back({ EngineEventKind::Finished, request, this->running.at(request).task.attempt });
        this->cancel(request);
    }
}

double FakeEngine::decodeSeconds() const
{
    return this->parameters.secondsPerStream * static_cast<double>(this->decoding.size())
        + this->parameters.secondsPerContextToken * this->decodingContextTokens;
}

}
