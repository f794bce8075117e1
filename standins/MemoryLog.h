#pragma once

#include <deque>
#include <string>

#include <marigoldpaddle/PlatformLog.h>

namespace marigoldpaddle::standins {

// An in-memory log that responds immediately, with injectable faults.
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
        if (offset < this->firstOffset)
            co_return PlatformError::Trimmed;
        LogPage page { {}, this->firstOffset, this->next() };
        for (auto each = offset; each < this->next() && page.records.size() < limit; ++each)
            page.records.push_back({ each, this->records[each - this->firstOffset] });
        co_return page;
    }

    // Appends a record directly, unaffected by faults. Returns its offset.
    std::uint64_t add(std::string record)
    {
        this->records.push_back(std::move(record));
        return this->next() - 1;
    }

    // Returns the offset of the next append.
    std::uint64_t next() const
    {
        return this->firstOffset + this->records.size();
    }

    // Drops every record before `offset`.
    void trim(std::uint64_t offset)
    {
        for (; this->firstOffset < offset && !this->records.empty(); ++this->firstOffset)
            this->records.pop_front();
    }

    bool isDown { false }; // Appends and reads fail with Unreachable.
    int lostAppendAnswers { 0 }; // Number of appends that take effect but fail with NoAnswer.

private:
    std::deque<std::string> records;
    std::uint64_t firstOffset { 0 };
};

}
