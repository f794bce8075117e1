#pragma once

#include <deque>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include "standins/StandinProgram.h"

namespace marigoldpaddle::standins {

// What the platform can be made to do wrong, set by `POST /faults`.
struct PlatformFaults {
    bool isLogDown { false };
    bool isListDown { false };
    std::uint64_t logDelayMs { 0 };
    std::uint64_t dropAppendAnswers { 0 }; // So many appends take effect and get no answer.
    std::uint64_t listLagMs { 0 };
};

// Stands in for the platform's log service and instance list. Records are kept up to a number, in memory only.
class PlatformStandin final : public HttpHandler {
public:
    PlatformStandin(boost::asio::io_context& context, std::size_t keptRecords);

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse describeFault(HttpFault fault) override;

private:
    struct Stream {
        std::uint64_t first { 0 };
        std::deque<std::string> records;

        std::uint64_t next() const
        {
            return this->first + this->records.size();
        }
    };

    boost::asio::awaitable<void> handleStream(HttpExchange& exchange, const RequestPath& path);
    boost::asio::awaitable<void> append(HttpExchange& exchange, std::string name);
    boost::asio::awaitable<void> read(HttpExchange& exchange, const RequestPath& path);
    HttpResponse page(const Stream& stream, std::uint64_t from, std::uint64_t limit) const;
    HttpResponse changeListing(const HttpRequest& request, const RequestPath& path);
    HttpResponse listing() const;
    HttpResponse setFaults(std::string_view body);
    void publishListing();

    boost::asio::io_context& context;
    std::size_t keptRecords;
    std::map<std::string, Stream, std::less<>> streams;
    std::map<std::string, std::map<std::string, boost::json::object>, std::less<>>
        entries; // By "instances" or "targets".
    std::map<std::string, std::map<std::string, boost::json::object>, std::less<>> visibleEntries;
    boost::asio::steady_timer appended; // Cancelled by every append.
    PlatformFaults faults;
};

}
