#include "SoakCluster.h"

#include <csignal>
#include <stdexcept>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/json.hpp>

#include "standins/StandinProgram.h"

namespace marigoldpaddle::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr Duration ControlTimeout = 1s;
constexpr Duration PollPeriod = 10ms;
constexpr Duration StartTimeout = 20s;
// Longest time that a stream takes on an engine that gets no new work.
constexpr Duration IdleTimeout = 10s;
// The load balancer asks once a second and takes a node out after two misses.
constexpr Duration ReadinessPeriod = 1s;
constexpr unsigned MissesUntilOut = 2;
constexpr std::string_view EngineMemory = "60000";
// Exceeds the limit of a header and what the library stores of a field.
constexpr std::size_t OddFieldBytes = 70'000;

std::string routeJson(
    std::string_view name, std::string_view kind, std::string_view service, int timeoutMs, std::string_view more = {})
{
    return R"({"name":")" + std::string { name } + R"(","host":")" + std::string { SoakCluster::Host }
    + R"(","pathPrefix":"/)" + std::string { name } + R"(/","kind":")" + std::string { kind } + R"(","service":")"
        + std::string { service } + R"(","timeoutMs":)" + std::to_string(timeoutMs)
        + R"(,"maxAttempts":2,"public":false)" + std::string { more } + "}";
}

std::string configurationJson(std::uint64_t version)
{
    const std::string stream = R"(,"targetLatencyMs":300,"gapTargetMs":200,"sticky":true,"streamResume":)";
    const std::string plain = R"(,"targetLatencyMs":100)";
    const auto routes = routeJson("ask", "stream", "model", 8000, stream + "true") + ","
        + routeJson("long", "stream", "model", 8000,
            R"(,"targetLatencyMs":3000,"gapTargetMs":800,"sticky":true,"streamResume":true)")
        + "," + routeJson("once", "stream", "model", 8000, stream + "false") + ","
        + routeJson("order", "unsafe", "orders", 4000, plain) + "," + routeJson("stock", "safe", "orders", 4000, plain)
        + "," + routeJson("mark-" + std::to_string(version), "safe", "orders", 4000, plain);
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
        + R"(],"services":[{"name":"model","maxConnections":274,"engine":{"slots":16,"kvCapacity":)"
        + std::string { EngineMemory }
    + R"(,"stride":46,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000,)"
      R"("pairs_per_m":0.0917,"chunk":2048}},{"name":"orders","maxConnections":100}],)"
      R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
      R"("tenants":[{"name":"rounds","apiKeys":["drivers-key"],"priority":1}]})";
}

}

SoakCluster::SoakCluster(asio::io_context& context, std::string folder, const SoakSize& size, SoakReport& report)
    : nodes(size.nodes)
    , engines(size.engines)
    , services(size.services)
    , context(context)
    , folder(std::move(folder))
    , report(report)
    , client(context.get_executor())
    , store(std::make_unique<Process>(this->folder, "store", "standin-store", "", 1))
{
    for (std::size_t i = 0; i < size.nodes; ++i) {
        this->nodes[i].name = "node-" + std::to_string(i);
        this->nodes[i].host = "127.0.1." + std::to_string(i + 1);
        this->nodes[i].store = std::make_unique<SoakProxy>(context);
        this->nodes[i].store->setServer(this->store->address("http"));
    }
    for (std::size_t i = 0; i < size.engines; ++i)
        this->engines[i].name = "engine-" + std::to_string(i);
    for (std::size_t i = 0; i < size.services; ++i)
        this->services[i].name = "orders-" + std::to_string(i);
}

void SoakCluster::setFirstProgram(const std::string& program)
{
    for (auto& node : this->nodes)
        node.program = program;
}

