#include "ProcessHarness.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

#include "base/HttpClient.h"

extern char** environ;

namespace marigoldpaddle::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::chrono::seconds CallTimeout { 5 };
constexpr std::chrono::milliseconds PollPause { 20 };
constexpr std::string_view CallerAuthorization = "Bearer drivers-key";

// The platform's configuration entry with the memory size of the stand-in engines.
constexpr std::string_view PlatformConfiguration
    = R"({"version":1,"routes":[],"services":[{"name":"marigold-small","engine":{"slots":16,"kvCapacity":400000}}]})";

// Returns the folder of the test executable, which also contains the programs.
std::filesystem::path buildFolder()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

std::string readLine(int descriptor)
{
    std::string line;
    for (char next = 0; ::read(descriptor, &next, 1) == 1 && next != '\n';)
        line += next;
    return line;
}

template <typename Value> Value runToEnd(asio::awaitable<Value> operation, asio::io_context& context)
{
    auto done = asio::co_spawn(context, std::move(operation), asio::use_future);
    context.run();
    return done.get();
}

asio::awaitable<HttpResponse> callOnce(HttpClient& client, std::string address, HttpRequest request, Duration timeout)
{
    auto answer = co_await client.call(std::move(address), std::move(request), timeout, ConnectionReuse::Forbidden);
    co_return answer ? std::move(answer).value()
                     : makeResponse(599, "text/plain", std::string { name(answer.error()) });
}

HttpResponse callAndWait(const std::string& address, HttpRequest request, Duration timeout)
{
    asio::io_context context { 1 };
    HttpClient client { context.get_executor() };
    return runToEnd(callOnce(client, address, std::move(request), timeout), context);
}

void appendEvents(CallResult& answer, std::string& pending, const std::string& piece)
{
    pending += piece;
    for (auto end = pending.find("\n\n"); end != std::string::npos; end = pending.find("\n\n")) {
        const auto event = pending.substr(0, end);
        pending.erase(0, end + 2);
        answer.body += event + "\n";
        if (event == "data: [DONE]")
            answer.isComplete = true;
        if (answer.isComplete || !event.starts_with("data: {\"id\""))
            continue;
        const auto value = json::parse(event.substr(6));
        answer.text += json::value_to<std::string>(value.at("choices").at(0).at("text"));
    }
}

asio::awaitable<CallResult> readStream(
    HttpClient& client, std::string address, HttpRequest request, const std::function<void()>& afterFirstToken)
{
    constexpr std::chrono::seconds PieceTimeout { 30 };
    CallResult answer;
    auto call = co_await client.start(std::move(address), std::move(request), PieceTimeout, ConnectionReuse::Forbidden);
    if (!call)
        co_return answer;
    answer.status = call.value().header().result_int();
    std::string pending;
    auto didCallBack = false;
    while (true) {
        auto piece = co_await call.value().readSome(PieceTimeout);
        if (!piece || piece.value().empty())
            break;
        if (answer.status == 200)
            appendEvents(answer, pending, piece.value());
        else
            answer.body += piece.value();
        if (!didCallBack && !answer.text.empty() && afterFirstToken) {
            didCallBack = true;
            afterFirstToken();
        }
    }
    if (afterFirstToken && !didCallBack)
        throw std::runtime_error("the stream ended before its first token: " + answer.body);
    co_return answer;
}

std::chrono::milliseconds elapsedSince(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin);
}

}

Process::Process(const std::string& folder, const std::string& name, const std::string& program, std::string settings,
    std::size_t ports)
{
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0)
        throw std::runtime_error("cannot create a pipe");
    this->output = ends[0];
    this->start(folder, name, program, settings, ends[1]);
    while (this->boundPorts.size() < ports) {
        const auto line = readLine(this->output);
        const auto equals = line.find('=');
        if (equals == std::string::npos) {
            this->signal(SIGKILL);
            this->wait();
            ::close(this->output);
            throw std::runtime_error(name + " did not start; see " + folder + "/" + name + ".log");
        }
        this->boundPorts[line.substr(0, equals)] = static_cast<std::uint16_t>(std::stoi(line.substr(equals + 1)));
    }
}

