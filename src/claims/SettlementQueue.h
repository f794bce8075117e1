#pragma once

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include <marigoldpaddle/ClaimLedger.h>

namespace marigoldpaddle {

// What a holder says of its claim when it is done with it.
struct ClaimSettlementItem {
    enum class Kind {
        Outcome,
        Unknown, // The target may have executed the call.
        NotSent, // The call was not sent and never will be.
    };

    ClaimReference claim;
    Kind kind { Kind::Unknown };
    CallOutcome outcome; // Kind::Outcome only.
};

// Settlements that do not stand in the log yet. The first settlement of a claim counts.
class SettlementQueue {
public:
    explicit SettlementQueue(std::size_t limit);

    // Adds a settlement, or one more ticket that waits for the same one. False when the queue is full.
    bool add(std::uint64_t ticket, const ClaimSettlementItem& item);

    // Moves waiting settlements into a batch, up to `items` and about `bytes` of bodies. Returns their claims.
    std::vector<ClaimReference> moveTo(ClaimBatch& batch, std::size_t items, std::size_t bytes);

    // Settlements that were handed to the log and may not have reached it wait again.
    void requeue(std::span<const ClaimReference> claims);

    // Forgets a settlement that stands in the log. Returns the tickets that waited for it.
    std::vector<std::uint64_t> remove(const ClaimReference& claim);

    // Returns a claim's settlement; null if there is none.
    const ClaimSettlementItem* find(const ClaimReference& claim) const;

    // Returns the outcome of a claim that is not recorded yet; null if there is none.
    const CallOutcome* outcomeOf(const ClaimReference& claim) const;

    // Whether a settlement waits to be handed to the log.
    bool isWaiting() const;
    std::size_t size() const;

private:
    struct Entry {
        ClaimSettlementItem item;
        std::vector<std::uint64_t> tickets;
    };

    std::size_t limit;
    std::map<ClaimReference, Entry> entries;
    std::deque<ClaimReference> waiting;
};

}
