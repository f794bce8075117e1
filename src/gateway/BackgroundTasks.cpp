#include "gateway/BackgroundTasks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

namespace marigoldpaddle {

namespace asio = boost::asio;

BackgroundTasks::BackgroundTasks(asio::io_context& context)
    : context(context)
    , taskEnded(context, asio::steady_timer::time_point::max())
{
}

void BackgroundTasks::spawn(asio::awaitable<void> task)
{
    ++this->count;
    asio::co_spawn(this->context, this->run(std::move(task)), asio::detached);
}

asio::awaitable<void> BackgroundTasks::waitUntilIdle()
{
    boost::system::error_code ignored;
    while (this->count > 0)
        co_await this->taskEnded.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::size_t BackgroundTasks::runningCount() const
{
    return this->count;
}

asio::awaitable<void> BackgroundTasks::run(asio::awaitable<void> task)
{
    try {
        co_await std::move(task);
    } catch (const std::exception& failure) {
        LOG(ERROR) << "background task failed: " << failure.what();
    }
    --this->count;
    this->taskEnded.cancel();
}

}
