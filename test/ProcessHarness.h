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

// A child process that runs one program of this repository, with a settings file and a log file in the test's folder.
class Process {
public:
    // Writes the settings file, starts `program` and waits until it has printed `ports` bound ports. Throws
    // std::runtime_error if it does not start.
    Process(const std::string& folder, const std::string& name, const std::string& program, std::string settings,
        std::size_t ports);

    // Writes the settings file and starts `program`, whose standard output is a log too long for a pipe that nobody
    // reads: it is appended to the log file. Returns at once. The settings must name portsFile(folder, name).
    Process(
        const std::string& folder, const std::string& name, const std::string& program, const std::string& settings);
    ~Process();

    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    static std::string portsFile(const std::string& folder, const std::string& name);

    // Whether the program has written its ports file. Reads the ports.
    bool hasStarted();

    std::string address(std::string_view port, const std::string& host = "127.0.0.1") const;
    void signal(int number) const;

    // Resident memory in bytes, now and at its peak so far, and the number of open descriptors. 0 once the process has
    // ended.
    std::size_t memory() const;
    std::size_t peakMemory() const;
    std::size_t openDescriptors() const;

    // Whether the process has ended; then wait() returns its exit code at once.
    bool hasEnded();

    // Waits for the process to end. Returns its exit code, or -1 if a signal ended it.
    int wait();

private:
    std::size_t statusBytes(std::string_view field) const;
    void start(const std::string& folder, const std::string& name, const std::string& program,
        const std::string& settings, int output);

    std::map<std::string, std::uint16_t, std::less<>> boundPorts;
    std::string portsPath;
    int pid { -1 };
    int output { -1 };
    std::optional<int> status; // Of the process that has ended, as waitpid() gives it.
};

// The response to a request, as its caller received it.
struct CallResult {
    unsigned status { 0 };
    std::string body;
    std::string text; // The concatenated tokens of a streamed response.
    bool isComplete { false }; // The stream ended with its final event, or the order was accepted with status 201.
    std::chrono::milliseconds elapsed {};
};

// A complete system of processes on loopback: the platform, engines, an order service, and instances of a gateway and a
// dispatcher each.
class ProcessHarness {
public:
    ProcessHarness();
    ~ProcessHarness();

    void addEngine(const std::string& name, const std::string& extraSettings = {});
    void addService(const std::string& name);
    void addInstance(const std::string& name);

    // Starts the dispatcher of an instance. A dispatcher that was started before is killed and gets the same addresses.
    void startDispatcher(const std::string& name);

    // Applies the presets in samples/presets and puts one of them in force.
    void configure(const std::string& preset);

    // Waits until /readyz of every gateway and dispatcher returns 200 and every gateway serves a prompt. Throws
    // std::runtime_error if one of these conditions is not met within 20 s.
    void waitUntilReady();

    Process& process(const std::string& name);
    void remove(const std::string& name);

    // Sets a field of an entry in a table of the platform, e.g. the state of engine-1 in keyed.servers.
    void setListingField(
        const std::string& topic, const std::string& name, const std::string& key, boost::json::value value);

    // Send a request to the HTTP port of a process. A failed call returns status 599 with the name of the error.
    HttpResponse get(const std::string& process, std::string_view path);
    HttpResponse post(const std::string& process, std::string_view path, std::string body);

    // Sends a prompt and reads its streamed response. `afterFirstToken` is called once, after the first token; throws
    // std::runtime_error if there is none.
    CallResult stream(const std::string& gateway, const std::string& prompt, std::uint64_t tokens,
        const std::function<void()>& afterFirstToken = {},
        std::chrono::milliseconds allowedTime = std::chrono::seconds { 20 });

    // Sends an order with an idempotency key.
    CallResult order(const std::string& gateway, const std::string& key, const std::string& body,
        std::chrono::milliseconds allowedTime = std::chrono::seconds { 20 });

    // Returns the memory in use on an engine, in tokens.
    std::uint64_t usedTokens(const std::string& engine);

    // Polls a condition until it is true or the time limit has passed. Returns whether it became true.
    bool waitUntil(std::chrono::milliseconds timeLimit, const std::function<bool()>& condition);

private:
    void putRecord(const std::string& topic, const std::string& key, std::string value);

    std::string folder;
    std::map<std::string, std::unique_ptr<Process>> processes;
    std::map<std::string, boost::json::object> listings;
};

}
