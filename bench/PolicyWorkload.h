#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "PolicyParameters.h"

namespace marigoldpaddle {

// One request of a workload.
struct WorkItem {
    Duration arrival {}; // Since the start of the run.
    std::size_t band { 0 }; // 0 short, 1 medium, 2 long.
    std::size_t workspace { 0 };
    std::size_t zone { 0 }; // Of the gateway that receives the request.
    std::uint64_t promptTokens { 0 };
    std::uint64_t outputTokens { 0 };
    std::uint64_t maximumOutputTokens { 0 };
    Duration allowedTime {};
    std::vector<std::uint64_t> prefixBlocks;
    std::uint64_t prefixBlockTokens { 0 };
    std::uint64_t reusableTokens { 0 }; // Leading tokens that an earlier request had in common.
    bool isFlood { false };
};

// Offered load over time, as a fraction of the engines' capacity.
struct LoadProfile {
    double baseLoad { 0 };
    double peakFactor { 1 }; // Load at the peak relative to the base load.
    Duration peakStart {}; // Start of the rise.
    Duration peakEnd {}; // End of the fall to the base load.
    Duration riseTime {}; // Duration of the rise and of the fall.
    double floodLoad { 0 }; // Added by one workspace, from floodStart on.
    Duration floodStart {};
    Duration end {};

    double loadAt(Duration time) const;
};

// Generates the requests of one run. The same seed gives the same requests for every policy.
class WorkloadGenerator {
public:
    WorkloadGenerator(const PolicyParameters& parameters, char workload, std::uint64_t seed);

    std::vector<WorkItem> make(const LoadProfile& profile);

    // Returns the requests per second that the engines can serve if every reusable prefix is cached.
    double capacity() const;

    static double weightOf(std::size_t workspace);

private:
    // A session of short prompts, or a document that later prompts may repeat.
    struct Session {
        std::uint64_t id { 0 };
        std::size_t workspace { 0 };
        std::uint64_t tokens { 0 };
        std::uint64_t promptCount { 0 }; // Prompts so far; the length band in a document.
        Duration nextPromptAt {}; // Earliest arrival of the next prompt.
    };

    WorkItem next(Duration arrival);
    void makeSessionPrompt(WorkItem& item);
    void makeDocumentPrompt(WorkItem& item);
    std::size_t drawWorkspace();
    double drawTokens(const LengthBand& band);
    std::uint64_t draw(std::uint64_t from, std::uint64_t to);
    double drawUnit();
    double prefillSeconds(const WorkItem& item) const;
    void calibrate();

    EngineParameters engine;
    RunParameters run;
    WorkloadParameters workload;
    std::mt19937_64 random;
    std::vector<Session> sessions;
    std::vector<Session> documents;
    std::uint64_t nextId { 1 };
    double requestsPerSecond { 0 };
};

}
