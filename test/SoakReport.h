#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle::testing {

// The log of a run, in its folder, and the violations found.
class SoakReport {
public:
    SoakReport(const std::string& folder, std::uint64_t seed)
        : file(folder + "/soak.log")
        , seed(seed)
    {
    }

    // Not flushed: a write that waits for a busy disk would stall the callers and the proxies.
    void log(std::string_view line)
    {
        this->file << this->elapsedMs() << " ms " << line << '\n';
    }

    void flush()
    {
        this->file.flush();
    }

    void violate(std::string_view check, std::string_view detail)
    {
        ++this->count;
        this->log("VIOLATION " + std::string { check } + ": " + std::string { detail });
        std::cout << "VIOLATION seed=" << this->seed << " at=" << this->elapsedMs() << "ms check=" << check << ": "
                  << detail << std::endl;
    }

    std::uint64_t violations() const
    {
        return this->count;
    }

private:
    std::int64_t elapsedMs() const
    {
        return (std::chrono::steady_clock::now() - this->startedAt) / std::chrono::milliseconds { 1 };
    }

    std::ofstream file;
    std::uint64_t seed;
    std::uint64_t count { 0 };
    TimePoint startedAt { std::chrono::steady_clock::now() };
};

}