asio::awaitable<void> SoakCluster::start()
{
    for (auto* targets : { &this->engines, &this->services }) {
        for (auto& target : *targets) {
            target.service = targets == &this->engines ? "model" : "orders";
            target.program = targets == &this->engines ? "standin-platform-engine" : "standin-service";
            target.proxy = std::make_unique<SoakProxy>(this->context);
            co_await this->startTarget(target);
        }
    }
    co_await this->configure();
    for (auto& node : this->nodes)
        co_await this->startNode(node);
    for (auto& node : this->nodes)
        asio::co_spawn(this->context, this->watchReadiness(node), asio::detached);
    const auto deadline = std::chrono::steady_clock::now() + StartTimeout;
    while (!std::ranges::all_of(this->nodes, &Node::isReady)) {
        if (std::chrono::steady_clock::now() > deadline)
            throw std::runtime_error("the nodes are not ready");
        co_await this->pause(PollPeriod);
    }
}

asio::awaitable<void> SoakCluster::inject(PlannedFault fault)
{
    using enum SoakFault;
    // The plan reserves time for each fault, but a busy machine or a frozen store may need more.
    auto* isBusy = this->busyMark(fault);
    if (isBusy && std::exchange(*isBusy, true)) {
        this->report.log("skipped, since another fault has not ended: " + fault.description());
        co_return;
    }
    this->report.log("fault " + fault.description());
    const auto disturbance = this->ledger.begin(fault, std::chrono::steady_clock::now());
    switch (fault.fault) {
    case StopNode:
    case ReloadNode:
    case OddRequests:
    case KillNode:
    case FreezeNode:
    case StoreLink:
        co_await this->injectIntoNode(this->nodes[fault.subject], fault);
        break;
    case Configure:
        co_await this->configure();
        break;
    case StoreDown:
    case StoreSilent:
    case StoreSlow:
    case FreezeStore:
        co_await this->injectIntoStore(fault);
        break;
    case LostAnswers:
    case LostOrders:
    case TruncatedAnswers:
    case OddTrailers:
    case FrozenOrders:
        co_await this->injectIntoService(this->services[fault.subject], fault);
        break;
    default:
        co_await this->injectIntoEngine(this->engines[fault.subject], fault);
    }
    this->ledger.end(disturbance, std::chrono::steady_clock::now());
    this->report.log("ended " + fault.description());
    if (isBusy)
        *isBusy = false;
}

// The mark of what the fault acts on; null if faults of its part may overlap.
bool* SoakCluster::busyMark(const PlannedFault& fault)
{
    switch (partOf(fault.fault)) {
    case SoakPart::Node:
        return &this->nodes[fault.subject].isBusy;
    case SoakPart::Engine:
        return &this->engines[fault.subject].isBusy;
    case SoakPart::Configuration:
        return &this->isConfiguring;
    default:
        return nullptr;
    }
}

asio::awaitable<void> SoakCluster::injectIntoNode(Node& node, PlannedFault fault)
{
    if (fault.fault == SoakFault::ReloadNode) {
        node.process->signal(SIGHUP);
    } else if (fault.fault == SoakFault::OddRequests) {
        for (const auto* const address : { "callers", "ready", "relays" })
            co_await this->sendOddRequest(node.process->address(address, node.host));
    } else if (fault.fault == SoakFault::StoreLink) {
        node.store->setFault(fault.link, std::chrono::milliseconds { fault.amount });
        co_await this->pause(fault.length);
        node.store->setFault(LinkFault::None);
    } else if (fault.fault == SoakFault::FreezeNode) {
        co_await this->freeze(*node.process, fault.length);
    } else {
        if (fault.fault == SoakFault::StopNode) {
            co_await this->stopNode(node);
        } else {
            node.isRunning = false;
            node.process->signal(SIGKILL);
            node.process->wait();
        }
        co_await this->pause(fault.length);
        co_await this->startNode(node);
    }
}

// A node that ends is reported by checkProcesses(); the answer, if any, must be a refusal.
asio::awaitable<void> SoakCluster::sendOddRequest(std::string address)
{
    using tcp = asio::ip::tcp;
    const auto [host, port] = splitAddress(address);
    const auto request = "POST /nowhere HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Odd: "
        + std::string(OddFieldBytes, 'o') + "\r\n\r\n";
    boost::beast::tcp_stream stream { this->context };
    stream.expires_after(ControlTimeout);
    boost::system::error_code failure;
    const tcp::endpoint endpoint { asio::ip::make_address(host), port };
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (!failure)
        co_await asio::async_write(stream, asio::buffer(request), asio::redirect_error(asio::use_awaitable, failure));
    boost::beast::flat_buffer buffer;
    HttpResponse response;
    if (!failure)
        co_await http::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, failure));
    if (!failure && response.result_int() < 400)
        this->report.violate("odd-request", address + " answered with " + std::to_string(response.result_int()));
}