Process::Process(
    const std::string& folder, const std::string& name, const std::string& program, const std::string& settings)
    : portsPath(portsFile(folder, name))
{
    std::filesystem::remove(this->portsPath);
    const auto log = folder + "/" + name + ".log";
    this->start(folder, name, program, settings, ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
}

// Takes ownership of `output`, which becomes the standard output of the program.
void Process::start(const std::string& folder, const std::string& name, const std::string& program,
    const std::string& settings, int output)
{
    const auto path = folder + "/" + name + ".ini";
    std::ofstream { path } << settings;
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    const auto log = folder + "/" + name + ".log";
    ::posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    auto executable = (buildFolder() / program).string();
    std::string option { "--config" };
    auto file = path;
    char* arguments[] { executable.data(), option.data(), file.data(), nullptr };
    const auto failure = ::posix_spawn(&this->pid, executable.c_str(), &actions, nullptr, arguments, environ);
    ::posix_spawn_file_actions_destroy(&actions);
    ::close(output);
    if (failure != 0) {
        this->pid = -1;
        throw std::runtime_error("cannot start " + executable);
    }
}

Process::~Process()
{
    if (this->pid > 0) {
        this->signal(SIGKILL);
        this->wait();
    }
    if (this->output >= 0)
        ::close(this->output);
}

std::string Process::portsFile(const std::string& folder, const std::string& name)
{
    return folder + "/" + name + ".ports";
}

// The program renames its complete ports file into place.
bool Process::hasStarted()
{
    std::ifstream file { this->portsPath };
    for (std::string line; std::getline(file, line);) {
        const auto equals = line.find('=');
        if (equals != std::string::npos)
            this->boundPorts[line.substr(0, equals)] = static_cast<std::uint16_t>(std::stoi(line.substr(equals + 1)));
    }
    return !this->boundPorts.empty();
}

std::string Process::address(std::string_view port, const std::string& host) const
{
    const auto found = this->boundPorts.find(port);
    return host + ":" + std::to_string(found == this->boundPorts.end() ? 0 : found->second);
}

void Process::signal(int number) const
{
    if (this->pid > 0)
        ::kill(this->pid, number);
}

std::size_t Process::memory() const
{
    return this->statusBytes("VmRSS:");
}

std::size_t Process::peakMemory() const
{
    return this->statusBytes("VmHWM:");
}

// Reads a field of the process's status, which is in kB.
std::size_t Process::statusBytes(std::string_view field) const
{
    std::ifstream status { "/proc/" + std::to_string(this->pid) + "/status" };
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field))
            return std::stoul(line.substr(field.size())) * 1024;
    }
    return 0;
}

