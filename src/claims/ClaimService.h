#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/PlatformLog.h>

#include "base/Metrics.h"
#include "claims/ClaimCoordinator.h"

namespace marigoldpaddle {

// Runs a ClaimCoordinator over the platform's log: follows the claim stream, appends batches, and answers the messages
// of gateways. All calls come from the executor's thread.
class ClaimService {
public:
    // Everything that is passed by reference must outlive the executor's context.
    ClaimService(boost::asio::any_io_executor executor, const Clock& clock, PlatformLog& log,
        const HolderLiveness& liveness, const ClaimCoordinatorOptions& options, MetricsRegistry& metrics);
    ~ClaimService();

    // Starts to follow the log. Claims are refused until the log was read to its end.
    void start();

    // Decides a claim within the time that its request leaves.
    boost::asio::awaitable<wire::ClaimAnswer> claim(wire::ClaimRequest request);

    // Records how a claimed call ended. Accepted once it stands in the log; a gateway repeats it until then.
    boost::asio::awaitable<wire::Acknowledgement> settle(wire::ClaimSettlement settlement);

    // See ClaimCoordinator::setRank.
    void setRank(std::size_t rank, std::size_t instances);

private:
    // A call that waits for the coordinator's reply.
    struct Waiter {
        explicit Waiter(const boost::asio::any_io_executor& executor);

        boost::asio::steady_timer answered; // Cancelled when the reply is there.
        std::optional<wire::ClaimAnswer> answer;
        bool isSettled { false };
    };

    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<bool> load();
    boost::asio::awaitable<void> pace();
    boost::asio::awaitable<void> append(std::string record);
    boost::asio::awaitable<void> pause(Duration duration);
    void noteReadFailure(PlatformError error);
    void deliver(const ClaimReplies& replies);
    void countAnswer(const wire::ClaimAnswer& answer, Duration latency);
    std::shared_ptr<Waiter> addWaiter(ClaimTicket ticket);

    boost::asio::any_io_executor executor;
    const Clock& clock;
    PlatformLog& log;
    ClaimCoordinator coordinator;
    MetricsRegistry& metrics;
    std::map<ClaimTicket, std::shared_ptr<Waiter>> waiters;
    boost::asio::steady_timer wake; // Cancelled when the coordinator may have something to do.
    ClaimTicket lastTicket { 0 };
    std::uint64_t loadedUpTo { 0 };
    std::uint32_t readFailures { 0 };
    bool isLoaded { false };
};

// Return what a message says in the ledger's terms.
Claim claimFrom(const wire::ClaimRequest& request);
ClaimSettlementItem settlementFrom(const wire::ClaimSettlement& settlement);

}