asio::awaitable<void> SoakCluster::injectIntoEngine(Target& engine, PlannedFault fault)
{
    using enum SoakFault;
    const auto set = [&](std::string_view field, const json::value& value) {
        return this->post(
            engine.process->address("http"), "/standin/faults", json::serialize(json::object { { field, value } }));
    };
    if (fault.fault == FreezeEngine) {
        co_await this->freeze(*engine.process, fault.length);
    } else if (fault.fault == KillEngine) {
        engine.process->signal(SIGKILL);
        engine.process->wait();
        // The platform removes the entry of a server that is gone sooner or later.
        if (fault.amount > 1)
            co_await this->putRecord("keyed.servers", engine.name, {});
        co_await this->pause(fault.length);
        co_await this->startTarget(engine);
    } else if (fault.fault == DrainEngine) {
        co_await this->drainAndRestart(engine, fault.length);
    } else if (fault.fault == EngineLink) {
        engine.proxy->setFault(fault.link, std::chrono::milliseconds { fault.amount });
        co_await this->pause(fault.length);
        engine.proxy->setFault(LinkFault::None);
    } else if (fault.fault == LimitedEngine) {
        const json::value limit(std::to_string(fault.amount));
        co_await set("limit", limit);
        co_await this->pause(fault.length);
        co_await set("limit", json::value(""));
    } else if (fault.fault == SilentEngine || fault.fault == DecliningEngine || fault.fault == SlowEngine) {
        const auto* field = fault.fault == SilentEngine ? "silent"
            : fault.fault == DecliningEngine            ? "declining"
                                                        : "slowness";
        co_await set(field, fault.fault == SlowEngine ? json::value(fault.amount) : json::value(true));
        co_await this->pause(fault.length);
        co_await set(field, fault.fault == SlowEngine ? json::value(1) : json::value(false));
    } else {
        const auto* field = fault.fault == FailingEngine ? "failures"
            : fault.fault == BrokenStream                ? "cut_after_events"
                                                         : "late_orders";
        co_await set(field, fault.amount);
        co_await this->pause(fault.length);
        co_await set(field, 0);
        // Orders that were delayed meanwhile are executed two seconds later.
        if (fault.fault == LateOrders)
            co_await this->pause(2s);
    }
}

// A server that has reported that it is draining never takes work again under that start. It serves for a while, ends
// when it is idle, and starts anew.
asio::awaitable<void> SoakCluster::drainAndRestart(Target& engine, Duration length)
{
    co_await this->registerTarget(engine, "draining");
    engine.drainedAt = std::chrono::steady_clock::now();
    co_await this->pause(length);
    for (const auto deadline = std::chrono::steady_clock::now() + IdleTimeout;
        std::chrono::steady_clock::now() < deadline;) {
        const auto counts = co_await this->query(engine, "/standin/counts");
        if (counts && counts->at("memory") == 0)
            break;
        co_await this->pause(PollPeriod);
    }
    engine.drainedAt = TimePoint::max();
    engine.process->signal(SIGKILL);
    engine.process->wait();
    co_await this->putRecord("keyed.servers", engine.name, {});
    co_await this->startTarget(engine);
}

asio::awaitable<void> SoakCluster::injectIntoService(Target& service, PlannedFault fault)
{
    using enum SoakFault;
    const auto* field = fault.fault == LostAnswers ? "drop_answers"
        : fault.fault == LostOrders                ? "drop_requests"
        : fault.fault == TruncatedAnswers          ? "truncate_answers"
        : fault.fault == OddTrailers               ? "odd_trailers"
                                                   : "frozen";
    const auto isFrozen = fault.fault == FrozenOrders;
    const auto on
        = json::serialize(json::object { { field, isFrozen ? json::value(true) : json::value(fault.amount) } });
    const auto off = json::serialize(json::object { { field, isFrozen ? json::value(false) : json::value(0) } });
    co_await this->post(service.process->address("http"), "/faults", on);
    co_await this->pause(fault.length);
    co_await this->post(service.process->address("http"), "/faults", off);
}

