#include "SoakChecks.h"

#include <array>
#include <charconv>
#include <iostream>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "PlatformHarness.h"
#include "platform/Names.h"
#include "standins/StandinProgram.h"

namespace marigoldpaddle::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

// How long after a disruption its effects excuse an outcome.
constexpr Duration StableWindow = 3s;
// A request may cross the close of an idle connection. Then it was not read.
constexpr Duration CrossingBound = 250ms;
// A stream that is broken this near to its end in time was broken by its deadline.
constexpr double DeadlineShare = 0.1;
constexpr Duration DeadlineMargin = 50ms; // The node keeps some of the time for its response.
// Callers wait two seconds for the next event, so a shorter silence of an engine is no reason to break a stream.
constexpr Duration HarmlessSilence = 1900ms;
constexpr Duration TargetPollPeriod = 300ms;
constexpr Duration ProbePeriod = 150ms;
constexpr Duration ProbeTimeout = 1s;
constexpr double RecoveredShare = 0.25;

constexpr std::array OutcomeNames { "complete", "refused", "broken", "closed", "timed-out", "malformed",
    "not-connected", "gave-up" };
constexpr std::array RouteNames { "ask", "long", "once", "order", "stock" };

bool isStream(SoakRoute route)
{
    return route != SoakRoute::Order && route != SoakRoute::Stock;
}

bool mayRunOnce(SoakRoute route)
{
    return route == SoakRoute::UniqueStream || route == SoakRoute::Order;
}

// Statuses that promise that the request has not run and never will.
bool isPromise(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool isUnplanned(const Disturbance& disturbance)
{
    return !isPlannedWork(disturbance.fault.fault);
}

bool actsOnEngine(SoakFault fault)
{
    using enum SoakFault;
    return fault == KillEngine || fault == FreezeEngine || fault == SilentEngine || fault == DecliningEngine
        || fault == FailingEngine || fault == BrokenStream || fault == LateOrders || fault == SlowEngine
        || fault == EngineLink;
}

bool actsOnStore(SoakFault fault)
{
    using enum SoakFault;
    return fault == StoreDown || fault == StoreSilent || fault == StoreSlow || fault == FreezeStore;
}

// Whether the fault may break a stream that is under way.
bool mayBreakStream(const Disturbance& disturbance)
{
    const auto& fault = disturbance.fault;
    const auto isSilence = fault.fault == SoakFault::FreezeEngine
        || (fault.fault == SoakFault::EngineLink && fault.link != LinkFault::Reset);
    if (isSilence)
        return fault.length > HarmlessSilence;
    return isUnplanned(disturbance) && !actsOnStore(fault.fault) && fault.fault != SoakFault::StoreLink
        && fault.fault != SoakFault::LimitedEngine;
}

std::int64_t milliseconds(Duration duration)
{
    return duration / 1ms;
}

}

std::string SoakAttempt::description(TimePoint begin) const
{
    const auto start = this->id + " on node-" + std::to_string(this->node) + " route "
        + RouteNames.at(static_cast<std::size_t>(this->route)) + " sent at "
        + std::to_string(milliseconds(this->sentAt - begin)) + " ms, ";
    if (this->endedAt == TimePoint {})
        return start + "under way";
    return start + OutcomeNames.at(static_cast<std::size_t>(this->outcome)) + " with status "
        + std::to_string(this->status) + " after " + std::to_string(milliseconds(this->endedAt - this->sentAt)) + " of "
        + std::to_string(milliseconds(this->allowed)) + " ms, " + std::to_string(this->body.size()) + " bytes";
}

SoakChecks::SoakChecks(asio::io_context& context, SoakCluster& cluster, SoakReport& report)
    : context(context)
    , cluster(cluster)
    , report(report)
    , client(context.get_executor())
    , begin(std::chrono::steady_clock::now())
{
}

void SoakChecks::attemptStarted(const SoakAttempt& attempt)
{
    this->attempts[attempt.id].attempt = attempt;
}

void SoakChecks::attemptEnded(const SoakAttempt& attempt)
{
    this->cluster.ledger.noteAlive(std::chrono::steady_clock::now());
    this->report.log("request " + attempt.description(this->begin));
    ++this->outcomes[attempt.outcome];
    this->checkTime(attempt);
    this->checkAnswer(attempt);
    auto& known = this->attempts[attempt.id];
    known.attempt = attempt;
    known.attempt.body.clear();
    known.hasEnded = true;
    this->checkRuns(known);
}

void SoakChecks::violate(std::string_view check, const SoakAttempt& attempt, std::string_view detail)
{
    this->report.violate(check, std::string { detail } + ": " + attempt.description(this->begin));
}

