#pragma once

#include <deque>
#include <string>

#include <marigoldpaddle/PlatformLog.h>

namespace marigoldpaddle::standins {

// A log in memory that answers at once, with switches for what can go wrong.
class MemoryLog final : public PlatformLog {
public:
    boost::asio::awaitable<PlatformResult<std::uint64_t>> append(std::string record) override
    {
        if (this->isDown)
            co_return PlatformError::Unreachable;
        const auto offset = this->add(std::move(record));
        if (this->lostAppendAnswers == 0)
            co_return offset;
        --this->lostAppendAnswers;
        co_return PlatformError::NoAnswer;
    }

    boost::asio::awaitable<PlatformResult<LogPage>> read(std::uint64_t offset, std::size_t limit, Duration) override
    {
        if (this->isDown)
            co_return PlatformError::Unreachable;
        if (offset < this->first)
            co_return PlatformError::Trimmed;
        LogPage page { {}, this->first, this->next() };
        for (auto each = offset; each < this->next() && page.records.size() < limit; ++each)
            page.records.push_back({ each, this->records[each - this->first] });
        co_return page;
    }

    // Appends a record without a caller. Returns its offset.
    std::uint64_t add(std::string record)
    {
        this->records.push_back(std::move(record));
        return this->next() - 1;
    }

    std::uint64_t next() const
    {
        return this->first + this->records.size();
    }

    // Drops every record before `offset`.
    void trim(std::uint64_t offset)
    {
        for (; this->first < offset && !this->records.empty(); ++this->first)
            this->records.pop_front();
    }

    bool isDown { false };
    int lostAppendAnswers { 0 }; // So many appends take effect and get no answer.

private:
    std::deque<std::string> records;
    std::uint64_t first { 0 };
};

}
