#include "PolicyWorkload.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace marigoldpaddle {

namespace {

constexpr std::uint64_t BlockTokens = 256;
constexpr std::uint64_t LargeBlockTokens = 4096;
constexpr std::uint64_t LargeBlockThresholdTokens = 64'000; // Longer prompts have large blocks.
constexpr std::uint64_t SharedPrefixTokens = 512; // Prefix that all prompts of a workspace have in common.
constexpr double RepeatedDocumentShare = 0.2; // Of medium and long prompts.
constexpr std::size_t LargeWorkspaceCount = 2;
constexpr double LargeWorkspaceShare = 0.3;
constexpr std::size_t FloodingWorkspace = 2;
constexpr std::size_t CalibrationRequests = 20'000;

std::uint64_t blockHash(std::uint64_t source, std::uint64_t index, std::uint64_t blockTokens)
{
    std::uint64_t words[] { source, (index + 1) * blockTokens };
    return XXH3_64bits(words, sizeof words);
}

void addPrefix(WorkItem& item, std::uint64_t id)
{
    item.prefixBlockTokens = item.promptTokens > LargeBlockThresholdTokens ? LargeBlockTokens : BlockTokens;
    for (std::uint64_t index = 0; index < item.promptTokens / item.prefixBlockTokens; ++index) {
        auto isShared = (index + 1) * item.prefixBlockTokens <= SharedPrefixTokens;
        item.prefixBlocks.push_back(blockHash(isShared ? item.workspace : (id << 8U), index, item.prefixBlockTokens));
    }
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration duration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}

double LoadProfile::loadAt(Duration time) const
{
    auto timeFromEdge = std::min(time - this->peakStart, this->peakEnd - time);
    auto height = std::clamp(seconds(timeFromEdge) / std::max(seconds(this->riseTime), 1e-3), 0.0, 1.0);
    return this->baseLoad * (1 + (this->peakFactor - 1) * height);
}

WorkloadGenerator::WorkloadGenerator(const PolicyParameters& parameters, char workload, std::uint64_t seed)
    : engine(parameters.engine)
    , run(parameters.run)
    , workload(parameters.workloads.at(workload))
    , random(seed)
{
    this->calibrate();
    this->random.seed(seed);
    this->sessions.clear();
    this->documents.clear();
}

std::vector<WorkItem> WorkloadGenerator::make(const LoadProfile& profile)
{
    auto highest = profile.baseLoad * profile.peakFactor + profile.floodLoad;
    std::exponential_distribution<double> gap { highest * this->requestsPerSecond };
    std::vector<WorkItem> items;
    for (auto at = duration(gap(this->random)); at < profile.end; at += duration(gap(this->random))) {
        auto drawn = this->drawUnit() * highest;
        auto regular = profile.loadAt(at);
        auto flood = at >= profile.floodStart ? profile.floodLoad : 0;
        if (drawn >= regular + flood)
            continue;
        items.push_back(this->next(at));
        if (drawn >= regular) {
            items.back().isFlood = true;
            items.back().workspace = FloodingWorkspace;
        }
    }
    return items;
}

double WorkloadGenerator::capacity() const
{
    return this->requestsPerSecond;
}

double WorkloadGenerator::weightOf(std::size_t workspace)
{
    return workspace < LargeWorkspaceCount ? 4 : 1;
}

WorkItem WorkloadGenerator::next(Duration arrival)
{
    WorkItem item;
    item.arrival = arrival;
    auto drawn = this->drawUnit();
    while (item.band + 1 < BandCount && drawn >= this->workload.bands[item.band].share)
        drawn -= this->workload.bands[item.band++].share;
    const auto& band = this->workload.bands[item.band];
    item.zone = this->draw(0, this->run.zones - 1);
    item.outputTokens = this->draw(band.minimumOutput, band.maximumOutput);
    item.maximumOutputTokens = band.maximumOutput;
    item.allowedTime = band.allowedTime;
    if (item.band == 0)
        this->makeSessionPrompt(item);
    else
        this->makeDocumentPrompt(item);
    return item;
}

// Continues a session whose pause after the previous prompt is over, or starts a new session.
void WorkloadGenerator::makeSessionPrompt(WorkItem& item)
{
    const auto& band = this->workload.bands[0];
    auto isReady = [&](const Session& session) {
        return session.nextPromptAt <= item.arrival;
    };
    auto found = std::ranges::find_if(this->sessions, isReady);
    auto isNew = found == this->sessions.end();
    if (isNew) {
        Session session { this->nextId++, this->drawWorkspace(), 0, 0, {} };
        session.tokens = static_cast<std::uint64_t>(this->drawTokens(band));
        this->sessions.push_back(session);
        found = std::prev(this->sessions.end());
    } else {
        item.reusableTokens = found->tokens / BlockTokens * BlockTokens;
        found->tokens += this->draw(100, 400);
    }
    item.workspace = found->workspace;
    item.promptTokens = std::min(found->tokens, static_cast<std::uint64_t>(band.maximumTokens));
    if (isNew)
        item.reusableTokens = std::min(SharedPrefixTokens, item.promptTokens);
    item.reusableTokens = std::min(item.reusableTokens, item.promptTokens);
    addPrefix(item, found->id);
    found->nextPromptAt = item.arrival + this->workload.sessionPause;
    ++found->promptCount;
    auto isOver = found->promptCount >= this->workload.sessionLength || item.promptTokens >= band.maximumTokens;
    if (isOver)
        this->sessions.erase(found);
}

void WorkloadGenerator::makeDocumentPrompt(WorkItem& item)
{
    auto isRepeated = !this->documents.empty() && this->drawUnit() < RepeatedDocumentShare;
    Session document { this->nextId++, this->drawWorkspace(), 0, item.band, {} };
    document.tokens = static_cast<std::uint64_t>(this->drawTokens(this->workload.bands[item.band]));
    if (isRepeated) {
        const auto& earlier = this->documents[this->draw(0, this->documents.size() - 1)];
        if (earlier.promptCount == item.band)
            document = earlier;
        else
            isRepeated = false;
    }
    item.workspace = document.workspace;
    item.promptTokens = document.tokens;
    addPrefix(item, document.id);
    item.reusableTokens = isRepeated ? item.prefixBlocks.size() * item.prefixBlockTokens : 0;
    this->documents.push_back(document);
    if (this->documents.size() > 50)
        this->documents.erase(this->documents.begin());
}

std::size_t WorkloadGenerator::drawWorkspace()
{
    auto drawn = this->drawUnit();
    if (drawn < LargeWorkspaceShare * LargeWorkspaceCount)
        return static_cast<std::size_t>(drawn / LargeWorkspaceShare);
    return this->draw(LargeWorkspaceCount, this->run.workspaces - 1);
}

double WorkloadGenerator::drawTokens(const LengthBand& band)
{
    return band.minimumTokens * std::pow(band.maximumTokens / band.minimumTokens, this->drawUnit());
}

std::uint64_t WorkloadGenerator::draw(std::uint64_t from, std::uint64_t to)
{
    return std::uniform_int_distribution<std::uint64_t> { from, to }(this->random);
}

double WorkloadGenerator::drawUnit()
{
    return std::uniform_real_distribution<double> {}(this->random);
}

// Returns the prefill time of the tokens that are not cached. The time per token grows linearly with the context.
double WorkloadGenerator::prefillSeconds(const WorkItem& item) const
{
    auto from = static_cast<double>(item.reusableTokens);
    auto to = static_cast<double>(item.promptTokens);
    auto slowdown = 1 + (from + to) / 2 / this->engine.attentionTokens;
    return (to - from) * slowdown / this->engine.prefillTokensPerSecond;
}

// Computes, by fixed-point iteration, the request rate at which every iteration of an engine uses its whole prefill
// budget, with the decoding load that this rate causes.
void WorkloadGenerator::calibrate()
{
    this->random.seed(1);
    double meanPrefillSeconds = 0;
    double meanOutputTokens = 0;
    double meanContextTokens = 0;
    for (std::size_t i = 0; i < CalibrationRequests; ++i) {
        auto item = this->next(duration(static_cast<double>(i) / 30));
        meanPrefillSeconds += this->prefillSeconds(item) / CalibrationRequests;
        meanOutputTokens += static_cast<double>(item.outputTokens) / CalibrationRequests;
        meanContextTokens += static_cast<double>(item.outputTokens * item.promptTokens) / CalibrationRequests;
    }
    auto fixed = this->engine.iterationBaseSeconds + this->engine.prefillBudgetSeconds;
    auto iteration = fixed;
    double requestsPerEngine = 0;
    for (int round = 0; round < 50; ++round) {
        requestsPerEngine = this->engine.prefillBudgetSeconds / iteration / meanPrefillSeconds;
        auto streams = requestsPerEngine * meanOutputTokens * iteration;
        auto attendedTokens = requestsPerEngine * meanContextTokens * iteration;
        iteration
            = fixed + streams * this->engine.secondsPerStream + attendedTokens * this->engine.secondsPerContextToken;
    }
    this->requestsPerSecond = requestsPerEngine * static_cast<double>(this->run.engines);
}

}
