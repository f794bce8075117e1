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
    std::size_t band { 0 };
    std::size_t workspace { 0 };
    std::size_t zone { 0 }; // Of the gateway that gets it.
    std::uint64_t promptTokens { 0 };
    std::uint64_t outputTokens { 0 };
    std::uint64_t maximumOutputTokens { 0 };
    Duration allowed {};
    std::vector<std::uint64_t> prefixBlocks;
    std::uint64_t prefixBlockTokens { 0 };
    std::uint64_t reusableTokens { 0 }; // Leading tokens that an earlier request had too.
    bool isFlood { false };
};

// The load over time, relative to what the engines can do.
struct LoadProfile {
    double base { 0 };
    double factor { 1 }; // At the crest.
    Duration crestStart {}; // The load begins to rise.
    Duration crestEnd {}; // It is back at the base.
    Duration rise {}; // Takes it to rise and to fall.
    double flood { 0 }; // Added by one workspace, from the start of the measurement on.
    Duration floodStart {};
    Duration end {};

    double loadAt(Duration time) const;
};

// Makes the requests of one run. The same seed gives the same requests, whatever policy they meet.
class WorkloadGenerator {
public:
    WorkloadGenerator(const PolicyParameters& parameters, char workload, std::uint64_t seed);

    std::vector<WorkItem> make(const LoadProfile& profile);

    // Returns the requests per second that the engines can serve when every reusable prefix is cached.
    double capacity() const;

    static double weightOf(std::size_t workspace);

private:
    struct Session {
        std::uint64_t id { 0 };
        std::size_t workspace { 0 };
        std::uint64_t tokens { 0 };
        std::uint64_t questions { 0 };
        Duration freeAt {};
    };

    WorkItem next(Duration arrival);
    void makeQuestion(WorkItem& item);
    void makeDocument(WorkItem& item);
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
