#include "configuration/ConfigurationPublisher.h"

#include <limits>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "configuration/Checkpoint.h"

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

constexpr std::size_t PageRecords = 1000;
// Higher than any offset of the log. A read from here returns only the bounds of the log.
constexpr std::uint64_t OffsetBeyondEnd = std::numeric_limits<std::int64_t>::max();

bool tryRestore(ConfigurationState& state, std::string_view snapshot)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> { return state.restore(snapshot); }, [] { return false; });
}

asio::awaitable<void> sleepFor(Duration delay)
{
    asio::steady_timer timer { co_await asio::this_coro::executor, delay };
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}

ConfigurationPublisher::ConfigurationPublisher(PlatformLog& log, const Clock& clock, PublicationSettings settings)
    : log(log)
    , clock(clock)
    , settings(settings)
{
}

asio::awaitable<PlatformResult<void>> ConfigurationPublisher::readToEnd(ConfigurationState& state)
{
    while (true) {
        auto page = co_await this->log.read(state.nextOffset(), PageRecords, Duration::zero());
        if (!page && page.error() == PlatformError::Trimmed) {
            auto restored = co_await this->restoreCheckpoint(state);
            if (!restored)
                co_return restored.error();
            continue;
        }
        if (!page)
            co_return page.error();
        for (const auto& record : page.value().records)
            state.apply(record.offset, record.data);
        if (state.nextOffset() >= page.value().next)
            co_return boost::outcome_v2::success();
    }
}

asio::awaitable<PlatformResult<void>> ConfigurationPublisher::restoreCheckpoint(ConfigurationState& state)
{
    auto bounds = co_await this->log.read(OffsetBeyondEnd, 1, Duration::zero());
    if (!bounds)
        co_return bounds.error();
    CheckpointAssembler assembler;
    for (auto nextOffset = bounds.value().firstKept; nextOffset < bounds.value().next;) {
        auto page = co_await this->log.read(nextOffset, PageRecords, Duration::zero());
        if (!page)
            co_return page.error();
        for (const auto& record : page.value().records) {
            nextOffset = record.offset + 1;
            const auto checkpoint = assembler.add(record.data);
            const auto isUsable = checkpoint && checkpoint->asOf >= page.value().firstKept;
            if (isUsable && tryRestore(state, checkpoint->snapshot))
                co_return boost::outcome_v2::success();
        }
        if (page.value().records.empty())
            break;
    }
    co_return PlatformError::Trimmed;
}

asio::awaitable<PublicationResult> ConfigurationPublisher::publish(
    ConfigurationState& state, ConfigurationChange change)
{
    ChangePublication publication { state, change, this->settings, this->clock.now() };
    auto step = publication.start(this->clock.now());
    while (!std::holds_alternative<PublicationResult>(step))
        step = co_await this->execute(publication, std::move(step));
    co_return std::get<PublicationResult>(std::move(step));
}

asio::awaitable<PublicationStep> ConfigurationPublisher::execute(ChangePublication& publication, PublicationStep step)
{
    if (auto* append = std::get_if<AppendStep>(&step)) {
        auto result = co_await this->log.append(std::move(append->record));
        co_return publication.appendCompleted(result, this->clock.now());
    }
    if (const auto* read = std::get_if<ReadStep>(&step)) {
        auto result = co_await this->log.read(read->offset, read->limit, read->wait);
        co_return publication.readCompleted(result, this->clock.now());
    }
    co_await sleepFor(std::get<WaitStep>(step).delay);
    co_return publication.waitCompleted(this->clock.now());
}

}
