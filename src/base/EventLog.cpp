#include "base/EventLog.h"

#include <algorithm>

#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace marigoldpaddle {

namespace {

bool needsQuotes(std::string_view text)
{
    return text.empty() || std::ranges::any_of(text, [](unsigned char character) {
        return character <= ' ' || character == '"' || character == '=' || character >= 0x7f;
    });
}

// Appends a field value, quoted if necessary. Bytes outside printable ASCII are replaced by '?', so that text from a
// caller cannot inject line breaks into the log.
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
    for (const unsigned char character : text) {
        if (character == '"' || character == '\\')
            line.push_back('\\');
        line.push_back(character < ' ' || character >= 0x7f ? '?' : static_cast<char>(character));
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
    explicit Sink(std::size_t maximumQueuedLines)
        : pool(std::make_shared<spdlog::details::thread_pool>(maximumQueuedLines, 1))
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
    , sink(std::make_unique<Sink>(settings.maximumQueuedLines))
{
}

EventLog::~EventLog() = default;

void EventLog::write(std::string_view event, std::initializer_list<LogField> fields)
{
    if (!this->sink || !this->isWithinRate())
        return;
    fmt::memory_buffer line;
    fmt::format_to(std::back_inserter(line), "instance={} event={}", this->settings.instance, event);
    for (const auto& field : fields) {
        fmt::format_to(std::back_inserter(line), " {}=", field.name);
        std::visit(ValueWriter { line }, field.value);
    }
    if (const auto dropped = this->dropped(); dropped > this->reportedDropped) {
        fmt::format_to(std::back_inserter(line), " dropped_lines={}", dropped - this->reportedDropped);
        this->reportedDropped = dropped;
    }
    this->sink->logger->info(std::string_view { line.data(), line.size() });
}

std::uint64_t EventLog::dropped() const
{
    return this->linesOverRate + (this->sink ? this->sink->pool->overrun_counter() : 0);
}

void EventLog::close()
{
    this->sink.reset();
}

bool EventLog::isWithinRate()
{
    const auto now = this->clock.now();
    if (now - this->rateWindowStart >= std::chrono::seconds { 1 }) {
        this->rateWindowStart = now;
        this->linesInWindow = 0;
    }
    if (this->linesInWindow >= this->settings.linesPerSecond) {
        ++this->linesOverRate;
        return false;
    }
    ++this->linesInWindow;
    return true;
}

}
