#pragma once

#include <cstdint>
#include <optional>

namespace marigoldpaddle {

// The era of the platform's store that this instance's view belongs to. The store raises it by one each time that it
// comes back from an older copy. What peers state counts until the store itself has answered a later call. Pure
// computation, no I/O.
class StoreEra {
public:
    enum class Verdict {
        Rejected, // What came with the era is of an earlier one, or the era is not credible.
        Current,
        Risen, // The store came back from an older copy.
        Refuted, // The store has not reached the era that a peer had stated; its own one is now the current one.
    };

    // Higher numbers are no eras.
    static constexpr std::uint64_t Maximum = std::uint64_t { 1 } << 53;
    // Restores that an instance may have missed. A peer's era that is higher by more is not credible.
    static constexpr std::uint64_t MaximumMissedRestores = 8;

    // Returns the highest credible era; 0 before the first.
    std::uint64_t current() const;

    // Judges an answer of the store. `whenAsked` is the current era at the beginning of the call: the answer to an
    // earlier call than a peer's statement does not refute it.
    Verdict acceptFromStore(std::uint64_t era, std::uint64_t whenAsked);

    // Judges an era that a peer has stated. Before the first answer of the store any is accepted.
    Verdict acceptFromPeer(std::uint64_t era);

private:
    Verdict change(std::uint64_t era);

    std::uint64_t era { 0 };
    std::optional<std::uint64_t> ofStore; // In its last accepted answer.
    std::uint64_t refuted { 0 }; // Not credible from peers, up to this one.
};

}
