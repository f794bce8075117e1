#include "serving/PeerRunner.h"

#include <limits>
#include <memory>
#include <random>

#include <boost/asio/ip/udp.hpp>

#include <gtest/gtest.h>
#include <unistd.h>

#include "AbsentStore.h"
#include "Seed.h"
#include "platform/RecordFormat.h"
#include "rpc/Codec.h"

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::udp;

// Notices with numbers at the ends of their types, and mutated ones. Sums of such a number and a point in time wrapped
// round, and an exception ended the reception of all later notices.
class FaultsOddNoticeTest : public ::testing::Test {
protected:
    FaultsOddNoticeTest()
        : address(ownHost() + ':' + std::to_string(freePort(this->context)))
        , runner({ this->context, this->clock, this->view, this->follower, this->ledger, this->waiting,
                     this->quarantine, this->limits, this->log, this->metrics,
                     [] {
                     } },
              this->address, "a", {}, 400ms)
    {
        this->runner.start();
        const auto port = static_cast<std::uint16_t>(std::stoi(this->address.substr(this->address.find(':') + 1)));
        this->sender.connect({ asio::ip::make_address(ownHost()), port });
    }

    // A loopback address of this process alone. On 127.0.0.1 the port may be taken for TCP by connections of others.
    static std::string ownHost()
    {
        const auto process = static_cast<unsigned>(::getpid());
        return "127." + std::to_string(64 + (process >> 16U) % 64) + '.' + std::to_string((process >> 8U) % 256) + '.'
            + std::to_string(process % 256);
    }

    static std::uint16_t freePort(asio::io_context& context)
    {
        const udp::socket socket { context, { asio::ip::make_address(ownHost()), 0 } };
        return socket.local_endpoint().port();
    }

    // A sound notice of a peer.
    wire::LoadNotice notice(const std::string& sender)
    {
        wire::LoadNotice notice;
        notice.sender = sender;
        notice.availabilityZone = "a";
        notice.incarnation = 1;
        notice.sequence = ++this->sequence;
        notice.validMs = 60'000;
        notice.waitingStartByMs = -1;
        notice.zoneOccupancy = -1;
        notice.targetsAgeMs = notice.configurationAgeMs = std::numeric_limits<std::int32_t>::max();
        return notice;
    }

    void send(const std::string& datagram)
    {
        this->sender.send(asio::buffer(datagram));
        this->context.restart();
        this->context.poll();
    }

    // Whether a sound notice of another peer is taken now: a new peer is sent one in return.
    bool receives()
    {
        udp::socket peer { this->context, { asio::ip::make_address(ownHost()), 0 } };
        const auto isAnswered = std::make_shared<bool>(false);
        peer.async_wait(
            udp::socket::wait_read, [isAnswered](const boost::system::error_code& failure) { *isAnswered = !failure; });
        const auto end = this->clock.now() + 20s;
        this->send(encode(this->notice(ownHost() + ':' + std::to_string(peer.local_endpoint().port()))));
        while (!*isAnswered && this->clock.now() < end) {
            this->context.restart();
            this->context.run_one_for(10ms);
        }
        return *isAnswered;
    }

    asio::io_context context { 1 };
    SteadyClock clock;
    testing::AbsentStore store;
    platform::RecordFormat records;
    ServingView view;
    EventLog log { this->clock, { "test", 0, 64 } };
    MetricsRegistry metrics;
    ViewFollower follower { this->context, this->clock, this->store, this->records, this->view, this->log,
        this->metrics, { 400ms, 400ms, 20ms }, std::mt19937_64 { 1 } };
    LoadLedger ledger;
    WaitingPrompts waiting;
    PromptQuarantine quarantine;
    TargetLimits limits;
    std::string address;
    PeerRunner runner;
    udp::socket sender { this->context };
    std::int64_t sequence { 0 };
};

