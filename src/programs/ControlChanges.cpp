#include <algorithm>
#include <ostream>

#include <boost/json.hpp>

#include "programs/ControlSession.h"
#include "programs/PresetDiff.h"
#include "programs/PresetFiles.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

ControlExit exitFor(PublicationOutcome outcome)
{
    switch (outcome) {
    case PublicationOutcome::Accepted:
        return ControlExit::Success;
    case PublicationOutcome::Refused:
        return ControlExit::Refused;
    case PublicationOutcome::NotPublished:
        return ControlExit::Unavailable;
    case PublicationOutcome::Unknown:
        return ControlExit::Unknown;
    }
    return ControlExit::Unknown;
}

json::object toJson(const ConfigurationChange& change, const PublicationResult& result)
{
    json::object object { { "preset", change.preset }, { "kind", name(change.kind) }, { "id", change.id },
        { "outcome", name(result.outcome) }, { "based_on", change.basedOn } };
    if (result.outcome == PublicationOutcome::Accepted || result.outcome == PublicationOutcome::Refused)
        object["revision"] = result.verdict.offset;
    if (result.verdict.error)
        object["error"] = name(*result.verdict.error);
    const auto& explanation = result.explanation.empty() ? result.verdict.explanation : result.explanation;
    if (!explanation.empty())
        object["explanation"] = explanation;
    return object;
}

}

asio::awaitable<ControlExit> ControlSession::apply()
{
    const auto files = readPresetFiles(this->options.arguments.front());
    if (!files.problems.empty())
        co_return this->reportInvalid(files.problems);
    const auto basedOn = this->options.basedOn.value_or(this->state.nextOffset());
    json::array results;
    auto exit = ControlExit::Success;
    for (const auto& [name, desired] : files.presets) {
        const auto current = this->state.presets().find(name);
        const auto changes
            = presetChanges(current == this->state.presets().end() ? PresetSections {} : current->second, desired);
        if (changes.empty() && !this->options.isJson)
            this->out << name << ": unchanged\n";
        for (auto& part : splitChanges(changes)) {
            ConfigurationChange change { {}, ConfigurationChangeKind::Edit, name, basedOn, std::move(part) };
            const auto published = co_await this->publish(std::move(change), results);
            exit = std::max(exit, published);
        }
        if (exit == ControlExit::Unavailable || exit == ControlExit::Unknown)
            break; // The log is unavailable, so the remaining changes are not attempted.
    }
    if (this->options.isJson)
        this->print(json::object { { "results", std::move(results) } });
    co_return exit;
}

asio::awaitable<ControlExit> ControlSession::publishPresetChange(ConfigurationChangeKind kind)
{
    const auto basedOn = this->options.basedOn.value_or(this->state.nextOffset());
    ConfigurationChange change { {}, kind, this->options.arguments.front(), basedOn, {} };
    json::array results;
    const auto exit = co_await this->publish(std::move(change), results);
    if (this->options.isJson)
        this->print(results.front());
    co_return exit;
}

asio::awaitable<ControlExit> ControlSession::publish(ConfigurationChange change, json::array& results)
{
    change.id = this->newId();
    const auto result = co_await this->publisher.publish(this->state, change);
    results.push_back(toJson(change, result));
    const auto& explanation = result.explanation.empty() ? result.verdict.explanation : result.explanation;
    if (result.outcome != PublicationOutcome::Accepted)
        this->errors << "marigoldctl: " << change.preset << ": " << name(result.outcome) << ": " << explanation << '\n';
    else if (!this->options.isJson)
        this->out << change.preset << ": " << name(change.kind) << " accepted at revision " << result.verdict.offset
                  << '\n';
    co_return exitFor(result.outcome);
}

}
