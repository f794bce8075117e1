#pragma once

#include <cstddef>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace marigoldpaddle {

// Tasks that outlive the request that started them, such as cancellations on targets, notices to cell owners and claim
// settlements. A graceful shutdown waits for them.
class BackgroundTasks {
public:
    explicit BackgroundTasks(boost::asio::io_context& context);

    // Starts a task. An exception that it throws is logged.
    void spawn(boost::asio::awaitable<void> task);

    // Returns once no task is running.
    boost::asio::awaitable<void> waitUntilIdle();

    std::size_t runningCount() const;

private:
    boost::asio::awaitable<void> run(boost::asio::awaitable<void> task);

    boost::asio::io_context& context;
    boost::asio::steady_timer taskEnded; // Cancelled whenever a task ends.
    std::size_t count { 0 };
};

}
