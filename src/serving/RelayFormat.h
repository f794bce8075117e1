#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Clock.h>

#include "base/Http.h"

// Headers between two instances when one of them serves a caller of the other. The request is the caller's, with its
// remaining time; the answer is the target's, or a refusal of the peer.
namespace marigoldpaddle {

// A target that ended under the request, as one of the two instances knows it. Ids are hashes, as in TargetCrash.
struct RelayedEnd {
    std::uint64_t target { 0 };
    std::uint64_t request { 0 };
    Duration age {}; // Since the end.
};

// Number of ends that go with a request or a refusal: more than it takes to suspect the request.
inline constexpr std::size_t MaximumRelayedEnds = 16;

// What the instance that received a request states about it.
struct RelayRequest {
    std::uint64_t configurationVersion { 0 }; // In force there; an older one must not be applied to the request.
    Duration elapsed {}; // Since the request was received there.
    unsigned runs { 0 }; // Earlier attempts that may have been executed.
    bool isRetry { false }; // A retry was spent for it, so it is not a first send.
    std::uint64_t newestKnownVersion { 0 }; // Of the configuration; at least the version in force.
    std::vector<RelayedEnd> ends {}; // Under the request and its repetitions.
};

void addRelayRequest(HttpRequest& request, const RelayRequest& relay);

// Empty if the headers are missing or invalid. An invalid end is left out.
std::optional<RelayRequest> relayRequestFrom(const HttpRequest& request);

// Marks a response of the peer itself, as opposed to a target's answer. With any status but 502 and 504 the request was
// not executed.
struct RelayRefusal {
    std::string_view reason; // Empty for the answer of a target.
    unsigned runs { 0 }; // Attempts of the peer that may have been executed.
    std::uint64_t configurationVersion { 0 }; // In force at the peer; 0 if it has none or does not say so.
    std::vector<RelayedEnd> ends {}; // Under the request and its repetitions.

    bool empty() const
    {
        return this->reason.empty();
    }
};

void addRelayRefusal(HttpResponse& response, const RelayRefusal& refusal);

// The reason refers to the header.
RelayRefusal relayRefusalFrom(const HttpResponseHeader& header);

// Names the target that answered.
void addRelayTarget(HttpResponseHeader& header, std::string_view target);
std::string_view relayTargetFrom(const HttpResponseHeader& header);

// Removes the headers above, which concern one hop only.
void eraseRelayHeaders(HttpRequest& request);
void eraseRelayHeaders(HttpResponseHeader& header);

// Reasons for which another peer may serve the request.
namespace relay_refusals {
inline constexpr std::string_view Busy = "peer_busy"; // It serves as many requests of other instances as it can.
inline constexpr std::string_view CutOff = "peer_cut_off"; // It reaches no target either.
inline constexpr std::string_view Outdated = "peer_outdated"; // Its configuration is not current, or too old.
inline constexpr std::string_view Fault = "request_fault"; // It could not read the request, or not within its limits.
}

// Whether another peer may serve a request that a peer refused for this reason.
bool mayRelayElsewhere(std::string_view reason);

// Whether a peer's denial (404, 401) is by an older configuration than `version`, the newest one that is known here.
bool isOutdatedDenial(unsigned status, const RelayRefusal& refusal, std::uint64_t version);

}
