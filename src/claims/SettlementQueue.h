#pragma once

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include <marigoldpaddle/ClaimLedger.h>

namespace marigoldpaddle {

// How the holder of a claim ends it.
struct ClaimSettlementItem {
    enum class Kind {
        Outcome, // The call ended with a known outcome.
        Unknown, // The target may have executed the call; the outcome is not known.
        NotSent, // The call was not sent and never will be.
    };

    ClaimReference claim;
    Kind kind { Kind::Unknown };
    CallOutcome outcome; // Kind::Outcome only.
};

// Settlements that are not recorded in the log yet. Only the first settlement of a claim is kept.
class SettlementQueue {
public:
    // Holds at most `limit` settlements.
    explicit SettlementQueue(std::size_t limit);

    // Adds a settlement. If the claim has one already, only adds the ticket to those that wait for it. Returns false if
    // the queue is full.
    bool add(std::uint64_t ticket, const ClaimSettlementItem& item);

    // Copies settlements that have not been sent into a batch: at most `maximumItems`, and no more once their bodies
    // reach `maximumBodyBytes`. Returns their claims.
    std::vector<ClaimReference> addTo(ClaimBatch& batch, std::size_t maximumItems, std::size_t maximumBodyBytes);

    // Queues settlements to be sent again after an append that failed or may have failed.
    void requeue(std::span<const ClaimReference> claims);

    // Removes a settlement that is recorded in the log. Returns the tickets that waited for it.
    std::vector<std::uint64_t> remove(const ClaimReference& claim);

    // Returns a claim's settlement; null if there is none.
    const ClaimSettlementItem* find(const ClaimReference& claim) const;

    // Returns the outcome in a claim's settlement; null if the claim has no settlement or one without an outcome.
    const CallOutcome* outcomeOf(const ClaimReference& claim) const;

    // Returns whether there are settlements to send.
    bool hasUnsent() const;
    std::size_t size() const;

private:
    struct Entry {
        ClaimSettlementItem item;
        std::vector<std::uint64_t> tickets;
    };

    std::size_t limit;
    std::map<ClaimReference, Entry> entries;
    std::deque<ClaimReference> unsent;
};

}
