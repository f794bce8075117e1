#pragma once

#include <deque>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <marigoldpaddle/PlatformLog.h>

#include "standins/StandinProgram.h"

namespace marigoldpaddle::standins {

// What the store can be made to do wrong, set by `POST /standin/faults`.
struct StoreFaults {
    bool isLogDown { false }; // Appends and reads fail.
    bool areTablesDown { false }; // Questions for the newest records fail.
    bool isSilent { false }; // Failing calls get no answer in place of 503.
    std::uint64_t delayMs { 0 };
    std::uint64_t dropAppendAnswers { 0 }; // So many appends take effect and get no answer.
};

// Stands in for the platform's store: the part of its interface that the project uses. Topics have one partition, and
// records are kept up to a number, in memory only. What the operator and targets write comes as
// `PUT /standin/records?topic=T&key=K` with the value as the body, or DELETE.
class StoreStandin final : public HttpHandler {
public:
    StoreStandin(boost::asio::io_context& context, std::size_t keptRecords);

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse describeFault(HttpFault fault) override;

    // Writes a record of a keyed topic; an empty value removes the key.
    void put(const std::string& topic, const std::string& key, const std::string& value);

    // Write the entries of an instance of the system and of an engine, as the real writers do.
    void registerInstance(const InstanceDescription& instance);
    void registerEngine(const TargetDescription& engine);

    // Bytes of all answers so far that gave the newest records of a topic.
    std::size_t bytesListed() const;

    // Drops the records before `offset`. The newest record of each key stays.
    void trim(const std::string& topic, std::uint64_t offset);

    StoreFaults faults;

private:
    struct Newest {
        std::string value;
        std::uint64_t offset { 0 };
    };

    struct Topic {
        std::uint64_t first { 0 };
        std::deque<std::string> records;
        std::map<std::string, Newest, std::less<>> newest; // In keyed topics.

        std::uint64_t end() const
        {
            return this->first + this->records.size();
        }
    };

    boost::asio::awaitable<void> handleLog(HttpExchange& exchange, const RequestPath& path);
    boost::asio::awaitable<void> append(HttpExchange& exchange, std::string name);
    boost::asio::awaitable<void> read(HttpExchange& exchange, const RequestPath& path);
    HttpResponse page(const Topic& topic, std::uint64_t from) const;
    HttpResponse newest(const RequestPath& path) const;
    HttpResponse write(const HttpRequest& request, const RequestPath& path);
    HttpResponse setFaults(std::string_view body);
    void add(const std::string& name, std::string content);

    boost::asio::io_context& context;
    std::size_t keptRecords;
    std::size_t listedBytes { 0 };
    std::map<std::string, Topic, std::less<>> topics;
    boost::asio::steady_timer appended; // Cancelled by every append.
};

}
