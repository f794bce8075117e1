#include <algorithm>
#include <ranges>
#include <utility>

#include "serving/ServingCall.h"

// Part of ServingGateway: requests under which targets end.
namespace marigoldpaddle {

namespace {

// Parts of a prompt that a log line names.
constexpr std::size_t MaximumLoggedParts = 16;

std::uint64_t incarnationHash(const TargetEntry& target)
{
    return LoadLedger::hashOf(target.id + '/' + std::to_string(target.incarnation));
}

}

// Whether targets end under the request or a part of its prompt. It is refused for as long as that is believed.
bool ServingGateway::isQuarantined(Call& call) const
{
    if (!this->parts.quarantine.isQuarantined(call.traits))
        return false;
    call.isQuarantined = true;
    call.retryAfter = std::max(DefaultRetryAfter, this->parts.quarantine.remaining(this->parts.clock.now()));
    return true;
}

// Records an attempt whose connection ended before the answer began: the target may have ended because of the request.
void ServingGateway::recordEndWithoutAnswer(Call& call, const TargetEntry& target, TimePoint sentAt)
{
    if (call.isAbandoned)
        return;
    auto& answers = this->parts.health.answers;
    const auto now = this->parts.clock.now();
    if (!call.hasResponseStarted)
        answers.recordEnd(target, call.fingerprint, call.traits, sentAt, now);
    this->recordCrash(call, target, sentAt);
    this->parts.log.write("ended_without_answer",
        { { "id", call.metadata.attemptId }, { "target", target.id }, { "born", target.incarnation },
            { "workspace", call.workspace.empty() ? "-" : std::string_view { call.workspace } },
            { "fingerprint", call.fingerprint }, { "ran_ms", now - sentAt },
            { "suspected_parts", std::uint64_t { this->parts.quarantine.size() } },
            { "is_mute", answers.isMute(target, now) },
            { "mute_targets", std::uint64_t { answers.muteTargets(now) } } });
}

// Records that a connection to the target brought an answer.
void ServingGateway::recordAnswering(const TargetEntry& target)
{
    auto& answers = this->parts.health.answers;
    const auto now = this->parts.clock.now();
    const bool wasMute = answers.isMute(target, now);
    const bool isNews = answers.recordAnswer(target, now);
    if (wasMute)
        this->parts.log.write("target_answers",
            { { "target", target.id }, { "born", target.incarnation },
                { "mute_targets", std::uint64_t { answers.muteTargets(now) } } });
    if (isNews && this->notifyCrash)
        this->notifyCrash();
}

// What the first attempt of the request loses if its target does not answer.
TargetAnswers::ProbeCost ServingGateway::probeCost(const Call& call) const
{
    return call.route->mayRunAgain() && call.route->maximumAttempts > 1 ? TargetAnswers::ProbeCost::Retry
                                                                        : TargetAnswers::ProbeCost::Request;
}

// Whether the request may be sent to a target that may not answer. One under which a target has ended may not: it would
// not be sent to a further one after this.
std::optional<TargetAnswers::ProbeCost> ServingGateway::allowedProbe(const Call& call)
{
    if (call.tries > 0 || call.allRuns() > 0 || call.hasResponseStarted || !this->parts.health.answers.hasSuspects()
        || this->parts.quarantine.hasEndedTarget(call.fingerprint))
        return std::nullopt;
    const auto cost = this->probeCost(call);
    const bool canRetry = this->parts.budget.remaining(call.service->name, this->parts.clock.now()) >= 1;
    return cost == TargetAnswers::ProbeCost::Request || canRetry ? std::optional { cost } : std::nullopt;
}

// Records that a target ended under the request, or under a part of its prompt, and tells peers.
void ServingGateway::recordCrash(const Call& call, const TargetEntry& target, TimePoint sentAt)
{
    const auto now = this->parts.clock.now();
    const TargetCrash crash { incarnationHash(target), LoadLedger::hashOf(call.metadata.attemptId), call.sharedParts,
        now, call.fingerprint, now - sentAt };
    const bool isNew = this->parts.quarantine.recordCrash(crash, now);
    const bool hasExcused = this->excuseTargets(now);
    if ((isNew || hasExcused) && this->notifyCrash)
        this->notifyCrash();
}

// Withdraws the ends of targets under requests that end targets. Returns whether there were any.
bool ServingGateway::excuseTargets(TimePoint now)
{
    const auto endsTargets = [&](const TargetAnswers::Traits& traits) {
        return this->parts.quarantine.isQuarantined(traits);
    };
    return this->parts.quarantine.size() > 0 && this->parts.health.answers.excuse(endsTargets, now);
}

// Records an answer that ended with its connection before it was whole: the target may have ended because of the
// prompt, at any event. A peer records the ends of its targets by itself.
void ServingGateway::recordCutAnswer(const Call& call, const Attempt& attempt)
{
    if (call.isAbandoned || attempt.choice.isRelay)
        return;
    const auto& target = attempt.choice.target;
    this->recordCrash(call, target, attempt.sentAt);
    std::string parts;
    for (const auto& part : call.metadata.sharedParts | std::views::take(MaximumLoggedParts))
        parts += (parts.empty() ? "" : ",") + part;
    this->parts.log.write(attempt.hasEvents ? "cut_after_events" : "cut_before_events",
        { { "id", call.metadata.attemptId }, { "target", target.id },
            { "workspace", call.workspace.empty() ? "-" : std::string_view { call.workspace } }, { "parts", parts },
            { "number_of_parts", std::uint64_t { call.metadata.sharedParts.size() } },
            { "fingerprint", call.fingerprint }, { "ran_ms", this->parts.clock.now() - attempt.sentAt },
            { "suspected_parts", std::uint64_t { this->parts.quarantine.size() } } });
}

// Records a whole answer, which shows that no part of its prompt ends targets. A peer records those of its targets by
// itself.
void ServingGateway::recordSound(const Call& call, const Attempt& attempt)
{
    if (!attempt.choice.isRelay)
        this->parts.quarantine.recordSound(call.traits, this->parts.clock.now());
}

// The ends of targets under the request that are known here, for the other instance on its way.
std::vector<RelayedEnd> ServingGateway::knownEnds(const Call& call) const
{
    const auto now = this->parts.clock.now();
    const auto crashes = this->parts.quarantine.crashesOf(call.fingerprint);
    std::vector<RelayedEnd> ends;
    for (const auto& crash : crashes | std::views::reverse | std::views::take(MaximumRelayedEnds))
        ends.push_back({ crash.target, crash.request, now - crash.at });
    return ends;
}

// Records ends of targets under the request that the other instance on its way knows, which tells all peers by itself.
void ServingGateway::learnEnds(const Call& call, std::span<const RelayedEnd> ends, std::string_view source)
{
    if (call.fingerprint == 0)
        return;
    const auto now = this->parts.clock.now();
    for (const auto& end : ends) {
        if (!this->parts.quarantine.recordCrash(
                { end.target, end.request, call.sharedParts, now - end.age, call.fingerprint }, now))
            continue;
        this->parts.log.write("crash_learned",
            { { "source", source }, { "id", call.metadata.attemptId },
                { "suspected_parts", std::uint64_t { this->parts.quarantine.size() } } });
    }
    this->excuseTargets(now);
}

// Targets that the request is better not sent to: those tried for it, and those that ended under it a moment ago, where
// another end would tell nothing.
std::set<std::string> ServingGateway::triedOrEnded(const Call& call, TimePoint now) const
{
    auto excluded = call.tried;
    const auto ended = this->parts.quarantine.targetsEndedBy(call.fingerprint, now);
    if (ended.empty())
        return excluded;
    for (const auto* target : this->parts.view.targets.available(call.service->name)) {
        if (ended.contains(incarnationHash(*target)))
            excluded.insert(target->id);
    }
    return excluded;
}

std::optional<TargetChoice> ServingGateway::chooseTarget(const Call& call, TimePoint now)
{
    const auto choose = [&](const std::set<std::string>& excluded) {
        return this->chooser.choose({ *call.route, *call.service, call.metadata.prompt, excluded, now - call.receivedAt,
                                        this->remaining(call), this->allowedProbe(call) },
            now);
    };
    const auto excluded = this->triedOrEnded(call, now);
    auto choice = choose(excluded);
    if (choice || excluded.size() == call.tried.size())
        return choice;
    return choose(call.tried);
}

}
