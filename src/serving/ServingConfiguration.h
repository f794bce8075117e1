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

// Whether a request may be sent again after it was sent to a target.
enum class RouteKind {
    Repeatable, // May be executed any number of times (idempotent).
    Unrepeatable, // May be executed at most once per call.
    Stream, // Answers with events; may be sent again only if the route is resumable.
};

// Rank of requests for which neither the route nor the workspace states one, as that of engines' requests. 0 is the
// highest rank.
inline constexpr unsigned DefaultRank = 5;

struct ServiceShare {
    std::string service;
    double weight { 1 }; // Relative to the other shares of the route.
};

// One route of the active configuration.
struct Route {
    std::string name;
    std::string host; // Lower case, without a port.
    std::string pathPrefix; // Begins and ends with a slash.
    RouteKind kind { RouteKind::Unrepeatable };
    bool isResumable { false }; // Another target can continue the stream after the last event received.
    bool isPublic { false }; // Needs no API key.
    Duration timeout {}; // Maximum time until the request is answered or refused.
    Duration objective {}; // Time to the answer; for streams, to the first event.
    Duration gapObjective {}; // Between two events of a stream.
    unsigned rank { DefaultRank }; // Order among requests when there is too little room; 0 is the highest.
    unsigned maximumAttempts { 1 }; // Maximum number of targets that may execute one call.
    std::vector<ServiceShare> shares;

    bool mayRunAgain() const
    {
        return this->kind == RouteKind::Repeatable || (this->kind == RouteKind::Stream && this->isResumable);
    }
};

// Performance model of a service's engines, from their published profile.
struct EngineProfile {
    unsigned batchSlots { 1 }; // Requests decoded at once.
    std::int64_t memoryTokens { 0 };
    unsigned stepsPerPass { 1 };
    double stepMs { 1 };
    double stepMsPerRequest { 0 };
    double stepMsPerThousandContextTokens { 0 };
    double promptTokensPerMs { 1 };
    double msPerMillionPairs { 0 }; // Attention cost per million pairs of a prompt token and any earlier one.
};

struct ServiceProfile {
    std::string name;
    unsigned maximumConnections { 64 }; // Maximum per target, from all instances together.
    Duration coldPeriod {}; // For which a target that has just started is cold.
    double coldRequestsPerSecond { 0 }; // That a cold target tolerates; 0 for any number.
    std::optional<EngineProfile> engine; // Absent for plain services.
    Duration tightestGap { Duration::max() }; // Smallest of the streaming routes to the service; see complete().
};

// Limits on callers' requests.
struct CallerLimits {
    std::size_t headerBytes { 16 * 1024 };
    std::size_t bodyBytes { 4 * 1024 * 1024 };
    Duration headerTimeout { std::chrono::seconds { 3 } };
    Duration idleTimeout { std::chrono::seconds { 15 } };
};

// One version of the configuration declared by operators: routes, services, workspace keys, limits.
struct ServingConfiguration {
    std::uint64_t version { 0 };
    std::vector<Route> routes;
    std::map<std::string, ServiceProfile, std::less<>> services;
    std::unordered_map<std::string, std::string> workspaceByKey;
    std::unordered_map<std::string, unsigned> rankByWorkspace; // Of workspaces that state one.
    CallerLimits limits;
    bool requiresKeys { false }; // Whether any workspaces are declared.

    const ServiceProfile* service(std::string_view name) const;

    // Rank of a workspace's requests on a route: that of the workspace goes before that of the route.
    unsigned rank(const Route& route, const std::string& workspace) const;

    // Computes the derived values. Call it once after all declared values are set.
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