bool SoakChecks::wasNodeDown(std::size_t node, TimePoint from, TimePoint until) const
{
    return this->cluster.ledger.overlaps(from, until, [&](const Disturbance& each) {
        using enum SoakFault;
        const auto fault = each.fault.fault;
        return fault == Stall || (each.fault.subject == node && (fault == KillNode || fault == FreezeNode));
    });
}

void SoakChecks::checkTime(const SoakAttempt& attempt)
{
    if (attempt.outcome == SoakOutcome::GaveUp || attempt.outcome == SoakOutcome::NotConnected
        || this->wasNodeDown(attempt.node, attempt.sentAt, attempt.endedAt))
        return;
    const auto late = attempt.endedAt - attempt.sentAt - attempt.allowed;
    this->latest = std::max(this->latest, late);
    if (attempt.outcome == SoakOutcome::TimedOut || late > TimeMargin)
        this->violate("time", attempt, "the request did not end within its time");
}

void SoakChecks::checkAnswer(const SoakAttempt& attempt)
{
    const auto isNodeDown = this->wasNodeDown(attempt.node, attempt.sentAt, attempt.endedAt);
    if (attempt.outcome == SoakOutcome::Malformed && !isNodeDown)
        this->violate("whole", attempt, "the answer is no HTTP");
    if (attempt.outcome == SoakOutcome::Closed && !isNodeDown && attempt.endedAt - attempt.sentAt > CrossingBound)
        this->violate("answer", attempt, "the connection ended without an answer");
    if (attempt.outcome == SoakOutcome::Broken)
        this->checkBroken(attempt);
    const auto isSuccess = attempt.status / 100 == 2;
    if (isSuccess && !attempt.isSealed)
        this->violate("whole", attempt, "the success lacks the seal of its server or the id of its attempt");
    const auto isOwnFailure = attempt.status > 0 && !isSuccess && !isPromise(attempt.status);
    if (isOwnFailure && attempt.status != 502 && attempt.status != 504 && !attempt.isSealed)
        this->violate("denied", attempt, "a proper request was denied");
    if (isSuccess && isStream(attempt.route))
        this->checkStream(attempt);
    else if (attempt.outcome == SoakOutcome::Complete && attempt.route == SoakRoute::Order
        && standins::parseObject(attempt.body)["state"] != "booked")
        this->violate("whole", attempt, "the answer is not the whole answer of the server: " + attempt.body);
}

void SoakChecks::checkStream(const SoakAttempt& attempt)
{
    PlatformAnswer answer;
    answer.body = attempt.body;
    const auto ids = answer.eventIds();
    for (std::uint64_t i = 0; i < ids.size(); ++i) {
        if (ids[i] != i + 1)
            return this->violate(
                "events", attempt, "event " + std::to_string(ids[i]) + " at position " + std::to_string(i + 1));
    }
    if (attempt.outcome != SoakOutcome::Complete)
        return;
    if (ids.size() != attempt.expectedEvents || !attempt.body.ends_with("\n\n"))
        this->violate("whole", attempt,
            std::to_string(ids.size()) + " of " + std::to_string(attempt.expectedEvents) + " events look complete");
}

void SoakChecks::checkBroken(const SoakAttempt& attempt)
{
    const std::chrono::duration<double> left = attempt.sentAt + attempt.allowed - attempt.endedAt;
    const auto isAtDeadline = left < std::max<decltype(left)>(DeadlineShare * attempt.allowed, DeadlineMargin);
    const auto isExcused
        = this->cluster.ledger.overlaps(attempt.sentAt - StableWindow, attempt.endedAt, mayBreakStream);
    // The grace period of a stop may end an answer that takes longer.
    const auto isAtEndOfGrace
        = this->cluster.ledger.overlaps(attempt.sentAt, attempt.endedAt, [&](const Disturbance& each) {
              return each.fault.fault == SoakFault::StopNode && each.fault.subject == attempt.node
                  && attempt.endedAt >= each.begin + SoakCluster::Grace * 5 / 6;
          });
    if (isAtDeadline || isExcused || isAtEndOfGrace)
        return;
    const auto isCalm = !this->cluster.ledger.overlaps(attempt.sentAt - StableWindow, attempt.endedAt, isUnplanned);
    this->violate(isCalm ? "cut" : "silence", attempt,
        isCalm ? "the answer was cut off without a fault or under planned work only"
               : "the answer was cut off although engines were silent for a short time only, or the store failed");
}

