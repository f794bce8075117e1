#pragma once

#include <cstdint>
#include <random>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "SoakChecks.h"

namespace marigoldpaddle::testing {

// A caller that sends one request after the other. It keeps its connection to a node for as long as the connection is
// open, also while the node stops, and takes a node that is ready for a new connection.
class SoakCaller {
public:
    SoakCaller(boost::asio::io_context& context, SoakCluster& cluster, SoakChecks& checks, std::uint64_t seed,
        std::size_t index);

    // Sends requests until `isStopping` becomes true.
    boost::asio::awaitable<void> run(const bool& isStopping);

private:
    SoakAttempt nextAttempt();
    HttpRequest requestOf(SoakAttempt& attempt);
    boost::asio::awaitable<void> send(SoakAttempt& attempt);
    boost::asio::awaitable<void> exchange(HttpRequest request, SoakAttempt& attempt);
    std::size_t chooseNode();
    std::uint64_t number(std::uint64_t first, std::uint64_t last);

    boost::asio::io_context& context;
    SoakCluster& cluster;
    SoakChecks& checks;
    std::mt19937_64 random;
    std::string name;
    HttpClient client;
    std::size_t node { 0 };
    bool needsNode { true }; // The connection is gone.
    std::uint64_t attempts { 0 };
};

}
