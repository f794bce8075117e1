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
    std::int64_t tokensReadPerStep { 2048 };
    std::size_t queueLength { 32 }; // Prompts that wait for a place in the batch.
    std::size_t reservationLimit { 64 };
    double slowness { 1 }; // Factor on all times.
};

// A prompt as one engine sees it. Where other engines read parts of it, `tokensHere` is this engine's part.
struct EnginePrompt {
    std::int64_t tokensHere { 0 };
    std::int64_t tokensBefore { 0 }; // Of earlier parts: the part attends to them, too.
    std::int64_t memoryHere { 0 }; // Tokens kept on this engine from the admission to the end.
    std::int64_t outputTokens { 1 };
    int urgency { 5 }; // 0 is admitted first.
    std::size_t partsElsewhere { 0 };
};

// What an engine has done by some time.
struct EngineEvent {
    enum class Kind {
        PartRead, // A part that was read for another engine.
        Written, // `tokens` more of the answer.
        Finished, // The last token was written.
    };

    std::uint64_t work { 0 };
    Kind kind { Kind::Written };
    std::int64_t tokens { 0 };
};

// The batch of one model engine: reads prompts in chunks between the tokens of the answers that it writes, in passes of
// several steps, and keeps the memory of both. Parts for other engines are read first, the newest before older ones.
// When memory runs out the newest prompt loses its place and is read again. Time moves by advance() alone. Pure.
class EngineModel {
public:
    enum class Admission {
        Accepted,
        Full, // Neither a place in the batch nor in the queue.
        TooLarge, // More than the whole memory.
    };

    enum class Reservation {
        Held,
        Refused,
        TooLarge,
    };

    struct Ticket {
        std::int64_t tokens { 0 };
        TimePoint lapsesAt {};
        std::uint64_t user { 0 }; // The work that uses it; 0: none.
    };

    explicit EngineModel(EngineModelSettings settings);

    Admission admit(std::uint64_t work, const EnginePrompt& prompt, TimePoint now);

    // Reads a part for another engine. False when the ticket is missing or in use; an empty ticket needs none.
    bool readPart(
        std::uint64_t work, std::int64_t tokens, std::int64_t before, const std::string& ticket, TimePoint now);

    // Another engine has read its part of a prompt that was admitted here.
    void partArrived(std::uint64_t work, TimePoint now);

    // Ends a prompt or a part, and gives its memory and ticket back.
    void cancel(std::uint64_t work, TimePoint now);

    Reservation reserve(const std::string& ticket, std::int64_t tokens, Duration hold, TimePoint now);
    void release(const std::string& ticket);

    // Returns what was done up to `now`, in order. Work whose ticket has lapsed is cancelled and named in `cutOff`.
    std::vector<EngineEvent> advance(TimePoint now);
    std::vector<std::uint64_t> takeCutOff();

    // When the running pass or the next ticket ends.
    std::optional<TimePoint> nextDeadline() const;

    void setSlowness(double factor);
    std::size_t queued() const;
    std::size_t active() const;
    std::int64_t memoryUsed() const;
    std::int64_t memoryTotal() const;
    const std::map<std::string, Ticket, std::less<>>& tickets() const;

private:
    struct Running {
        std::uint64_t work { 0 };
        EnginePrompt prompt;
        std::uint64_t arrival { 0 };
        std::int64_t read { 0 };
        std::int64_t written { 0 };
        bool didRead { false };

        bool isWriting() const
        {
            return this->didRead && this->prompt.partsElsewhere == 0;
        }
    };

    struct Part {
        std::uint64_t work { 0 };
        std::int64_t tokens { 0 };
        std::int64_t before { 0 };
        std::int64_t read { 0 };
        std::string ticket;
    };

    struct Pass {
        TimePoint endsAt {};
        std::vector<std::uint64_t> writers;
    };

    void lapseTickets(TimePoint now);
    void fillBatch();
    void beginPass(TimePoint now);
    void endPass(std::vector<EngineEvent>& events);
    void write(Running& running, std::int64_t tokens, std::vector<EngineEvent>& events);
    void yieldMemory();
    double readMs(std::int64_t& budget, std::int64_t& read, std::int64_t total, std::int64_t before) const;
    Running* find(std::uint64_t work);

    EngineModelSettings settings;
    std::vector<Running> waiting; // By urgency, then arrival.
    std::vector<Running> batch; // In the order of admission.
    std::vector<Part> parts; // The oldest first.
    std::map<std::string, Ticket, std::less<>> reserved;
    std::vector<std::uint64_t> cutOff;
    std::optional<Pass> pass;
    std::uint64_t arrivals { 0 };
};

}
