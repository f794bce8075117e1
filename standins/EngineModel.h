#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <marigoldpaddle/Clock.h>

#include "serving/ServingConfiguration.h"

namespace marigoldpaddle::standins {

struct EngineModelSettings {
    EngineProfile profile;
    std::int64_t prefillTokensPerStep { 2048 };
    std::size_t queueLength { 32 }; // Prompts that may wait for a slot in the batch.
    std::size_t reservationLimit { 64 }; // Memory reservations held at the same time.
    double slowness { 1 }; // Factor on the duration of every pass.
};

// A prompt to be processed by one engine. If other engines prefill parts of the prompt, `localTokens` counts only the
// part of this engine.
struct EnginePrompt {
    std::int64_t localTokens { 0 };
    std::int64_t precedingTokens { 0 }; // Prompt tokens of earlier parts, to which this part attends.
    std::int64_t localMemoryTokens { 0 }; // KV cache tokens held on this engine from admission to the end.
    std::int64_t outputTokens { 1 };
    int urgency { 5 }; // 0 is admitted first.
    std::size_t remoteParts { 0 }; // Parts that other engines have not finished yet; decoding starts after the last.
};

// Progress of one job.
struct EngineEvent {
    enum class Kind {
        PartPrefilled, // The prefill of a part for another engine is complete.
        TokensGenerated, // `tokens` more output tokens were generated.
        Finished, // The last output token was generated.
    };

    std::uint64_t jobId { 0 };
    Kind kind { Kind::TokensGenerated };
    std::int64_t tokens { 0 };
};

// Models the continuous batching of one model engine: chunked prefill interleaved with decoding, in passes of several
// steps, and the KV cache memory of prompts, outputs and reservations. Parts for other engines are prefilled before the
// engine's own prompts, the newest part first. When memory runs out, the newest prompt is preempted and prefilled again
// later. A job is a prompt or a part for another engine; the caller chooses unique job ids above 0. Does no I/O and
// reads no clock: finished passes take effect only in advance().
class EngineModel {
public:
    enum class Admission {
        Accepted,
        Full, // Both the batch and the queue are full.
        TooLarge, // Needs more than the total memory.
    };

    enum class ReservationResult {
        Held,
        Refused, // Not enough free memory, or too many reservations.
        TooLarge, // Needs more than the total memory.
    };

    struct MemoryReservation {
        std::int64_t tokens { 0 };
        TimePoint expiresAt {};
        std::uint64_t usedByJob { 0 }; // Id of the job that uses the memory; 0 if none.
    };

    explicit EngineModel(EngineModelSettings settings);

    Admission admit(std::uint64_t jobId, const EnginePrompt& prompt, TimePoint now);

    // Starts the prefill of a part for another engine in the memory that `ticket` reserved. Returns false if there is
    // no such reservation or it is in use. An empty `ticket` starts the prefill without a reservation.
    bool prefillPart(std::uint64_t jobId, std::int64_t tokens, std::int64_t precedingTokens, const std::string& ticket,
        TimePoint now);

    // Reports that another engine has prefilled its part of a prompt that was admitted here.
    void remotePartCompleted(std::uint64_t jobId, TimePoint now);

    // Ends a prompt or a part and frees its own memory. A reservation that it used is kept and may be used again.
    void cancel(std::uint64_t jobId, TimePoint now);

    // Reserves memory under the name `ticket` for the duration `hold`. Repeating it with the same ticket renews the
    // hold.
    ReservationResult reserve(const std::string& ticket, std::int64_t tokens, Duration hold, TimePoint now);
    void release(const std::string& ticket);

    // Completes the passes that end by `now` and expires reservations. Returns the progress made, in order.
    std::vector<EngineEvent> advance(TimePoint now);

    // Returns the jobs whose reservation expired while they used it, since the last call. The caller should cancel
    // them.
    std::vector<std::uint64_t> takeExpiredJobs();

    // Returns when the running pass ends or the next reservation expires, whichever is earlier.
    std::optional<TimePoint> nextDeadline() const;

    void setSlowness(double factor);
    std::size_t queued() const;
    std::size_t active() const;
    std::int64_t memoryUsed() const;
    std::int64_t memoryTotal() const;
    const std::map<std::string, MemoryReservation, std::less<>>& reservations() const;

private:
    struct PromptState {
        std::uint64_t jobId { 0 };
        EnginePrompt prompt;
        std::uint64_t arrivalNumber { 0 };
        std::int64_t prefilledTokens { 0 };
        std::int64_t generatedTokens { 0 };
        bool isPrefilled { false };

        bool isDecoding() const
        {
            return this->isPrefilled && this->prompt.remoteParts == 0;
        }
    };

    struct Part {
        std::uint64_t jobId { 0 };
        std::int64_t tokens { 0 };
        std::int64_t precedingTokens { 0 };
        std::int64_t prefilledTokens { 0 };
        std::string ticket;
    };

    struct Pass {
        TimePoint endsAt {};
        std::vector<std::uint64_t> decodingJobs;
    };

    void expireReservations(TimePoint now);
    void fillBatch();
    void beginPass(TimePoint now);
    void endPass(std::vector<EngineEvent>& events);
    void generateTokens(PromptState& state, std::int64_t tokens, std::vector<EngineEvent>& events);
    void preemptNewest();
    double prefillMs(
        std::int64_t& budget, std::int64_t& prefilledTokens, std::int64_t total, std::int64_t precedingTokens) const;
    PromptState* findPrompt(std::uint64_t jobId);

    EngineModelSettings settings;
    std::vector<PromptState> waiting; // By urgency, then arrival; a preempted prompt returns to the front.
    std::vector<PromptState> batch; // In order of admission.
    std::vector<Part> parts; // Oldest first.
    std::map<std::string, MemoryReservation, std::less<>> reservationsByTicket;
    std::vector<std::uint64_t> expiredJobs;
    std::optional<Pass> pass;
    std::uint64_t arrivalCount { 0 };
};

}
