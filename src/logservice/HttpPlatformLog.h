#pragma once

#include <string>

#include <marigoldpaddle/PlatformLog.h>

#include "base/HttpClient.h"

namespace marigoldpaddle {

// Reaches one stream of the platform's log service over HTTP.
class HttpPlatformLog final : public PlatformLog {
public:
    // `client` must outlive the log. `timeout` bounds the answer to an append and to a read beyond its wait.
    HttpPlatformLog(HttpClient& client, std::string address, std::string stream, Duration timeout);

    boost::asio::awaitable<PlatformResult<std::uint64_t>> append(std::string record) override;
    boost::asio::awaitable<PlatformResult<LogPage>> read(
        std::uint64_t offset, std::size_t limit, Duration wait) override;

private:
    HttpClient& client;
    std::string address;
    std::string stream;
    Duration timeout;
};

// Reaches the platform's instance list over HTTP.
class HttpInstanceList final : public InstanceList {
public:
    HttpInstanceList(HttpClient& client, std::string address, Duration timeout);

    boost::asio::awaitable<PlatformResult<InstanceListing>> list() override;

private:
    HttpClient& client;
    std::string address;
    Duration timeout;
};

// Turns an error of the HTTP layer into the platform layer's.
PlatformError platformErrorFrom(HttpError error);

}
