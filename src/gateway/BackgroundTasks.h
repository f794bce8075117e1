#pragma once

#include <cstddef>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace marigoldpaddle {

// Work that outlives the request that began it: cancels at targets and notices to owners. A planned stop waits for it.
class BackgroundTasks {
public:
    explicit BackgroundTasks(boost::asio::io_context& context);

    // Runs a task; what it throws is logged.
    void spawn(boost::asio::awaitable<void> task);

    // Returns when no task is running.
    boost::asio::awaitable<void> wait();

    std::size_t running() const;

private:
    boost::asio::awaitable<void> run(boost::asio::awaitable<void> task);

    boost::asio::io_context& context;
    boost::asio::steady_timer idle; // Cancelled whenever a task ends.
    std::size_t count { 0 };
};

}
