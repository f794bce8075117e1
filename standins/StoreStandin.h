#pragma once

#include <deque>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <marigoldpaddle/PlatformLog.h>

#include "standins/StandinProgram.h"

namespace marigoldpaddle::standins {

// Injected faults, set by `POST /standin/faults`.
struct StoreFaults {
    bool isLogDown { false }; // Appends and reads of the log fail with 503.
    bool areNewestReadsDown { false }; // Requests for the newest records of a topic fail with 503.
    bool isSilent { false }; // Calls that would fail with 503 get no response instead.
    std::uint64_t delayMs { 0 }; // Delay before each call is processed.
    std::uint64_t dropAppendAnswers { 0 }; // Counter of appends that take effect but get no response.
};

// Stand-in for the platform's store, with the part of its interface that this project uses. Topics have one partition;
// the latest `keptRecords` records of each are kept, in memory only. Records of the operator and of targets are written
// by `PUT /standin/records?topic=T&key=K` with the value as the body, and removed by DELETE.
class StoreStandin final : public HttpHandler {
public:
    StoreStandin(boost::asio::io_context& context, std::size_t keptRecords);

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse makeFaultResponse(HttpFault fault) override;

    // Appends a record to a keyed topic; an empty value removes the key.
    void put(const std::string& topic, const std::string& key, const std::string& value);

    // Registers an instance of the system or an engine, in the format of the platform.
    void registerInstance(const InstanceDescription& instance);
    void registerEngine(const TargetDescription& engine);

    // Returns the total size in bytes of all responses to requests for the newest records of a topic.
    std::size_t newestResponseBytes() const;

    // Keeps a copy of all topics, and returns to it: what was written since is lost, its offsets are given out again,
    // and the era rises. Also `POST /standin/copy` and `POST /standin/restore`.
    void keepCopy();
    void restoreCopy();

    // Drops the records before `offset` from the log. The newest record of each key remains available.
    void trim(const std::string& topic, std::uint64_t offset);

    StoreFaults faults;

private:
    struct Newest {
        std::string value;
        std::uint64_t offset { 0 };
    };

    struct Topic {
        std::uint64_t firstOffset { 0 }; // Offset of the oldest record that is kept.
        std::uint64_t lostUntil { 0 }; // End of the offsets that were given out and lost by a restore.
        std::deque<std::string> records;
        std::map<std::string, Newest, std::less<>> newestByKey; // Keyed topics only.

        std::uint64_t endOffset() const
        {
            return this->firstOffset + this->records.size();
        }
    };

    boost::asio::awaitable<void> respond(HttpExchange& exchange, HttpResponse response) const;
    HttpResponse handleControl(const HttpRequest& request, std::string_view resource, const RequestPath& path);
    boost::asio::awaitable<void> handleLog(HttpExchange& exchange, const RequestPath& path);
    boost::asio::awaitable<void> handleAppend(HttpExchange& exchange, std::string name);
    boost::asio::awaitable<void> handleRead(HttpExchange& exchange, const RequestPath& path);
    HttpResponse page(const Topic& topic, std::uint64_t from, std::size_t maximumBytes) const;
    HttpResponse listNewest(const RequestPath& path) const;
    HttpResponse handleWrite(const HttpRequest& request, const RequestPath& path);
    HttpResponse setFaults(std::string_view body);
    void appendRecord(const std::string& name, std::string content);

    boost::asio::io_context& context;
    std::size_t keptRecords;
    std::size_t listedBytes { 0 };
    std::map<std::string, Topic, std::less<>> topics;
    std::map<std::string, Topic, std::less<>> copy;
    std::uint64_t era { 1 };
    boost::asio::steady_timer appendSignal; // Cancelled by every append to wake long polls.
};

}