asio::awaitable<void> SoakCluster::injectIntoStore(PlannedFault fault)
{
    using enum SoakFault;
    const auto address = this->store->address("http");
    if (fault.fault == FreezeStore)
        co_return co_await this->freeze(*this->store, fault.length);
    const auto isSlow = fault.fault == StoreSlow;
    const json::object on { { "log_down", !isSlow }, { "tables_down", !isSlow },
        { "silent", fault.fault == StoreSilent }, { "delay_ms", isSlow ? fault.amount : 0 } };
    const json::object off { { "log_down", false }, { "tables_down", false }, { "silent", false }, { "delay_ms", 0 } };
    co_await this->post(address, "/standin/faults", json::serialize(on));
    co_await this->pause(fault.length);
    co_await this->post(address, "/standin/faults", json::serialize(off));
}

asio::awaitable<void> SoakCluster::freeze(const Process& process, Duration length)
{
    process.signal(SIGSTOP);
    co_await this->pause(length);
    process.signal(SIGCONT);
}

asio::awaitable<void> SoakCluster::stopNode(Node& node)
{
    const auto signalledAt = std::chrono::steady_clock::now();
    node.process->signal(SIGTERM);
    while (!node.process->hasEnded() && std::chrono::steady_clock::now() < signalledAt + Grace)
        co_await this->pause(PollPeriod);
    const auto hasEnded = node.process->hasEnded();
    node.isRunning = false;
    node.process->signal(SIGKILL);
    const auto status = node.process->wait();
    if (!hasEnded)
        this->report.violate("stop", node.name + " still ran when its grace period ended");
    else if (status != 0)
        this->report.violate("stop", node.name + " ended with status " + std::to_string(status));
}

asio::awaitable<void> SoakCluster::startNode(Node& node)
{
    const auto program = std::exchange(node.program, "marigold-node");
    node.process = std::make_unique<Process>(this->folder, node.name, program, this->nodeSettings(node));
    const auto deadline = std::chrono::steady_clock::now() + StartTimeout;
    while (!node.process->hasStarted()) {
        if (node.process->hasEnded() || std::chrono::steady_clock::now() > deadline) {
            this->report.violate("start", node.name + " did not start");
            co_return;
        }
        co_await this->pause(PollPeriod);
    }
    ++node.incarnation;
    node.isReady = false;
    node.isRunning = true;
    node.startedAt = std::chrono::steady_clock::now();
}

asio::awaitable<void> SoakCluster::watchReadiness(Node& node)
{
    unsigned misses = 0;
    while (true) {
        const auto incarnation = node.incarnation;
        auto probe = makeRequest(http::verb::get, "/api/ready", {});
        auto answer = co_await this->client.call(
            node.process->address("ready", node.host), std::move(probe), ControlTimeout, ConnectionReuse::Forbidden);
        misses = answer && answer.value().result_int() == 200 ? 0 : misses + 1;
        if (incarnation == node.incarnation && (misses == 0 || misses >= MissesUntilOut))
            node.isReady = misses == 0;
        co_await this->pause(misses == 0 ? ReadinessPeriod : ReadinessPeriod / 2);
    }
}

void SoakCluster::endProcesses()
{
    for (auto& node : this->nodes)
        node.process.reset();
    for (auto* targets : { &this->engines, &this->services }) {
        for (auto& target : *targets)
            target.process.reset();
    }
    this->store.reset();
}

void SoakCluster::checkProcesses()
{
    for (auto& node : this->nodes) {
        if (!node.isRunning || !node.process->hasEnded())
            continue;
        const auto now = std::chrono::steady_clock::now();
        const auto isOrdered = this->ledger.overlaps(now, now, [&](const Disturbance& each) {
            return &this->nodes[each.fault.subject % this->nodes.size()] == &node
                && (each.fault.fault == SoakFault::StopNode || each.fault.fault == SoakFault::KillNode);
        });
        if (isOrdered)
            continue;
        node.isRunning = false;
        this->report.violate("process", node.name + " ended by itself");
    }
}

