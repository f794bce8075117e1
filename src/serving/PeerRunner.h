#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <marigoldpaddle/Clock.h>

#include "base/EventLog.h"
#include "base/Metrics.h"
#include "rpc/RpcClient.h"
#include "rpc/RpcServer.h"
#include "serving/LoadLedger.h"
#include "serving/PeerExchange.h"
#include "serving/PromptQuarantine.h"
#include "serving/RelayPeers.h"
#include "serving/TargetAnswers.h"
#include "serving/TargetLimits.h"
#include "serving/ViewFollower.h"
#include "serving/WaitingPrompts.h"

namespace marigoldpaddle {

// Runs the exchange with peers: load notices over UDP, platform records over RPC on the TCP port of the same number.
class PeerRunner final : public RpcHandler, public ViewAudience {
public:
    struct Parts {
        boost::asio::io_context& context;
        const Clock& clock;
        ServingView& view;
        ViewFollower& follower;
        LoadLedger& ledger;
        WaitingPrompts& waiting;
        PromptQuarantine& quarantine;
        TargetLimits& limits;
        EventLog& log;
        MetricsRegistry& metrics;
        std::function<void()> onConfigurationInstalled; // Called after each, from the platform or a peer.
        RelayPeers* relays { nullptr }; // Learns what peers state about relayed requests; may be null.
        std::function<RelayPeer()> relayState {}; // What peers are told of this instance; may be empty.
        TargetAnswers* answers { nullptr }; // Learns which targets do not answer; may be null.
    };

    // Everything that the parts refer to must outlive the runner. `address` is "IP:port", as are those of the seeds.
    // `targetsBound` is the time within which a leaving target has to be known.
    PeerRunner(const Parts& parts, std::string address, std::string availabilityZone, std::vector<std::string> seeds,
        Duration targetsBound);
    ~PeerRunner() override;

    // Takes effect with the next period.
    void setTargetsBound(Duration bound);

    // Binds the sockets and starts. Throws boost::system::system_error when it cannot bind.
    void start();

    // Notifies peers of new work at once, before they place their own.
    void notifyPeersNow();

    // Notifies all peers of a target that ended under a request, or of a target's new limit or its end: at once, or
    // with the next period if peers have just been notified.
    void announceNews();

    // Notifies peers that this instance is leaving.
    void announceLeaving();

    std::size_t livePeers() const;

    std::size_t readerRank() const override;
    void configurationInstalled() override;
    void evacuationChanged() override;
    void targetsRead(std::span<const KeyedRecord> changes) override;

    boost::asio::awaitable<std::optional<wire::Payload>> handle(
        wire::Payload request, std::shared_ptr<void>& untilWritten) override;

private:
    struct State;
    std::unique_ptr<State> state;
};

}