std::size_t Process::openDescriptors() const
{
    std::error_code ended;
    const std::filesystem::directory_iterator descriptors { "/proc/" + std::to_string(this->pid) + "/fd", ended };
    return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

bool Process::hasEnded()
{
    int status = 0;
    if (this->pid > 0 && ::waitpid(this->pid, &status, WNOHANG) == this->pid) {
        this->pid = -1;
        this->status = status;
    }
    return this->pid <= 0;
}

int Process::wait()
{
    if (this->pid > 0) {
        int status = 0;
        ::waitpid(this->pid, &status, 0);
        this->pid = -1;
        this->status = status;
    }
    return this->status && WIFEXITED(*this->status) ? WEXITSTATUS(*this->status) : -1;
}

ProcessHarness::ProcessHarness()
{
    auto pattern = (std::filesystem::temp_directory_path() / "marigoldpaddle-XXXXXX").string();
    this->folder = ::mkdtemp(pattern.data());
    this->processes["platform"] = std::make_unique<Process>(this->folder, "platform", "standin-store", "", 1);
    this->putRecord("keyed.op", "config", std::string { PlatformConfiguration });
}

ProcessHarness::~ProcessHarness()
{
    this->processes.clear();
    std::filesystem::remove_all(this->folder);
}

void ProcessHarness::addEngine(const std::string& name, const std::string& extraSettings)
{
    const auto settings = "[engine]\ntoken_interval_ms = 20\n" + extraSettings;
    this->processes[name] = std::make_unique<Process>(this->folder, name, "standin-engine", settings, 1);
    this->listings[name] = { { "service", "marigold-small" }, { "zone", "zone-a" }, { "state", "ready" },
        { "address", this->process(name).address("http") } };
    this->setListingField("keyed.servers", name, "born", 1);
}

void ProcessHarness::addService(const std::string& name)
{
    this->processes[name] = std::make_unique<Process>(this->folder, name, "standin-service", "", 1);
    this->listings[name] = { { "service", "orders" }, { "zone", "zone-a" }, { "state", "ready" },
        { "address", this->process(name).address("http") } };
    this->setListingField("keyed.servers", name, "born", 1);
}

void ProcessHarness::addInstance(const std::string& name)
{
    this->startDispatcher(name);
    const auto gateway = "gateway-" + name;
    const auto settings = "[instance]\nname = " + name + "\nzone = zone-a\n[dispatcher]\naddress = "
        + this->process("dispatcher-" + name).address("rpc") + "\n[stop]\ngrace_ms = 300\n";
    this->processes[gateway] = std::make_unique<Process>(this->folder, gateway, "marigold-gateway", settings, 1);
}

void ProcessHarness::startDispatcher(const std::string& name)
{
    const auto dispatcher = "dispatcher-" + name;
    std::string listen = "[listen]\n";
    if (this->processes.contains(dispatcher)) {
        const auto& former = this->process(dispatcher);
        listen += "rpc = " + former.address("rpc") + "\nmembership = " + former.address("membership") + "\n";
        this->processes.erase(dispatcher);
    }
    const auto settings = "[instance]\nname = " + name + "\nzone = zone-a\n" + listen
        + "[platform]\naddress = " + this->process("platform").address("http") + "\ntimeout_ms = 1000\n";
    this->processes[dispatcher]
        = std::make_unique<Process>(this->folder, dispatcher, "marigold-dispatcher", settings, 3);
    this->listings[name] = { { "zone", "zone-a" }, { "dispatcher", this->process(dispatcher).address("rpc") },
        { "membership", this->process(dispatcher).address("membership") } };
    this->setListingField("keyed.instances", name, "born", 1);
}

void ProcessHarness::configure(const std::string& preset)
{
    const auto control
        = (buildFolder() / "marigoldctl").string() + " --platform " + this->process("platform").address("http");
    const auto samples = std::string { MARIGOLDPADDLE_SOURCE_FOLDER } + "/samples/presets";
    const auto command = control + " apply " + samples + " >/dev/null && " + control + " use " + preset + " >/dev/null";
    if (std::system(command.c_str()) != 0)
        throw std::runtime_error("marigoldctl apply or use failed");
}

void ProcessHarness::waitUntilReady()
{
    constexpr std::chrono::seconds ReadyTimeout { 20 };
    for (const auto& [name, process] : this->processes) {
        if (!name.starts_with("gateway-") && !name.starts_with("dispatcher-"))
            continue;
        if (!this->waitUntil(ReadyTimeout, [&] { return this->get(name, "/readyz").result_int() == 200; }))
            throw std::runtime_error(name + " is not ready");
    }
    for (const auto& [name, process] : this->processes) {
        if (!name.starts_with("gateway-"))
            continue;
        if (!this->waitUntil(ReadyTimeout, [&] { return this->stream(name, "ready?", 1).isComplete; }))
            throw std::runtime_error(name + " does not serve prompts");
    }
}

Process& ProcessHarness::process(const std::string& name)
{
    return *this->processes.at(name);
}

void ProcessHarness::remove(const std::string& name)
{
    this->processes.erase(name);
}

void ProcessHarness::setListingField(
    const std::string& topic, const std::string& name, const std::string& key, json::value value)
{
    this->listings[name][key] = std::move(value);
    this->putRecord(topic, name, json::serialize(this->listings[name]));
}

void ProcessHarness::putRecord(const std::string& topic, const std::string& key, std::string value)
{
    auto request = makeRequest(http::verb::put, "/standin/records?topic=" + topic + "&key=" + key, std::move(value));
    callAndWait(this->process("platform").address("http"), std::move(request), CallTimeout);
}

HttpResponse ProcessHarness::get(const std::string& process, std::string_view path)
{
    return callAndWait(this->process(process).address("http"), makeRequest(http::verb::get, path, {}), CallTimeout);
}

HttpResponse ProcessHarness::post(const std::string& process, std::string_view path, std::string body)
{
    auto request = makeRequest(http::verb::post, path, std::move(body));
    return callAndWait(this->process(process).address("http"), std::move(request), CallTimeout);
}

CallResult ProcessHarness::stream(const std::string& gateway, const std::string& prompt, std::uint64_t tokens,
    const std::function<void()>& afterFirstToken, std::chrono::milliseconds allowedTime)
{
    const json::object body { { "model", "marigold-small" }, { "prompt", prompt }, { "max_tokens", tokens },
        { "stream", true } };
    auto request = makeRequest(http::verb::post, "/v1/completions", json::serialize(body));
    request.set(http::field::authorization, CallerAuthorization);
    request.set("X-Allowed-Time-Ms", std::to_string(allowedTime.count()));
    asio::io_context context { 1 };
    HttpClient client { context.get_executor() };
    const auto begin = std::chrono::steady_clock::now();
    auto answer = runToEnd(
        readStream(client, this->process(gateway).address("http"), std::move(request), afterFirstToken), context);
    answer.elapsed = elapsedSince(begin);
    return answer;
}

CallResult ProcessHarness::order(
    const std::string& gateway, const std::string& key, const std::string& body, std::chrono::milliseconds allowedTime)
{
    auto request = makeRequest(http::verb::post, "/services/orders/restocks", body);
    request.set(http::field::authorization, CallerAuthorization);
    request.set("X-Allowed-Time-Ms", std::to_string(allowedTime.count()));
    request.set("Idempotency-Key", key);
    const auto begin = std::chrono::steady_clock::now();
    const auto response
        = callAndWait(this->process(gateway).address("http"), std::move(request), allowedTime + CallTimeout);
    return { response.result_int(), response.body(), {}, response.result_int() == 201, elapsedSince(begin) };
}

std::uint64_t ProcessHarness::usedTokens(const std::string& engine)
{
    const auto body = json::parse(this->get(engine, "/v1/load").body());
    return json::value_to<std::uint64_t>(body.at("used_tokens"));
}

bool ProcessHarness::waitUntil(std::chrono::milliseconds timeLimit, const std::function<bool()>& condition)
{
    const auto begin = std::chrono::steady_clock::now();
    while (!condition()) {
        if (elapsedSince(begin) > timeLimit)
            return false;
        asio::io_context context { 1 };
        asio::steady_timer timer { context, PollPause };
        timer.wait();
    }
    return true;
}

}