// Counts are cumulative, so that a run that comes after the answer is found as well.
void SoakChecks::checkRuns(Known& known)
{
    std::uint64_t runs = 0;
    for (const auto& [target, count] : known.runs)
        runs += count;
    if (known.isReported || runs == 0 || !mayRunOnce(known.attempt.route))
        return;
    const auto detail = std::to_string(runs) + " runs";
    known.isReported = true;
    if (runs > 1)
        this->violate("once", known.attempt, detail);
    else if (known.hasEnded && known.attempt.outcome == SoakOutcome::Refused && isPromise(known.attempt.status))
        this->violate("promise", known.attempt, detail + " in spite of the refusal");
    else if (known.hasEnded && known.attempt.outcome == SoakOutcome::Closed
        && !this->wasNodeDown(known.attempt.node, known.attempt.sentAt, known.attempt.endedAt))
        this->violate("answer", known.attempt, detail + ", and the connection ended without an answer");
    else
        known.isReported = false;
}

asio::awaitable<void> SoakChecks::watchTarget(SoakCluster::Target& target)
{
    asio::steady_timer timer { this->context };
    while (true) {
        co_await this->readCounts(target);
        if (target.service == "model")
            co_await this->readReport(target);
        timer.expires_after(TargetPollPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> SoakChecks::readCounts(SoakCluster::Target& target)
{
    const auto isEngine = target.service == "model";
    const auto incarnation = target.incarnation;
    const auto counts = co_await this->cluster.query(target, isEngine ? "/standin/counts" : "/counts");
    if (!counts || incarnation != target.incarnation)
        co_return;
    for (const auto& [id, runs] : counts->at(isEngine ? "runs" : "by_request").as_object())
        this->recordRun(target, id, json::value_to<std::uint64_t>(runs));
}

void SoakChecks::recordRun(SoakCluster::Target& target, const std::string& id, std::uint64_t runs)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end())
        return this->report.violate("unasked", target.name + " ran " + id + ", which no caller sent");
    auto& known = found->second;
    auto& count = known.runs[target.name + "/" + std::to_string(target.incarnation)];
    if (count == runs)
        return;
    count = runs;
    this->checkRuns(known);
    const auto& attempt = known.attempt;
    const auto isStoreFailing = this->cluster.ledger.overlaps(target.drainedAt - StableWindow, attempt.sentAt,
        [](const Disturbance& each) { return actsOnStore(each.fault.fault); });
    if (target.drainedAt != TimePoint::max() && !isStoreFailing && attempt.sentAt > this->inTouchSince(attempt.node)
        && attempt.sentAt > target.drainedAt + SoakCluster::DrainBound + Margin)
        this->violate("drain", attempt, "sent to " + target.name + ", which is draining");
}

// Memory that is set aside and not used.
asio::awaitable<void> SoakChecks::readReport(SoakCluster::Target& target)
{
    const auto incarnation = target.incarnation;
    const auto answer = co_await this->cluster.query(target, "/api/report");
    if (!answer || incarnation != target.incarnation)
        co_return;
    const auto now = std::chrono::steady_clock::now();
    this->cluster.ledger.noteAlive(now);
    const auto prefix = target.name + "/" + std::to_string(incarnation) + "/";
    for (const auto& ticket : answer->at("tickets").as_array()) {
        auto [entry, isNew]
            = this->held.try_emplace(prefix + json::value_to<std::string>(ticket.at("id")), HeldMemory { now, now });
        this->tickets += isNew ? 1 : 0;
        entry->second.seenAt = now;
        const auto since = entry->second.since;
        const auto isExcused = this->cluster.ledger.overlaps(since - StableWindow, now, [&](const Disturbance& each) {
            return each.fault.fault == SoakFault::Stall
                || (actsOnEngine(each.fault.fault) && &this->cluster.engines[each.fault.subject] == &target);
        });
        if (isExcused || ticket.at("state") != "held")
            entry->second.since = now;
        else if (now - since > SoakCluster::MemoryFreeBound + Margin && !std::exchange(entry->second.isReported, true))
            this->report.violate("memory",
                entry->first + " is set aside and unused for " + std::to_string(milliseconds(now - since)) + " ms");
    }
    std::erase_if(
        this->held, [&](const auto& each) { return each.first.starts_with(prefix) && each.second.seenAt != now; });
}

// A node is in touch some seconds after it started, and after the last disruption of the node, its link to the store
// and the store.
TimePoint SoakChecks::inTouchSince(std::size_t node) const
{
    const auto last = this->cluster.ledger.lastEnd([&](const Disturbance& each) {
        using enum SoakFault;
        const auto fault = each.fault.fault;
        const auto isOfNode = fault == KillNode || fault == FreezeNode || fault == StoreLink || fault == StopNode;
        return fault == Stall || actsOnStore(fault) || (isOfNode && each.fault.subject == node);
    });
    return last == TimePoint::max() ? last : std::max(last, this->cluster.nodes[node].startedAt) + StableWindow;
}

// Asks for the route that only the newest version has, and for the one that it removed.
asio::awaitable<void> SoakChecks::watchConfiguration(std::size_t node)
{
    asio::steady_timer timer { this->context };
    for (std::uint64_t i = 0;; ++i) {
        timer.expires_after(ProbePeriod);
        co_await timer.async_wait(asio::use_awaitable);
        const auto& target = this->cluster.nodes[node];
        const auto& versions = this->cluster.versions;
        const auto known = versions.size();
        const auto isNewest = i % 2 == 0 || known < 2;
        const auto version = versions[known - (isNewest ? 1 : 2)].version;
        const auto incarnation = target.incarnation;
        const auto sentAt = std::chrono::steady_clock::now();
        auto request = makeRequest(http::verb::get, "/mark-" + std::to_string(version) + "/probe", {});
        request.set(http::field::host, SoakCluster::Host);
        request.set(http::field::authorization, SoakCluster::Authorization);
        request.set(platform::AttemptIdHeader, "probe-" + std::to_string(node) + "-" + std::to_string(i));
        request.set(platform::RemainingHeader, "800");
        auto address = target.process->address("callers", target.host);
        auto answer = co_await this->client.call(std::move(address), std::move(request), ProbeTimeout);
        if (answer && known == versions.size() && incarnation == target.incarnation)
            this->judgeProbe(node, incarnation, version, isNewest, answer.value().result_int(), sentAt);
    }
}

// A node that knows no configuration answers 503 to everything, so 503 tells nothing.
void SoakChecks::judgeProbe(
    std::size_t node, unsigned incarnation, std::uint64_t version, bool isNewest, unsigned status, TimePoint sentAt)
{
    if (status == 503)
        return;
    ++this->probes;
    this->cluster.ledger.noteAlive(std::chrono::steady_clock::now());
    const auto isServed = status != 404;
    const auto detail = "node-" + std::to_string(node) + " answers " + std::to_string(status)
        + " on the route of version " + std::to_string(version) + (isNewest ? ", the newest" : ", which is gone");
    auto& seen = this->newestSeen[{ node, incarnation }];
    if (isNewest && isServed)
        seen = std::max(seen, version);
    else if (isNewest && seen >= version)
        this->report.violate("revert", detail + ", which it had in force");
    const auto boundEnd = this->cluster.versions.back().at + SoakCluster::ConfigurationBound + Margin;
    if (isServed != isNewest && sentAt > std::max(boundEnd, this->inTouchSince(node)))
        this->report.violate("configuration", detail);
}

asio::awaitable<void> SoakChecks::checkCounts()
{
    for (auto* targets : { &this->cluster.engines, &this->cluster.services }) {
        for (auto& target : *targets)
            co_await this->readCounts(target);
    }
}

asio::awaitable<void> SoakChecks::checkMemoryIsFree()
{
    for (auto& engine : this->cluster.engines) {
        const auto counts = co_await this->cluster.query(engine, "/standin/counts");
        const auto used = counts ? json::value_to<std::int64_t>(counts->at("memory")) : -1;
        if (used != 0)
            this->report.violate(
                "memory", engine.name + " has " + std::to_string(used) + " tokens in use after the last request");
    }
}

void SoakChecks::checkRecovery(TimePoint since)
{
    double asked = 0;
    double complete = 0;
    for (const auto& [id, known] : this->attempts) {
        if (!known.hasEnded || known.attempt.sentAt < since || known.attempt.outcome == SoakOutcome::GaveUp)
            continue;
        ++asked;
        complete += known.attempt.outcome == SoakOutcome::Complete ? 1 : 0;
    }
    this->served = asked > 0 ? complete / asked : 0;
    if (this->served < RecoveredShare)
        this->report.violate("recovery",
            std::to_string(complete) + " of " + std::to_string(asked) + " requests served after the last fault");
}

void SoakChecks::printSummary() const
{
    std::cout << this->attempts.size() << " requests:";
    for (const auto& [outcome, count] : this->outcomes)
        std::cout << ' ' << OutcomeNames.at(static_cast<std::size_t>(outcome)) << ' ' << count;
    std::cout << "; at most " << milliseconds(this->latest)
              << " ms beyond the allowed time; served after the last fault " << this->served << "; " << this->tickets
              << " reservations, " << this->probes << " probes, " << this->cluster.versions.size()
              << " configurations; stalled for " << milliseconds(this->cluster.ledger.stalledTime()) << " ms\n";
}

}
