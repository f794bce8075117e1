#include "base/EventLog.h"

#include <algorithm>

#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace marigoldpaddle {

namespace {

bool needsQuotes(std::string_view text)
{
    return text.empty() || std::ranges::any_of(text, [](unsigned char letter) {
        return letter <= ' ' || letter == '"' || letter == '=' || letter >= 0x7f;
    });
}

// Other bytes than printable ASCII become '?', so that a line stays a line whatever a caller sent.
void appendText(fmt::memory_buffer& line, std::string_view text)
{
    const auto append = [&](std::string_view piece) {
        line.append(piece.data(), piece.data() + piece.size());
    };
    if (!needsQuotes(text)) {
        append(text);
        return;
    }
    append("\"");
    for (const unsigned char letter : text) {
        if (letter == '"' || letter == '\\')
            line.push_back('\\');
        line.push_back(letter < ' ' || letter >= 0x7f ? '?' : static_cast<char>(letter));
    }
    append("\"");
}

struct ValueWriter {
    fmt::memory_buffer& line;

    void operator()(std::string_view text) const
    {
        appendText(this->line, text);
    }

    void operator()(bool isSet) const
    {
        appendText(this->line, isSet ? "true" : "false");
    }

    void operator()(Duration duration) const
    {
        fmt::format_to(
            std::back_inserter(this->line), "{:.1f}", std::chrono::duration<double, std::milli>(duration).count());
    }

    void operator()(double number) const
    {
        fmt::format_to(std::back_inserter(this->line), "{:.1f}", number);
    }

    template <typename Integer> void operator()(Integer number) const
    {
        fmt::format_to(std::back_inserter(this->line), "{}", number);
    }
};

}

struct EventLog::Sink {
    explicit Sink(std::size_t waitingLines)
        : pool(std::make_shared<spdlog::details::thread_pool>(waitingLines, 1))
        , logger(std::make_shared<spdlog::async_logger>("events", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
              this->pool, spdlog::async_overflow_policy::overrun_oldest))
    {
        this->logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %v");
        this->logger->flush_on(spdlog::level::info);
    }

    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::async_logger> logger;
};

EventLog::EventLog(const Clock& clock, const Settings& settings)
    : clock(clock)
    , settings(settings)
    , sink(std::make_unique<Sink>(settings.waitingLines))
{
}

EventLog::~EventLog() = default;

void EventLog::write(std::string_view event, std::initializer_list<LogField> fields)
{
    if (!this->sink || !this->fitsRate())
        return;
    fmt::memory_buffer line;
    fmt::format_to(std::back_inserter(line), "instance={} event={}", this->settings.instance, event);
    for (const auto& field : fields) {
        fmt::format_to(std::back_inserter(line), " {}=", field.name);
        std::visit(ValueWriter { line }, field.value);
    }
    if (const auto dropped = this->dropped(); dropped > this->reported) {
        fmt::format_to(std::back_inserter(line), " dropped_lines={}", dropped - this->reported);
        this->reported = dropped;
    }
    this->sink->logger->info(std::string_view { line.data(), line.size() });
}

std::uint64_t EventLog::dropped() const
{
    return this->overRate + (this->sink ? this->sink->pool->overrun_counter() : 0);
}

void EventLog::close()
{
    this->sink.reset();
}

bool EventLog::fitsRate()
{
    const auto now = this->clock.now();
    if (now - this->second >= std::chrono::seconds { 1 }) {
        this->second = now;
        this->linesThisSecond = 0;
    }
    if (this->linesThisSecond >= this->settings.linesPerSecond) {
        ++this->overRate;
        return false;
    }
    ++this->linesThisSecond;
    return true;
}

}
