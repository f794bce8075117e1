#include "gateway/CompletionRequest.h"

#include <boost/json.hpp>
#include <boost/leaf/error.hpp>

namespace marigoldpaddle {

namespace json = boost::json;

namespace {

constexpr std::uint64_t BytesPerToken = 4;
constexpr std::uint64_t DefaultMaximumTokens = 16;
constexpr std::int64_t MaximumOutputTokens = 1'000'000;

boost::leaf::error_id malformed(std::string detail)
{
    return boost::leaf::new_error(CompletionParseError { RefusalReason::MalformedRequest, std::move(detail) });
}

boost::leaf::result<std::string> requiredString(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (!value || !value->is_string() || value->as_string().empty())
        return malformed("\"" + std::string { key } + "\" must be a non-empty string");
    return json::value_to<std::string>(*value);
}

boost::leaf::result<std::uint64_t> parseMaximumTokens(const json::object& object)
{
    const auto* value = object.if_contains("max_tokens");
    if (!value)
        return DefaultMaximumTokens;
    if (!value->is_int64() || value->as_int64() < 1 || value->as_int64() > MaximumOutputTokens)
        return malformed("\"max_tokens\" must be an integer from 1 to " + std::to_string(MaximumOutputTokens));
    return static_cast<std::uint64_t>(value->as_int64());
}

boost::leaf::result<bool> parseStreamFlag(const json::object& object)
{
    const auto* value = object.if_contains("stream");
    if (!value)
        return false;
    if (!value->is_bool())
        return malformed("\"stream\" must be true or false");
    return value->as_bool();
}

boost::leaf::result<std::string> chatPrompt(const json::object& object)
{
    const auto* messages = object.if_contains("messages");
    if (!messages || !messages->is_array() || messages->as_array().empty())
        return malformed("\"messages\" must be a non-empty array");
    std::string prompt;
    for (const auto& message : messages->as_array()) {
        if (!message.is_object())
            return malformed("each element of \"messages\" must be an object");
        BOOST_LEAF_AUTO(role, requiredString(message.as_object(), "role"));
        BOOST_LEAF_AUTO(content, requiredString(message.as_object(), "content"));
        prompt += role + ": " + content + "\n";
    }
    return prompt + "assistant:";
}

json::object commonFields(const CompletionRequest& request, std::string_view id, std::string_view object)
{
    return { { "id", id }, { "object", object }, { "model", request.model } };
}

std::string makeEvent(const CompletionRequest& request, std::string_view id, json::object choice)
{
    auto body = commonFields(request, id, request.isChat ? "chat.completion.chunk" : "text_completion");
    body["choices"] = json::array { std::move(choice) };
    return "data: " + json::serialize(body) + "\n\n";
}

}

boost::leaf::result<CompletionRequest> parseCompletion(std::string_view body, bool isChat)
{
    boost::system::error_code failure;
    const auto value = json::parse({ body.data(), body.size() }, failure);
    if (failure || !value.is_object())
        return malformed("the body must be a JSON object");
    const auto& object = value.as_object();
    CompletionRequest request;
    request.isChat = isChat;
    BOOST_LEAF_ASSIGN(request.model, requiredString(object, "model"));
    BOOST_LEAF_ASSIGN(request.prompt, isChat ? chatPrompt(object) : requiredString(object, "prompt"));
    BOOST_LEAF_ASSIGN(request.maximumTokens, parseMaximumTokens(object));
    BOOST_LEAF_ASSIGN(request.isStreamed, parseStreamFlag(object));
    request.promptTokens = estimateTokens(request.prompt);
    return request;
}

std::uint64_t estimateTokens(std::string_view text)
{
    return (text.size() + BytesPerToken - 1) / BytesPerToken;
}

std::string completionBody(
    const CompletionRequest& request, std::string_view id, std::string_view text, std::uint64_t tokens)
{
    auto body = commonFields(request, id, request.isChat ? "chat.completion" : "text_completion");
    json::object choice { { "index", 0 }, { "finish_reason", "length" } };
    if (request.isChat)
        choice["message"] = json::object { { "role", "assistant" }, { "content", text } };
    else
        choice["text"] = text;
    body["choices"] = json::array { std::move(choice) };
    body["usage"] = json::object { { "prompt_tokens", request.promptTokens }, { "completion_tokens", tokens },
        { "total_tokens", request.promptTokens + tokens } };
    return json::serialize(body);
}

CompletionEventWriter::CompletionEventWriter(const CompletionRequest& request, std::string_view id)
{
    constexpr std::string_view EmptyText = "\"\"";
    json::object choice { { "index", 0 } };
    if (request.isChat)
        choice["delta"] = json::object { { "content", "" } };
    else
        choice["text"] = "";
    const auto event = makeEvent(request, id, std::move(choice));
    const auto text = event.rfind(EmptyText);
    this->beforeText = event.substr(0, text);
    this->afterText = event.substr(text + EmptyText.size());
}

void CompletionEventWriter::append(std::string& output, std::string_view text) const
{
    output += this->beforeText;
    output += json::serialize(json::string { text });
    output += this->afterText;
}

std::string finalCompletionEvent(const CompletionRequest& request, std::string_view id)
{
    json::object choice { { "index", 0 }, { "finish_reason", "length" } };
    if (request.isChat)
        choice["delta"] = json::object {};
    else
        choice["text"] = "";
    return makeEvent(request, id, std::move(choice)) + "data: [DONE]\n\n";
}

}
