#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <set>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// Bounds the bytes that a process holds for others in sum: requests that are being read, that wait, or whose answers
// are not read. Each limit of a single request may be legal while some dozens of them exceed the machine's memory.
//
// When the budget is used up, the holding that costs its client least to lose is reclaimed first: the one that holds
// much and has made no progress for long. Clients that send their requests without a pause are not affected by a crowd
// that stops half-way. Pure computation, no I/O.
class MemoryBudget {
public:
    // A holding up to this size may use the whole budget, a larger one only LargeHoldingShare of it, so that ordinary
    // requests are still read while large ones have used up their part.
    static constexpr std::size_t SmallHoldingBytes = std::size_t { 64 } * 1024;
    static constexpr double LargeHoldingShare = 0.75;
    // A holding that made progress within this time is not reclaimed: a client that sends without a pause may be slowed
    // by the network.
    static constexpr Duration MinimumStall = std::chrono::milliseconds { 200 };

    // Bytes held for one client. It must not outlive the budget.
    class Holding {
    public:
        // `reclaim` ends what the bytes are held for. It is called at most once between two calls of
        // setReclaimable(true), while the holding is reclaimable, and must not call the budget.
        Holding(MemoryBudget& budget, std::function<void()> reclaim);
        ~Holding();
        Holding(const Holding&) = delete;
        Holding& operator=(const Holding&) = delete;

        // Sets the number of bytes, which are counted as progress if they grow. Returns false, and keeps the earlier
        // number, if the budget does not allow as many even after others were reclaimed.
        bool resize(std::size_t bytes, TimePoint now);

        // Sets the number of bytes whether the budget allows it or not.
        void force(std::size_t bytes);

        // Whether the budget may reclaim the bytes.
        void setReclaimable(bool isReclaimable, TimePoint now);

        std::size_t bytes() const
        {
            return this->held;
        }

    private:
        friend class MemoryBudget;

        MemoryBudget& budget;
        std::function<void()> reclaim;
        std::size_t held { 0 };
        bool isReclaimable { false };
        TimePoint progressAt {};
    };

    explicit MemoryBudget(std::size_t bytes = std::numeric_limits<std::size_t>::max());

    // Takes effect with the next growth of a holding.
    void setLimit(std::size_t bytes);

    std::size_t used() const;

    // Number of holdings that were reclaimed, and of growths that were refused.
    std::size_t reclaimed() const;
    std::size_t refused() const;

private:
    bool allows(std::size_t delta, std::size_t bytes) const;
    Holding* worstHolding(const Holding& except, TimePoint now) const;

    std::size_t limit;
    std::size_t usedBytes { 0 };
    std::size_t reclaims { 0 };
    std::size_t refusals { 0 };
    std::set<Holding*> holdings;
};

}
