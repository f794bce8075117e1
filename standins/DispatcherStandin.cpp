#include "standins/DispatcherStandin.h"

#include <algorithm>
#include <ranges>

#include <marigoldpaddle/ConfigurationState.h>
#include <marigoldpaddle/Member.h>

#include "gateway/Digest.h"
#include "rpc/Conversions.h"
#include "standins/StandinProgram.h"

namespace marigoldpaddle::standins {

namespace asio = boost::asio;

namespace {

constexpr std::uint64_t ConfigurationRecordCount = 2;
constexpr std::int64_t GrantLifetimeMs = 2000;
constexpr std::chrono::milliseconds ViewAnswerDelay { 5 };

std::string makeConfiguration()
{
    ConfigurationState state;
    ConfigurationChange edit;
    edit.id = "1";
    edit.preset = "ordinary";
    edit.sections["limits"] = PresetSection { { "default_allowed_ms", "5000" }, { "maximum_allowed_ms", "600000" } };
    edit.sections["class short"] = PresetSection { { "maximum_tokens", "4000" } };
    edit.sections["model " + std::string { DispatcherStandin::Model }] = PresetSection { { "version", "1" } };
    edit.sections["service " + std::string { DispatcherStandin::Service }]
        = PresetSection { { "key_window_ms", "60000" } };
    edit.sections["workspace drivers"] = PresetSection { { "key_sha256", sha256Hex(DispatcherStandin::Key) } };
    state.apply(0, encodeChange(edit));
    ConfigurationChange use;
    use.id = "2";
    use.kind = ConfigurationChangeKind::Use;
    use.preset = "ordinary";
    use.basedOn = 1;
    state.apply(1, encodeChange(use));
    return state.snapshot();
}

}

DispatcherStandin::DispatcherStandin(asio::io_context& context)
    : server(context, *this)
    , address("127.0.0.1:" + std::to_string(this->server.listen("127.0.0.1:0")))
    , configurationSnapshot(makeConfiguration())
{
    this->claimAnswer.verdict = wire::ClaimVerdict::Won;
}

asio::awaitable<std::optional<wire::Payload>> DispatcherStandin::handle(
    wire::Payload request, std::shared_ptr<void>& /*untilWritten*/)
{
    wire::Payload answer;
    if (request.__isset.view) {
        co_await pause(ViewAnswerDelay);
        answer.__set_viewAnswer(this->makeView(request.view));
    } else if (request.__isset.acquire) {
        ++this->acquireCount;
        if (this->isSilent)
            co_return std::nullopt;
        answer.__set_acquireAnswer(this->handleAcquire(request.acquire));
    } else if (request.__isset.claim) {
        answer.__set_claimAnswer(this->claimAnswer);
    } else {
        this->recordMessage(request);
        wire::Acknowledgement acknowledgement;
        acknowledgement.accepted = true;
        answer.__set_acknowledgement(acknowledgement);
    }
    co_return answer;
}

std::size_t DispatcherStandin::openPlacements() const
{
    return this->grantedRequests.size();
}

wire::ViewAnswer DispatcherStandin::makeView(const wire::ViewRequest& request) const
{
    Member self;
    self.instance = { this->instance, 1 };
    self.availabilityZone = "a";
    self.dispatcherAddress = this->address;
    CellDigest digest;
    digest.cell = { "a", std::string { Model }, 0 };
    digest.liveTargets = static_cast<std::uint32_t>(this->engines.size());
    wire::ViewAnswer answer;
    answer.version = request.knownVersion + 1;
    answer.members.push_back(toWire(self));
    answer.cells.push_back(toWire(digest, self.instance));
    std::ranges::transform(this->services, std::back_inserter(answer.services), [](const Target& target) {
        wire::ServiceTargetRecord record;
        record.name = target.name;
        record.serviceName = Service;
        record.address = target.address;
        record.availabilityZone = "a";
        return record;
    });
    std::ranges::transform(
        this->leavingTargets, std::back_inserter(answer.leavingTargets), [](const std::string& target) {
            wire::TargetMark mark;
            mark.target = target;
            mark.leaving = true;
            return mark;
        });
    answer.configurationOffset = ConfigurationRecordCount;
    if (request.knownConfigurationOffset < static_cast<std::int64_t>(ConfigurationRecordCount))
        answer.__set_configurationSnapshot(this->configurationSnapshot);
    return answer;
}

wire::AcquireAnswer DispatcherStandin::handleAcquire(const wire::AcquireRequest& request)
{
    wire::AcquireAnswer answer;
    if (this->refusal) {
        answer.__set_refusal(*this->refusal);
        return answer;
    }
    this->excludedTargetsByAcquire.push_back(request.excludedTargets);
    wire::GrantRecord grant;
    grant.expiresInMs = GrantLifetimeMs;
    grant.parts = this->makeGrantParts(request);
    if (grant.parts.empty()) {
        wire::RefusalRecord noTarget;
        noTarget.reason = name(RefusalReason::NoTarget);
        noTarget.retryAfterMs = 1000;
        answer.__set_refusal(noTarget);
        return answer;
    }
    this->grantedRequests.insert(request.requestId);
    answer.__set_grant(grant);
    return answer;
}

std::vector<wire::GrantPartRecord> DispatcherStandin::makeGrantParts(const wire::AcquireRequest& request) const
{
    const auto isAllowed = [&](const Target& target) {
        return std::ranges::find(request.excludedTargets, target.name) == request.excludedTargets.end();
    };
    std::vector<wire::GrantPartRecord> parts;
    for (const auto& target : this->engines | std::views::filter(isAllowed)
            | std::views::take(static_cast<std::ptrdiff_t>(this->partsPerGrant))) {
        wire::GrantPartRecord part;
        part.target = target.name;
        part.address = target.address;
        part.tokens = request.promptTokens + request.maximumOutputTokens;
        parts.push_back(std::move(part));
    }
    return parts;
}

void DispatcherStandin::recordMessage(const wire::Payload& message)
{
    if (message.__isset.progress && (message.progress.finished || message.progress.withdrawn))
        this->grantedRequests.erase(message.progress.requestId);
    if (message.__isset.holdings)
        this->announcedHoldingCount = message.holdings.holdings.size();
    if (message.__isset.settle)
        this->settlements.push_back(message.settle);
}

}
