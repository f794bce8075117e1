#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include "base/Http.h"

namespace marigoldpaddle::testing {

// One program of this repository, running as a process of its own with its settings in a file of the test's folder.
class Process {
public:
    // Starts `program` and waits until it has printed `ports` bound ports.
    Process(const std::string& folder, const std::string& name, const std::string& program, std::string settings,
        std::size_t ports);
    ~Process();

    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    std::string address(std::string_view port) const;
    void signal(int number) const;

    // Waits for the end of the process and returns its exit code, or -1 when a signal ended it.
    int wait();

private:
    std::map<std::string, std::uint16_t, std::less<>> boundPorts;
    int pid { -1 };
    int output { -1 };
};

// What came of one streamed or whole request.
struct CallerAnswer {
    unsigned status { 0 };
    std::string body;
    std::string text; // The tokens of a streamed answer, joined.
    bool isWhole { false }; // The final marker was seen.
    std::chrono::milliseconds took {};
};

// A whole system of processes on loopback: the platform, engines, an order service, and instances of the system.
class ProcessWorld {
public:
    ProcessWorld();
    ~ProcessWorld();

    void addEngine(const std::string& name, const std::string& extraSettings = {});
    void addService(const std::string& name);
    void addInstance(const std::string& name);
    void startDispatcher(const std::string& name);

    // Applies the samples' presets and puts one in force.
    void configure(const std::string& preset);

    // Waits until every gateway is ready to serve and every dispatcher knows every instance.
    void waitUntilReady();

    Process& process(const std::string& name);
    void remove(const std::string& name);

    // Changes a field of an entry in the store, e.g. list("keyed.servers", "engine-1", "state", "draining").
    void list(const std::string& topic, const std::string& name, const std::string& key, boost::json::value value);

    HttpResponse get(const std::string& process, std::string_view path);
    HttpResponse post(const std::string& process, std::string_view path, std::string body);

    // Sends a prompt and reads its streamed answer; `afterFirstToken` runs once the first token has arrived.
    CallerAnswer stream(const std::string& gateway, const std::string& prompt, std::uint64_t tokens,
        const std::function<void()>& afterFirstToken = {},
        std::chrono::milliseconds allowed = std::chrono::seconds { 20 });

    CallerAnswer order(const std::string& gateway, const std::string& key, const std::string& body,
        std::chrono::milliseconds allowed = std::chrono::seconds { 20 });

    std::uint64_t usedTokens(const std::string& engine);

    // Asks `holds` again and again until it is true or the time is over, and returns whether it was.
    bool eventually(std::chrono::milliseconds time, const std::function<bool()>& holds);

private:
    void put(const std::string& topic, const std::string& key, std::string value);

    std::string folder;
    std::map<std::string, std::unique_ptr<Process>> processes;
    std::map<std::string, boost::json::object> listings;
};

}
