#include "serving/ConfigurationFetcher.h"

#include <algorithm>
#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "serving/PeerFormat.h"

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

// Limit of a fetch of one part.
constexpr Duration PartTimeout = std::chrono::milliseconds { 400 };
// The limit grows by itself with each fetch that fails, up to this many times: a link may be too weak for it.
constexpr unsigned MaximumTimeoutSteps = 3;
// Another peer is asked after this share of the limit.
constexpr int PatienceDivisor = 4;

}

struct ConfigurationFetcher::Fetch {
    Fetch(asio::io_context& context, std::uint64_t version)
        : version(version)
        , changed(context)
    {
    }

    const std::uint64_t version; // Of this instance at the beginning.
    FetchSources sources;
    Statistics statistics;
    asio::steady_timer changed; // Cancelled when a call has ended.
    bool isOver { false };
};

ConfigurationFetcher::ConfigurationFetcher(Parts parts)
    : parts(std::move(parts))
{
}

void ConfigurationFetcher::reset()
{
    this->download.reset();
}

void ConfigurationFetcher::install(const KeyedRecord& record, const std::string& source)
{
    const auto version = this->parts.view.version();
    this->parts.follower.installConfiguration(record, source);
    if (this->parts.view.version() != version)
        this->parts.onInstalled();
}

Duration ConfigurationFetcher::partTimeout() const
{
    return PartTimeout * (1 + std::min(this->failedFetches, MaximumTimeoutSteps));
}

asio::awaitable<void> ConfigurationFetcher::fetch(std::string source)
{
    const auto startedAt = this->parts.clock.now();
    const auto fetch = std::make_shared<Fetch>(this->parts.context, this->parts.view.version());
    try {
        co_await this->askSources(fetch, std::move(source));
    } catch (const std::exception& failure) {
        this->recordException(failure);
    }
    fetch->isOver = true;
    this->parts.exchange.endConfigurationFetch();
    const bool isInstalled = this->parts.view.version() > fetch->version;
    this->failedFetches = isInstalled ? 0 : this->failedFetches + 1;
    // Without progress no peer has what was begun.
    if (isInstalled || fetch->statistics.bytes == 0)
        this->download.reset();
    this->record(isInstalled ? "ok" : "failed", startedAt, fetch->statistics);
}

// Ends when the version is installed, or when no call is open and no further peer can be asked.
asio::awaitable<void> ConfigurationFetcher::askSources(std::shared_ptr<Fetch> fetch, std::string source)
{
    auto& sources = fetch->sources;
    std::optional<std::string> next { std::move(source) };
    while (this->parts.view.version() == fetch->version) {
        const auto now = this->parts.clock.now();
        const auto patience = this->partTimeout() / PatienceDivisor;
        const bool isDue = sources.nextAt() <= now;
        if (isDue && !next)
            next = sources.next(this->parts.exchange, fetch->version, now);
        if (isDue && next) {
            sources.begin(*next, now, patience);
            asio::co_spawn(this->parts.context, this->ask(fetch, *std::exchange(next, std::nullopt)), asio::detached);
            continue;
        }
        if (!sources.hasOpen())
            co_return;
        // A peer may have announced the version meanwhile.
        fetch->changed.expires_at(isDue ? now + patience : sources.nextAt());
        boost::system::error_code cancelled;
        co_await fetch->changed.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

asio::awaitable<void> ConfigurationFetcher::ask(std::shared_ptr<Fetch> fetch, std::string source)
{
    auto result = FetchSources::Result::Useless;
    try {
        result = co_await this->fetchPart(*fetch, source);
    } catch (const std::exception& failure) {
        this->recordException(failure);
    }
    if (result == FetchSources::Result::NoAnswer)
        ++fetch->statistics.failures;
    fetch->sources.end(source, result);
    fetch->changed.cancel();
}

asio::awaitable<FetchSources::Result> ConfigurationFetcher::fetchPart(Fetch& fetch, std::string source)
{
    const auto requested = this->download.nextRequest(this->parts.follower.configurations());
    wire::PlatformRecordsRequest request;
    request.knownConfigurationVersion = static_cast<std::int64_t>(fetch.version);
    request.__set_configurationPart(toWire(requested));
    wire::Payload payload;
    payload.__set_platformRecords(request);
    const auto answer = co_await this->parts.client.call(source, payload, this->partTimeout());
    if (answer && answer.value().__isset.platformRecordsAnswer)
        co_return this->addAnswer(fetch, answer.value().platformRecordsAnswer, requested.offset, source);
    this->parts.exchange.recordNoAnswer(source);
    if (!this->parts.isInUse(source))
        this->parts.client.disconnect(source);
    co_return FetchSources::Result::NoAnswer;
}

FetchSources::Result ConfigurationFetcher::addAnswer(
    Fetch& fetch, const wire::PlatformRecordsAnswer& answer, std::size_t requestedOffset, const std::string& source)
{
    using enum FetchSources::Result;
    // The parts of a later fetch may be of another configuration.
    if (fetch.isOver || this->parts.view.version() != fetch.version)
        return Late;
    const auto& own = this->parts.follower.configurations();
    const auto receivedBytes = this->download.receivedBytes();
    bool hasProgress = false;
    if (answer.__isset.configuration) { // Of a peer that does not know parts.
        this->install({ answer.configuration.key, answer.configuration.value }, source);
    } else if (answer.__isset.configurationPart) {
        const auto state = this->download.add(fromWire(answer.configurationPart), own);
        hasProgress
            = state == ConfigurationDownload::State::Incomplete && this->download.receivedBytes() > receivedBytes;
        if (state == ConfigurationDownload::State::Complete)
            this->install(this->download.take(), source);
        if (state == ConfigurationDownload::State::Invalid)
            this->parts.metrics.counter("marigold_configuration_downloads_invalid_total").increment();
    }
    if (!hasProgress && this->parts.view.version() == fetch.version)
        return requestedOffset == receivedBytes ? Useless : Late;
    ++fetch.statistics.parts;
    fetch.statistics.bytes += answer.configuration.value.size() + answer.configurationPart.data.size();
    return Progress;
}

void ConfigurationFetcher::recordException(const std::exception& failure)
{
    this->parts.log.write("configuration_fetch_failed", { { "problem", failure.what() } });
}

void ConfigurationFetcher::record(std::string_view outcome, TimePoint startedAt, const Statistics& statistics)
{
    this->parts.metrics.counter("marigold_configuration_fetches_total", "outcome=\"" + std::string { outcome } + "\"")
        .increment();
    this->parts.log.write("configuration_fetched",
        { { "outcome", outcome }, { "parts", statistics.parts }, { "bytes", statistics.bytes },
            { "failed_sources", statistics.failures }, { "took_ms", this->parts.clock.now() - startedAt },
            { "version", this->parts.view.version() }, { "newest_known", this->parts.view.newestKnownVersion() } });
}

}
