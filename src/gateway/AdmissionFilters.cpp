#include "gateway/AdmissionFilters.h"

#include <algorithm>
#include <charconv>
#include <memory>

#include <boost/beast/http/verb.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <xxhash.h>

#include "gateway/Digest.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view CompletionsPath = "/v1/completions";
constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view AllowedTimeField = "X-Allowed-Time-Ms";
constexpr std::string_view IdempotencyKeyField = "Idempotency-Key";
constexpr std::size_t MaximumIdempotencyKeyBytes = 255;
constexpr std::size_t PrefixBlockBytes = 1024;
constexpr std::size_t MaximumPrefixBlocks = 64;
constexpr std::chrono::seconds RetryAfterNotReady { 1 };
constexpr std::int64_t MaximumAllowedTimeMs = 86'400'000; // One day.

std::string_view headerField(const HttpRequest& request, std::string_view field)
{
    const auto found = request.find({ field.data(), field.size() });
    if (found == request.end())
        return {};
    return { found->value().data(), found->value().size() };
}

Problem makeRefusal(RefusalReason reason, std::string detail)
{
    return { reason, ExecutionStatus::No, {}, std::move(detail) };
}

std::optional<Problem> parsePrompt(GatewayRequest& request, bool isChat)
{
    const auto& message = request.exchange.request();
    if (message.method() != http::verb::post)
        return makeRefusal(RefusalReason::MalformedRequest, "completions require the POST method");
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Problem>> {
            BOOST_LEAF_ASSIGN(request.completion, parseCompletion(message.body(), isChat));
            return std::nullopt;
        },
        [](const CompletionParseError& error) -> std::optional<Problem> {
            return makeRefusal(error.reason, error.detail);
        },
        []() -> std::optional<Problem> { return makeRefusal(RefusalReason::MalformedRequest, {}); });
}

bool isSafe(http::verb method)
{
    return method == http::verb::get || method == http::verb::head || method == http::verb::options;
}

std::optional<Problem> parseCall(GatewayRequest& request, std::string_view path)
{
    path.remove_prefix(ServicesPrefix.size());
    const auto end = path.find_first_of("/?");
    ServiceCall call;
    call.service = path.substr(0, end);
    call.path = end == std::string_view::npos ? "/" : path.substr(end);
    if (call.path.starts_with('?'))
        call.path.insert(0, "/");
    call.idempotencyKey = headerField(request.exchange.request(), IdempotencyKeyField);
    call.isSafe = isSafe(request.exchange.request().method());
    if (call.idempotencyKey.size() > MaximumIdempotencyKeyBytes)
        return makeRefusal(RefusalReason::MalformedRequest, "Idempotency-Key is longer than 255 bytes");
    request.call = std::move(call);
    return std::nullopt;
}

std::vector<std::uint64_t> hashPrefix(std::string_view prompt)
{
    struct StateDeleter {
        void operator()(XXH3_state_t* state) const
        {
            XXH3_freeState(state);
        }
    };
    const std::unique_ptr<XXH3_state_t, StateDeleter> state { XXH3_createState() };
    XXH3_64bits_reset(state.get());
    std::vector<std::uint64_t> blocks(std::min(prompt.size() / PrefixBlockBytes, MaximumPrefixBlocks));
    std::ranges::generate(blocks, [&] {
        XXH3_64bits_update(state.get(), prompt.data(), PrefixBlockBytes);
        prompt.remove_prefix(PrefixBlockBytes);
        return XXH3_64bits_digest(state.get());
    });
    return blocks;
}

std::optional<Problem> checkModelOrService(const GatewayRequest& request)
{
    if (request.completion && !request.preset->models.contains(request.completion->model))
        return makeRefusal(RefusalReason::UnknownModel, "unknown model " + request.completion->model);
    if (request.call && !request.preset->services.contains(request.call->service))
        return makeRefusal(RefusalReason::UnknownService, "unknown service " + request.call->service);
    return std::nullopt;
}

std::optional<Problem> setDeadline(GatewayRequest& request)
{
    auto allowed = request.preset->defaultAllowedTime;
    const auto text = headerField(request.exchange.request(), AllowedTimeField);
    if (!text.empty()) {
        std::int64_t milliseconds = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
        const auto isNumber = error == std::errc {} && end == text.data() + text.size();
        if (!isNumber || milliseconds < 1 || milliseconds > MaximumAllowedTimeMs)
            return makeRefusal(RefusalReason::InvalidAllowedTime,
                "X-Allowed-Time-Ms must be an integer from 1 to " + std::to_string(MaximumAllowedTimeMs));
        allowed = std::chrono::milliseconds { milliseconds };
    }
    request.deadline = request.receivedAt + std::min(allowed, request.preset->maximumAllowedTime);
    return std::nullopt;
}

}

asio::awaitable<std::optional<Problem>> ParseFilter::apply(GatewayRequest& request)
{
    const auto target = request.exchange.request().target();
    const std::string_view path { target.data(), target.size() };
    if (path.starts_with(ServicesPrefix))
        co_return parseCall(request, path);
    const auto withoutQuery = path.substr(0, path.find('?'));
    if (withoutQuery == CompletionsPath || withoutQuery == ChatPath)
        co_return parsePrompt(request, withoutQuery == ChatPath);
    co_return makeRefusal(RefusalReason::MalformedRequest, "unknown path");
}

AuthenticateFilter::AuthenticateFilter(const ClusterView& view)
    : view(view)
{
}

asio::awaitable<std::optional<Problem>> AuthenticateFilter::apply(GatewayRequest& request)
{
    request.preset = this->view.preset();
    if (!request.preset)
        co_return Problem { RefusalReason::NotReady, ExecutionStatus::No, RetryAfterNotReady,
            "the gateway has not received a preset yet" };
    const auto authorization = headerField(request.exchange.request(), "Authorization");
    if (!authorization.starts_with(BearerPrefix))
        co_return makeRefusal(RefusalReason::Unauthenticated, "the Authorization header must contain a bearer key");
    const auto& workspaces = request.preset->workspacesByKeyDigest;
    const auto workspace = workspaces.find(sha256Hex(authorization.substr(BearerPrefix.size())));
    if (workspace == workspaces.end())
        co_return makeRefusal(RefusalReason::Unauthenticated, "the bearer key does not belong to any workspace");
    request.workspace = workspace->second;
    co_return std::nullopt;
}

asio::awaitable<std::optional<Problem>> EstimateFilter::apply(GatewayRequest& request)
{
    if (!request.completion)
        co_return std::nullopt;
    auto& completion = *request.completion;
    completion.promptTokens = estimateTokens(completion.prompt);
    const auto& classes = request.preset->promptClasses;
    const auto fits = [&](const PromptClass& each) {
        return completion.promptTokens <= each.maximumTokens;
    };
    const auto found = std::ranges::find_if(classes, fits);
    request.promptClass = found == classes.end() ? "other" : found->name;
    request.prefixBlocks = hashPrefix(completion.prompt);
    co_return std::nullopt;
}

asio::awaitable<std::optional<Problem>> AdmitFilter::apply(GatewayRequest& request)
{
    if (auto problem = checkModelOrService(request))
        co_return problem;
    co_return setDeadline(request);
}

}
