#include "serving/ViewFollower.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

std::string_view streamName(KeyedStream stream)
{
    return stream == KeyedStream::Configuration ? "configuration" : "targets";
}

}

ViewFollower::ViewFollower(asio::io_context& context, const Clock& clock, PlatformStore& store,
    const RecordDecoder& decoder, ServingView& view, EventLog& log, MetricsRegistry& metrics,
    ViewFollowerSettings settings)
    : context(context)
    , clock(clock)
    , store(store)
    , decoder(decoder)
    , view(view)
    , log(log)
    , metrics(metrics)
    , settings(settings)
{
}

void ViewFollower::start(std::function<void()> configurationChanged)
{
    this->configurationChanged = std::move(configurationChanged);
    asio::co_spawn(this->context, this->followConfiguration(), asio::detached);
    asio::co_spawn(this->context, this->followTargets(), asio::detached);
}

void ViewFollower::setSettings(const ViewFollowerSettings& settings)
{
    this->settings = settings;
}

const std::optional<KeyedRecord>& ViewFollower::configurationRecord() const
{
    return this->newestConfiguration;
}

asio::awaitable<void> ViewFollower::followConfiguration()
{
    std::optional<std::uint64_t> next;
    while (true) {
        auto page = co_await this->read(KeyedStream::Configuration, next, this->settings.configurationWait);
        this->recordCall(KeyedStream::Configuration, page ? std::nullopt : std::optional { page.error() });
        if (!page) {
            if (page.error() == PlatformError::Trimmed)
                next.reset();
            else
                co_await this->pause(this->settings.retryDelay);
            continue;
        }
        this->applyConfiguration(page.value());
        if (!next && page.value().records.empty())
            co_await this->pause(this->settings.retryDelay);
        next = page.value().next;
    }
}

asio::awaitable<void> ViewFollower::followTargets()
{
    std::optional<std::uint64_t> next;
    while (true) {
        const bool isWhole = !next;
        auto page = co_await this->read(KeyedStream::Targets, next, Duration::zero());
        this->recordCall(KeyedStream::Targets, page ? std::nullopt : std::optional { page.error() });
        if (page) {
            this->applyTargets(page.value().records, isWhole, this->clock.now());
            next = page.value().next;
        } else if (page.error() == PlatformError::Trimmed) {
            next.reset();
            continue;
        }
        co_await this->pause(page ? this->settings.targetsPeriod : this->settings.retryDelay);
    }
}

asio::awaitable<PlatformResult<KeyedPage>> ViewFollower::read(
    KeyedStream stream, std::optional<std::uint64_t> next, Duration wait)
{
    if (next)
        return this->store.changes(stream, *next, wait);
    return this->store.newest(stream);
}

asio::awaitable<void> ViewFollower::pause(Duration duration)
{
    asio::steady_timer timer { this->context, duration };
    co_await timer.async_wait(asio::use_awaitable);
}

void ViewFollower::applyConfiguration(const KeyedPage& page)
{
    // Only the newest of several versions is decoded.
    const auto hasValue = [&](const KeyedRecord& record) {
        return record.value.has_value();
    };
    const auto newest = std::ranges::find_if(page.records.rbegin(), page.records.rend(), hasValue);
    if (newest != page.records.rend())
        this->installConfiguration(*newest, "platform");
}

void ViewFollower::installConfiguration(const KeyedRecord& record, std::string_view source)
{
    std::string problem;
    auto configuration = this->decoder.configuration(record, problem);
    if (!configuration) {
        this->log.write(
            "configuration_rejected", { { "source", source }, { "key", record.key }, { "problem", problem } });
        this->metrics.counter("marigold_configurations_rejected_total").increment();
        return;
    }
    const auto version = configuration->version;
    const auto previous = this->view.version();
    const auto routes = static_cast<std::uint64_t>(configuration->routes.size());
    if (!this->view.install(std::move(*configuration)))
        return;
    this->newestConfiguration = record;
    this->log.write("configuration_installed",
        { { "source", source }, { "version", version }, { "previous", previous }, { "routes", routes } });
    if (this->configurationChanged)
        this->configurationChanged();
}

const std::map<std::string, std::string, std::less<>>& ViewFollower::targetRecords() const
{
    return this->records;
}

void ViewFollower::installTargets(const std::vector<KeyedRecord>& records, Duration age, std::string_view source)
{
    const auto now = this->clock.now();
    if (const auto own = this->view.targets.age(now); own && *own <= age)
        return;
    this->log.write("targets_from_peer",
        { { "source", source }, { "targets", static_cast<std::uint64_t>(records.size()) }, { "age_ms", age } });
    this->applyTargets(records, true, now - age);
}

void ViewFollower::storeRecord(const KeyedRecord& record)
{
    if (record.value)
        this->records.insert_or_assign(record.key, *record.value);
    else
        this->records.erase(record.key);
}

// Applies the newest record of each key. A complete list also removes the targets that are not in it.
void ViewFollower::applyTargets(const std::vector<KeyedRecord>& records, bool isWhole, TimePoint readAt)
{
    if (isWhole)
        this->records.clear();
    std::map<std::string_view, const KeyedRecord*> newest;
    for (const auto& record : records) {
        newest[record.key] = &record;
        this->storeRecord(record);
    }
    std::vector<TargetEntry> entries;
    for (const auto& [key, record] : newest) {
        if (!record->value) {
            if (this->view.targets.remove(key, readAt))
                this->log.write("target_removed", { { "target", key } });
            continue;
        }
        std::string problem;
        if (auto entry = this->decoder.target(*record, problem))
            entries.push_back(std::move(*entry));
        else
            this->metrics.counter("marigold_target_entries_rejected_total").increment();
    }
    for (const auto& entry : entries) {
        if (this->view.targets.upsert(entry, readAt))
            this->log.write("target_changed",
                { { "target", entry.id }, { "service", entry.service }, { "address", entry.address },
                    { "leaving", entry.isLeaving }, { "born", entry.incarnation } });
    }
    if (isWhole)
        this->view.targets.replaceAll(entries, readAt);
    this->view.targets.recordRead(readAt);
}

void ViewFollower::recordCall(KeyedStream stream, std::optional<PlatformError> failure)
{
    const auto outcome = failure ? name(*failure) : std::string_view { "ok" };
    this->metrics
        .counter("marigold_platform_calls_total",
            "stream=\"" + std::string { streamName(stream) } + "\",outcome=\"" + std::string { outcome } + "\"")
        .increment();
    auto [position, isNew] = this->connected.try_emplace(stream, true);
    const bool isConnected = !failure || *failure == PlatformError::Trimmed;
    if (position->second == isConnected)
        return;
    position->second = isConnected;
    this->log.write(isConnected ? "platform_regained" : "platform_lost",
        { { "stream", streamName(stream) }, { "outcome", outcome } });
}

}
