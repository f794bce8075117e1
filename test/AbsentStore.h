#pragma once

#include "serving/PlatformStore.h"

namespace marigoldpaddle::testing {

// A store that cannot be reached.
class AbsentStore final : public PlatformStore {
public:
    boost::asio::awaitable<PlatformResult<KeyedPage>> newest(KeyedStream) override
    {
        co_return PlatformError::Unreachable;
    }

    boost::asio::awaitable<PlatformResult<KeyedPage>> newestPart(KeyedStream, std::string) override
    {
        co_return PlatformError::Unreachable;
    }

    boost::asio::awaitable<PlatformResult<KeyedPage>> changes(KeyedStream, std::uint64_t, Duration) override
    {
        co_return PlatformError::Unreachable;
    }
};

}