// Most meaningful in the build with sanitizers.
TEST_F(FaultsOddNoticeTest, NumbersAtTheEndsOfTheirTypesHarmNothing)
{
    for (const auto extreme : { std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::min() }) {
        auto odd = this->notice("127.0.0.1:9");
        odd.validMs = odd.targetsAgeMs = odd.configurationAgeMs = odd.waitingStartByMs = extreme;
        odd.relayPort = std::numeric_limits<std::int32_t>::max();
        odd.relayedRequests = std::numeric_limits<std::int32_t>::min();
        odd.zoneOccupancy = std::numeric_limits<double>::infinity();
        auto& load = odd.loads.emplace_back();
        load.backlogMs = load.answerWeight = std::numeric_limits<double>::infinity();
        load.memoryTokens = extreme;
        load.running = load.longReads = load.answers = load.tightestGapMs = std::numeric_limits<std::int32_t>::max();
        auto& crash = odd.crashes.emplace_back();
        crash.target = crash.request = crash.ageMs = crash.fingerprint = extreme;
        crash.parts = { extreme };
        odd.soundParts.emplace_back().ageMs = extreme;
        auto& limit = odd.limits.emplace_back();
        limit.target = limit.incarnation = limit.zone = limit.ageMs = extreme;
        limit.perSecond = std::numeric_limits<double>::infinity();
        this->send(encode(odd));
        EXPECT_TRUE(this->waiting.isMostUrgent({ DefaultRank, this->clock.now() + 1h }, this->clock.now())) << extreme;
        this->ledger.total("any", this->clock.now());
        EXPECT_TRUE(this->receives());
    }
}

TEST_F(FaultsOddNoticeTest, OddAddressesOfPeersHarmNothing)
{
    for (const auto* odd : { "nonsense", ":0", "a\r\nb:1", "127.0.0.1:65536", "[::1]:80", "\xff" }) {
        auto sent = this->notice(odd);
        sent.peers = { odd, std::string(5000, 'p') };
        sent.relayPort = 80;
        this->send(encode(sent));
        EXPECT_TRUE(this->receives()) << odd;
    }
}

TEST_F(FaultsOddNoticeTest, OddRegistrationsHarmNothing)
{
    for (const auto& value : { std::string(5000, '['), std::string { "{}" }, std::string { "\xff\x01" },
             std::string {
                 R"({"service":"s","address":"10.0.0.9:65536","zone":"a","state":"ready","slots":1e300})" } }) {
        auto sent = this->notice("127.0.0.1:9");
        sent.targetsAgeMs = 0;
        sent.targetsDigest = 7;
        sent.targetChanges.emplace_back().key = "odd";
        sent.targetChanges.back().value = value;
        this->send(encode(sent));
        EXPECT_TRUE(this->receives()) << value.substr(0, 80);
        EXPECT_EQ(this->view.targets.size(), 0U);
    }
}

TEST_F(FaultsOddNoticeTest, MutatedNoticesDoNotEndTheReception)
{
    const auto seed = marigoldpaddle::testing::seedFromEnvironment();
    std::mt19937_64 random { seed };
    const auto below = [&](std::size_t end) {
        return std::uniform_int_distribution<std::size_t> { 0, end - 1 }(random);
    };
    for (int round = 0; round < 5000; ++round) {
        auto sound = this->notice("127.0.0.1:9");
        sound.loads.emplace_back();
        sound.crashes.emplace_back().parts = { 1, 2 };
        sound.limits.emplace_back();
        sound.targetChanges.emplace_back().key = "odd";
        sound.peers = { "127.0.0.1:8" };
        auto datagram = encode(sound);
        for (auto edits = 1 + below(6); edits > 0 && !datagram.empty(); --edits) {
            const auto at = below(datagram.size());
            if (below(4) == 0)
                datagram.erase(at, 1 + below(8));
            else
                datagram[at] = static_cast<char>(below(256));
        }
        this->send(datagram);
    }
    EXPECT_TRUE(this->receives()) << "MARIGOLD_SEED=" << seed;
}

}
}
