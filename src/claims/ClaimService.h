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

// Runs a ClaimCoordinator on the platform's log: reads the claim stream, appends batches, and answers the requests of
// gateways. All functions must be called on the executor's thread.
class ClaimService {
public:
    // Everything that is passed by reference must outlive the executor's context.
    ClaimService(boost::asio::any_io_executor executor, const Clock& clock, PlatformLog& log,
        const HolderLiveness& liveness, const ClaimCoordinatorOptions& options, MetricsRegistry& metrics);
    ~ClaimService();

    // Starts to read the log. Claims are refused until it was read up to the end that it had when loading began.
    void start();

    // Returns the verdict on a claim, within the remaining time of its request.
    boost::asio::awaitable<wire::ClaimAnswer> claim(wire::ClaimRequest request);

    // Records how a claimed call ended. Accepted once it is recorded in the log; otherwise not accepted, after at most
    // 5 s, and the gateway has to repeat it.
    boost::asio::awaitable<wire::Acknowledgement> settle(wire::ClaimSettlement settlement);

    // See ClaimCoordinator::setRank.
    void setRank(std::size_t rank, std::size_t instances);

private:
    // A claim or settlement that waits for the reply of the coordinator.
    struct Waiter {
        explicit Waiter(const boost::asio::any_io_executor& executor);

        boost::asio::steady_timer answerTimer; // Cancelled when the reply arrives.
        std::optional<wire::ClaimAnswer> answer;
        bool isSettled { false };
    };

    boost::asio::awaitable<void> runReadLoop();
    boost::asio::awaitable<bool> load();

    // Drives the timers and appends of the coordinator.
    boost::asio::awaitable<void> runAppendLoop();
    boost::asio::awaitable<void> append(std::string record);
    boost::asio::awaitable<void> sleepFor(Duration duration);
    void handleReadFailure(PlatformError error);
    void deliver(const ClaimReplies& replies);
    void countAnswer(const wire::ClaimAnswer& answer, Duration latency);
    std::shared_ptr<Waiter> addWaiter(ClaimTicket ticket);

    boost::asio::any_io_executor executor;
    const Clock& clock;
    PlatformLog& log;
    ClaimCoordinator coordinator;
    MetricsRegistry& metrics;
    std::map<ClaimTicket, std::shared_ptr<Waiter>> waiters;
    boost::asio::steady_timer wakeTimer; // Cancelled when the coordinator may have work.
    ClaimTicket lastTicket { 0 };
    std::uint64_t endAtLoad { 0 };
    std::uint32_t readFailures { 0 };
    bool isLoaded { false };
};

// Conversions of gateway requests to the types of the ledger.
Claim claimFrom(const wire::ClaimRequest& request);
ClaimSettlementItem settlementFrom(const wire::ClaimSettlement& settlement);

}
