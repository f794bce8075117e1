#include "membership/MembershipRunner.h"

#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include "base/Http.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

// Shared with pending asynchronous operations, so it may outlive the runner.
struct MembershipRunner::State : public std::enable_shared_from_this<MembershipRunner::State> {
    State(asio::io_context& context, const Clock& clock, MetricsRegistry& metrics)
        : clock(clock)
        , metrics(metrics)
        , socket(context)
        , timer(context)
    {
    }

    void receive()
    {
        auto self = this->shared_from_this();
        this->socket.async_receive_from(
            asio::buffer(this->buffer), this->source, [self](const error_code& failure, std::size_t size) {
                if (!self->socket.is_open() || failure == asio::error::operation_aborted)
                    return;
                // An ICMP error caused by a datagram sent earlier is reported as a failure of this receive.
                if (!failure)
                    self->perform(self->membership->receive({ self->buffer.data(), size }, self->clock.now()));
                self->receive();
            });
    }

    void armTimer()
    {
        auto self = this->shared_from_this();
        this->timer.expires_at(this->membership->nextTick());
        this->timer.async_wait([self](const error_code& failure) {
            if (failure || !self->socket.is_open())
                return;
            self->perform(self->membership->tick(self->clock.now()));
        });
    }

    // Executes the commands of the membership and arms the timer for its next tick.
    void perform(const MembershipCommands& commands)
    {
        for (const auto& command : commands)
            std::visit([this](const auto& specific) { this->performOne(specific); }, command);
        this->updateMetrics();
        if (this->socket.is_open())
            this->armTimer();
    }

    void performOne(const SendDatagram& datagram)
    {
        const auto [host, port] = splitAddress(datagram.address);
        error_code failure;
        const auto address = asio::ip::make_address(host, failure);
        if (!failure)
            this->socket.send_to(asio::buffer(datagram.bytes), { address, port }, 0, failure);
        if (failure)
            this->metrics.counter("marigold_membership_send_failures_total").increment();
    }

    void performOne(const MemberChanged& change)
    {
        const auto& member = change.member;
        LOG(INFO) << "instance " << member.instance.name << ", incarnation " << member.instance.incarnation << ", is "
                  << name(member.state);
        if (this->observer)
            this->observer->memberChanged(member);
    }

    void performOne(const TargetMarked& marked)
    {
        LOG(INFO) << "target " << marked.mark.target << ", incarnation " << marked.mark.incarnation
                  << (marked.mark.isLeaving ? ", is leaving" : ", is no longer leaving");
        if (this->observer)
            this->observer->targetMarked(marked.mark);
    }

    void performOne(const HigherConfigurationOffset& newer)
    {
        if (this->observer)
            this->observer->higherConfigurationOffset(newer.offset, newer.holder);
    }

    void performOne(const Superseded& superseded)
    {
        LOG(WARNING) << "another process runs under this instance's name with the later incarnation "
                     << superseded.incarnation;
        if (this->observer)
            this->observer->superseded(superseded.incarnation);
    }

    void updateMetrics()
    {
        const auto& counters = this->membership->counters();
        this->updateCounter("datagrams_received", counters.datagramsReceived);
        this->updateCounter("datagrams_malformed", counters.datagramsMalformed);
        this->updateCounter("datagrams_sent", counters.datagramsSent);
        this->updateCounter("bytes_received", counters.bytesReceived);
        this->updateCounter("bytes_sent", counters.bytesSent);
        this->updateCounter("probes_failed", counters.probesFailed);
        this->updateCounter("suspicions_raised", counters.suspicionsRaised);
        this->updateCounter("deaths_confirmed", counters.deathsConfirmed);
        this->updateCounter("refutations", counters.refutations);
        this->updateCounter("pauses_noticed", counters.pausesDetected);
    }

    void updateCounter(std::string_view what, std::uint64_t total)
    {
        auto& counter = this->metrics.counter("marigold_membership_" + std::string { what } + "_total");
        counter.increment(total - counter.value());
    }

    const Clock& clock;
    MetricsRegistry& metrics;
    udp::socket socket;
    asio::steady_timer timer;
    udp::endpoint source;
    std::array<char, 4 * MaximumDatagramBytes> buffer {};
    std::optional<Membership> membership;
    MembershipObserver* observer { nullptr };
};

MembershipRunner::MembershipRunner(asio::io_context& context, const Clock& clock, MetricsRegistry& metrics)
    : state(std::make_shared<State>(context, clock, metrics))
{
}

MembershipRunner::~MembershipRunner()
{
    this->state->observer = nullptr;
    this->stop();
}

std::uint16_t MembershipRunner::bind(std::string_view address)
{
    const auto [host, port] = splitAddress(address);
    const udp::endpoint endpoint { asio::ip::make_address(host), port };
    auto& socket = this->state->socket;
    socket.open(endpoint.protocol());
    socket.bind(endpoint);
    socket.non_blocking(true);
    return socket.local_endpoint().port();
}

void MembershipRunner::start(
    Member self, MembershipObserver& observer, std::uint64_t seed, const MembershipOptions& options)
{
    this->state->observer = &observer;
    this->state->membership.emplace(std::move(self), options, std::mt19937_64 { seed }, this->state->clock.now());
    this->state->receive();
    this->state->armTimer();
}

void MembershipRunner::updateListing(std::span<const InstanceDescription> instances)
{
    if (!this->state->membership)
        return;
    this->state->membership->updateListing(instances, this->state->clock.now());
    this->state->perform({});
}

void MembershipRunner::markTarget(const TargetLeavingMark& mark)
{
    if (this->state->membership)
        this->state->perform(this->state->membership->markTarget(mark, this->state->clock.now()));
}

void MembershipRunner::publish(const CellDigest& digest)
{
    if (this->state->membership)
        this->state->membership->publish(digest, this->state->clock.now());
}

void MembershipRunner::setConfigurationOffset(std::uint64_t offset)
{
    if (!this->state->membership)
        return;
    this->state->membership->setConfigurationOffset(offset, this->state->clock.now());
    this->state->perform({});
}

void MembershipRunner::leave()
{
    if (this->state->membership)
        this->state->perform(this->state->membership->leave(this->state->clock.now()));
}

void MembershipRunner::stop()
{
    auto& socket = this->state->socket;
    if (!socket.is_open())
        return;
    if (this->state->membership)
        this->state->perform(this->state->membership->announceExit(this->state->clock.now()));
    this->state->timer.cancel();
    error_code ignored;
    socket.close(ignored);
}

const Membership& MembershipRunner::membership() const
{
    return *this->state->membership;
}

bool MembershipRunner::isStale() const
{
    return !this->state->membership || this->state->membership->isStale(this->state->clock.now());
}

}
