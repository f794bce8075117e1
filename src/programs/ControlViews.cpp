#include <algorithm>
#include <ostream>
#include <ranges>

#include <boost/json.hpp>

#include "configuration/SectionJson.h"
#include "programs/ControlSession.h"
#include "programs/PresetDiff.h"
#include "programs/PresetFiles.h"

namespace marigoldpaddle {

namespace json = boost::json;

namespace {

const PresetSections NoSections;

const PresetSections& sectionsOf(const ConfigurationState& state, std::string_view preset)
{
    const auto found = state.presets().find(preset);
    return found == state.presets().end() ? NoSections : found->second;
}

void printSection(std::ostream& out, std::string_view name, const PresetSection& section)
{
    out << '[' << name << "]\n";
    for (const auto& [key, value] : section)
        out << key << " = " << value << '\n';
}

std::string sectionsText(const HistoryEntry& entry)
{
    std::string text;
    for (const auto& each : entry.sections)
        text += " [" + each + "]";
    const auto more = entry.sectionCount - std::min(entry.sectionCount, entry.sections.size());
    return more == 0 ? text : text + " and " + std::to_string(more) + " more";
}

json::object toJson(const HistoryEntry& entry)
{
    json::object object { { "revision", entry.verdict.offset }, { "id", entry.verdict.id },
        { "kind", name(entry.kind) }, { "preset", entry.preset }, { "accepted", entry.verdict.isAccepted },
        { "sections", json::value_from(entry.sections) }, { "section_count", entry.sectionCount } };
    if (entry.verdict.error) {
        object["error"] = name(*entry.verdict.error);
        object["explanation"] = entry.verdict.explanation;
    }
    return object;
}

}

ControlExit ControlSession::validate()
{
    const auto files = readPresetFiles(this->options.arguments.front());
    if (!files.problems.empty())
        return this->reportInvalid(files.problems);
    json::array names;
    for (const auto& [name, sections] : files.presets) {
        names.push_back(json::object { { "preset", name }, { "sections", sections.size() } });
        if (!this->options.isJson)
            this->out << name << ": valid, " << sections.size() << " sections\n";
    }
    if (this->options.isJson)
        this->print(json::object { { "valid", std::move(names) } });
    return ControlExit::Success;
}

ControlExit ControlSession::diff()
{
    const auto files = readPresetFiles(this->options.arguments.front());
    if (!files.problems.empty())
        return this->reportInvalid(files.problems);
    json::array entries;
    for (const auto& [name, desired] : files.presets) {
        const auto& current = sectionsOf(this->state, name);
        const auto changes = presetChanges(current, desired);
        if (changes.empty())
            continue;
        entries.push_back(json::object { { "preset", name }, { "changes", changesToJson(current, changes) } });
        if (!this->options.isJson)
            std::ranges::for_each(
                describeChanges(name, current, changes), [this](const auto& line) { this->out << line << '\n'; });
    }
    const auto isDifferent = !entries.empty();
    if (this->options.isJson)
        this->print(json::object { { "revision", this->state.nextOffset() }, { "differences", std::move(entries) } });
    else
        this->out << (isDifferent ? "compared with" : "no difference from") << " revision " << this->state.nextOffset()
                  << '\n';
    return isDifferent ? ControlExit::Different : ControlExit::Success;
}

ControlExit ControlSession::show()
{
    const auto& preset = this->options.arguments.front();
    if (!this->state.presets().contains(preset))
        return this->reportInvalid({ "marigoldctl: there is no preset " + preset });
    auto sections = sectionsOf(this->state, preset);
    if (this->options.arguments.size() == 2) {
        const auto& sectionName = this->options.arguments.back();
        std::erase_if(sections, [&](const auto& each) { return each.first != sectionName; });
        if (sections.empty())
            return this->reportInvalid({ "marigoldctl: preset " + preset + " has no section [" + sectionName + "]" });
    }
    json::object object;
    for (const auto& [name, values] : sections) {
        if (!this->options.isJson)
            printSection(this->out, name, values);
        object.emplace(name,
            json::object { { "revision", this->state.revisionOf(preset, name).value_or(0) },
                { "values", internal::sectionToJson(values) } });
    }
    if (this->options.isJson)
        this->print(json::object {
            { "preset", preset }, { "revision", this->state.nextOffset() }, { "sections", std::move(object) } });
    return ControlExit::Success;
}

ControlExit ControlSession::list()
{
    json::array presets;
    for (const auto& [name, sections] : this->state.presets()) {
        const auto isInForce = name == this->state.nameInForce();
        presets.push_back(
            json::object { { "preset", name }, { "in_force", isInForce }, { "sections", sections.size() } });
        if (!this->options.isJson)
            this->out << (isInForce ? "* " : "  ") << name << ": " << sections.size() << " sections\n";
    }
    if (this->options.isJson)
        this->print(json::object { { "revision", this->state.nextOffset() }, { "presets", std::move(presets) } });
    else
        this->out << "revision " << this->state.nextOffset() << '\n';
    return ControlExit::Success;
}

ControlExit ControlSession::history()
{
    const auto& all = this->state.history();
    const auto skipped = all.size() - std::min(all.size(), this->options.limit);
    json::array entries;
    for (const auto& entry : all | std::views::drop(skipped)) {
        entries.push_back(toJson(entry));
        if (this->options.isJson)
            continue;
        this->out << entry.verdict.offset << ' ' << name(entry.kind) << ' ' << entry.preset << sectionsText(entry)
                  << (entry.verdict.isAccepted ? ": accepted" : ": refused: " + entry.verdict.explanation) << '\n';
    }
    if (this->options.isJson)
        this->print(json::object { { "revision", this->state.nextOffset() }, { "changes", std::move(entries) } });
    return ControlExit::Success;
}

}
