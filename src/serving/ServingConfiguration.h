#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// What may be done with a request after it was sent to a target.
enum class RouteKind {
    Repeatable, // May run any number of times.
    Unrepeatable, // May run at most once for each call.
    Stream, // Answers with events; repeatable only where the route may be resumed.
};

struct ServiceShare {
    std::string service;
    double weight { 1 }; // Relative to the other shares of the route.
};

// One route of the configuration in force.
struct Route {
    std::string name;
    std::string host; // Lower case, without a port.
    std::string pathPrefix; // Begins and ends with a slash.
    RouteKind kind { RouteKind::Unrepeatable };
    bool isResumable { false }; // A stream that another target can continue after the last event received.
    bool isPublic { false }; // Needs no API key.
    Duration timeout {}; // The longest that a request may be kept waiting.
    Duration objective {}; // To the answer; for streams, to the first event.
    Duration gapObjective {}; // Between two events of a stream.
    unsigned maximumAttempts { 1 }; // Targets that may run one call.
    std::vector<ServiceShare> shares;

    bool mayRunAgain() const
    {
        return this->kind == RouteKind::Repeatable || (this->kind == RouteKind::Stream && this->isResumable);
    }
};

// How fast the engines of a service read and write, from their published profile.
struct EngineProfile {
    unsigned batchSlots { 1 }; // Requests written at once.
    std::int64_t memoryTokens { 0 };
    unsigned stepsPerPass { 1 };
    double stepMs { 1 };
    double stepMsPerRequest { 0 };
    double stepMsPerThousandContextTokens { 0 };
    double promptTokensPerMs { 1 };
    double msPerMillionPairs { 0 }; // Pairs of a prompt token and any earlier one.
};

struct ServiceProfile {
    std::string name;
    unsigned maximumConnections { 64 }; // That one target accepts from all instances together.
    std::optional<EngineProfile> engine; // Absent for plain services.
    Duration tightestGap { Duration::max() }; // Of all routes that may lead here; follows from them.
};

// What a caller may send, and how long it may take.
struct CallerLimits {
    std::size_t headerBytes { 16 * 1024 };
    std::size_t bodyBytes { 4 * 1024 * 1024 };
    Duration headerTimeout { std::chrono::seconds { 3 } };
    Duration idleTimeout { std::chrono::seconds { 15 } };
};

// One version of what operators declare: routes, services, keys of workspaces, limits.
struct ServingConfiguration {
    std::uint64_t version { 0 };
    std::vector<Route> routes;
    std::map<std::string, ServiceProfile, std::less<>> services;
    std::unordered_map<std::string, std::string> workspaceByKey;
    CallerLimits limits;
    bool requiresKeys { false }; // Whether workspaces are declared at all.

    const ServiceProfile* service(std::string_view name) const;

    // Fills in what follows from the declared values. To be called once they are complete.
    void complete();
};

// Finds routes by host and longest path prefix.
class RouteTable {
public:
    // `configuration` must outlive the table.
    explicit RouteTable(const ServingConfiguration& configuration);

    // Takes the Host header and the request target as received. Null when no route matches.
    const Route* find(std::string_view host, std::string_view target) const;

private:
    std::unordered_map<std::string, std::vector<const Route*>> byHost; // Longest prefix first.
};

}