asio::awaitable<std::optional<json::object>> SoakCluster::query(const Target& target, std::string path)
{
    auto request = makeRequest(http::verb::get, path, {});
    auto answer = co_await this->client.call(
        target.process->address("http"), std::move(request), ControlTimeout, ConnectionReuse::Forbidden);
    if (!answer || answer.value().result_int() != 200)
        co_return std::nullopt;
    co_return standins::parseObject(answer.value().body());
}

asio::awaitable<void> SoakCluster::startTarget(Target& target)
{
    const auto settings = target.service == "model"
        ? "[engine]\nid = " + target.name + "\nmemory_tokens = " + std::string { EngineMemory } + "\n"
        : "[service]\nid = " + target.name + "\n";
    target.process = std::make_unique<Process>(this->folder, target.name, target.program, settings, 1);
    target.proxy->setServer(target.process->address("http"));
    ++target.incarnation;
    co_await this->registerTarget(target, "ready");
}

asio::awaitable<void> SoakCluster::registerTarget(const Target& target, std::string state)
{
    const json::object entry { { "service", target.service }, { "address", target.proxy->address() },
        { "zone", "zone-a" }, { "state", state }, { "slots", 16 }, { "coldRemainingMs", 0 }, { "sequence", 0 },
        { "born", target.incarnation } };
    co_await this->putRecord("keyed.servers", target.name, json::serialize(entry));
}

// Versions increase in uneven steps.
asio::awaitable<void> SoakCluster::configure()
{
    const auto version = this->versions.empty() ? 1 : this->versions.back().version + 1 + this->versions.size() % 3;
    co_await this->putRecord("keyed.op", "config", configurationJson(version));
    this->versions.push_back({ version, std::chrono::steady_clock::now() });
    this->report.log("accepted configuration " + std::to_string(version));
}

// The store accepts the operator's records also while it fails for the nodes, but not while it is frozen.
asio::awaitable<void> SoakCluster::putRecord(std::string topic, std::string key, std::string value)
{
    const auto path = "/standin/records?topic=" + topic + "&key=" + key;
    while (true) {
        auto request = makeRequest(http::verb::put, path, value);
        auto answer = co_await this->client.call(
            this->store->address("http"), std::move(request), ControlTimeout, ConnectionReuse::Forbidden);
        if (answer && answer.value().result_int() == 200)
            co_return;
        co_await this->pause(PollPeriod);
    }
}

asio::awaitable<bool> SoakCluster::post(std::string address, std::string path, std::string body)
{
    auto request = makeRequest(http::verb::post, path, std::move(body));
    auto answer = co_await this->client.call(
        std::move(address), std::move(request), ControlTimeout, ConnectionReuse::Forbidden);
    if (!answer)
        this->report.log("control call failed: " + path);
    co_return answer&& answer.value().result_int() == 200;
}

asio::awaitable<void> SoakCluster::pause(Duration time)
{
    asio::steady_timer timer { this->context, time };
    co_await timer.async_wait(asio::use_awaitable);
}

std::string SoakCluster::nodeSettings(const Node& node) const
{
    const auto peersPort = std::to_string(splitAddress(this->store->address("http")).port);
    std::string seeds;
    for (const auto& each : this->nodes)
        seeds += (seeds.empty() ? "" : ",") + each.host + ":" + peersPort;
    return "[instance]\nname = " + node.name + "\nzone = zone-a\n[listen]\ncallers = " + node.host + ":0\nready = "
        + node.host + ":0\nports = " + Process::portsFile(this->folder, node.name) + "\nrelays = " + node.host
        + ":0\n[peers]\naddress = " + node.host + ":" + peersPort + "\nseeds = " + seeds + "\n[platform]\naddress = "
        + node.store->address() + "\n[bounds]\nconfiguration_ms = " + std::to_string(ConfigurationBound / 1ms)
        + "\ndrain_ms = " + std::to_string(DrainBound / 1ms) + "\ngrace_s = " + std::to_string(Grace / 1s)
        + "\nmemory_free_ms = " + std::to_string(MemoryFreeBound / 1ms) + "\n[retries]\nslack = 104\n";
}

}
