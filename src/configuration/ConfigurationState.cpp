#include <marigoldpaddle/ConfigurationState.h>

#include <algorithm>

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace marigoldpaddle {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 3> KindNames { "edit", "use", "delete" };

json::object sectionToJson(const PresetSection& section)
{
    json::object object;
    for (const auto& [key, value] : section)
        object.emplace(key, value);
    return object;
}

PresetSection sectionFromJson(const json::value& value)
{
    PresetSection section;
    for (const auto& [key, text] : value.as_object())
        section.emplace(key, json::value_to<std::string>(text));
    return section;
}

ChangeVerdict accepted(const ConfigurationChange& change)
{
    return { change.id, true, {} };
}

ChangeVerdict refused(const ConfigurationChange& change, std::string explanation)
{
    return { change.id, false, std::move(explanation) };
}

std::string conflictText(std::string_view what, std::uint64_t basedOn, std::uint64_t changedAt)
{
    return std::string { what } + " was changed at revision " + std::to_string(changedAt) + " after revision "
        + std::to_string(basedOn) + ", on which this change is based";
}

}

std::string encodeChange(const ConfigurationChange& change)
{
    json::object object;
    object["id"] = change.id;
    object["kind"] = KindNames.at(static_cast<std::size_t>(change.kind));
    object["preset"] = change.preset;
    object["based_on"] = change.basedOn;
    json::object sections;
    for (const auto& [name, section] : change.sections)
        sections.emplace(name, section ? json::value(sectionToJson(*section)) : json::value(nullptr));
    object["sections"] = std::move(sections);
    return json::serialize(object);
}

boost::leaf::result<ConfigurationChange> decodeChange(std::string_view record)
{
    try {
        const auto value = json::parse({ record.data(), record.size() });
        const auto& object = value.as_object();
        ConfigurationChange change;
        change.id = json::value_to<std::string>(object.at("id"));
        const auto kind = json::value_to<std::string>(object.at("kind"));
        const auto found = std::ranges::find(KindNames, kind);
        if (found == KindNames.end() || change.id.empty())
            return boost::leaf::new_error(ConfigurationError::MalformedRecord);
        change.kind = static_cast<ConfigurationChangeKind>(found - KindNames.begin());
        change.preset = json::value_to<std::string>(object.at("preset"));
        change.basedOn = json::value_to<std::uint64_t>(object.at("based_on"));
        for (const auto& [name, section] : object.at("sections").as_object())
            change.sections.emplace(
                name, section.is_null() ? std::nullopt : std::optional { sectionFromJson(section) });
        return change;
    } catch (const std::exception&) {
        return boost::leaf::new_error(ConfigurationError::MalformedRecord);
    }
}

ChangeVerdict ConfigurationState::apply(std::uint64_t offset, std::string_view record)
{
    if (offset < this->next)
        return {};
    this->next = offset + 1;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<ChangeVerdict> {
            BOOST_LEAF_AUTO(change, decodeChange(record));
            switch (change.kind) {
            case ConfigurationChangeKind::Edit:
                return this->applyEdit(offset, change);
            case ConfigurationChangeKind::Use:
                return this->applyUse(offset, change);
            case ConfigurationChangeKind::Delete:
                return this->applyDelete(offset, change);
            }
            return ChangeVerdict {};
        },
        [] { return ChangeVerdict { {}, false, "the record cannot be read" }; });
}

ChangeVerdict ConfigurationState::applyEdit(std::uint64_t offset, const ConfigurationChange& change)
{
    auto sections = this->presetsByName[change.preset];
    for (const auto& [name, section] : change.sections) {
        const auto revision = this->revisions.find(change.preset + "/" + name);
        if (revision != this->revisions.end() && revision->second > change.basedOn)
            return refused(change, conflictText("section [" + name + "]", change.basedOn, revision->second));
        if (section)
            sections[name] = *section;
        else
            sections.erase(name);
    }
    const auto problem = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_CHECK(makePreset(change.preset, sections, change.preset));
            return std::string {};
        },
        [](const PresetProblem& fault) { return fault.message; }, [] { return std::string { "invalid preset" }; });
    if (!problem.empty())
        return refused(change, problem);
    this->presetsByName[change.preset] = std::move(sections);
    for (const auto& [name, section] : change.sections)
        this->revisions[change.preset + "/" + name] = offset;
    this->refreshPresetInForce();
    return accepted(change);
}

ChangeVerdict ConfigurationState::applyUse(std::uint64_t offset, const ConfigurationChange& change)
{
    if (!this->presetsByName.contains(change.preset))
        return refused(change, "there is no preset " + change.preset);
    if (this->inForceSince > change.basedOn)
        return refused(change, conflictText("the preset in force", change.basedOn, this->inForceSince));
    this->inForce = change.preset;
    this->inForceSince = offset;
    this->refreshPresetInForce();
    return accepted(change);
}

ChangeVerdict ConfigurationState::applyDelete(std::uint64_t, const ConfigurationChange& change)
{
    if (!this->presetsByName.contains(change.preset))
        return refused(change, "there is no preset " + change.preset);
    if (this->inForce == change.preset)
        return refused(change, "preset " + change.preset + " is in force");
    this->presetsByName.erase(change.preset);
    return accepted(change);
}

void ConfigurationState::refreshPresetInForce()
{
    const auto found = this->presetsByName.find(this->inForce);
    if (found == this->presetsByName.end())
        return;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(made, makePreset(this->inForce, found->second, this->inForce));
            this->preset = std::make_shared<const Preset>(std::move(made));
            return {};
        },
        [] { /* Every accepted edit was checked; an invalid preset cannot be stored. */ });
}

std::uint64_t ConfigurationState::nextOffset() const
{
    return this->next;
}

std::shared_ptr<const Preset> ConfigurationState::presetInForce() const
{
    return this->preset;
}

const std::string& ConfigurationState::nameInForce() const
{
    return this->inForce;
}

const std::map<std::string, PresetSections, std::less<>>& ConfigurationState::presets() const
{
    return this->presetsByName;
}

std::string ConfigurationState::snapshot() const
{
    json::object presets;
    for (const auto& [name, sections] : this->presetsByName) {
        json::object object;
        for (const auto& [section, values] : sections)
            object.emplace(section, sectionToJson(values));
        presets.emplace(name, std::move(object));
    }
    json::object revisionObject;
    for (const auto& [name, offset] : this->revisions)
        revisionObject.emplace(name, offset);
    return json::serialize(
        json::object { { "next", this->next }, { "in_force", this->inForce }, { "in_force_since", this->inForceSince },
            { "revisions", std::move(revisionObject) }, { "presets", std::move(presets) } });
}

boost::leaf::result<bool> ConfigurationState::restore(std::string_view snapshot)
{
    try {
        const auto value = json::parse({ snapshot.data(), snapshot.size() });
        const auto& object = value.as_object();
        ConfigurationState restored;
        restored.next = json::value_to<std::uint64_t>(object.at("next"));
        if (restored.next <= this->next)
            return false;
        restored.inForce = json::value_to<std::string>(object.at("in_force"));
        restored.inForceSince = json::value_to<std::uint64_t>(object.at("in_force_since"));
        for (const auto& [name, offset] : object.at("revisions").as_object())
            restored.revisions.emplace(name, json::value_to<std::uint64_t>(offset));
        for (const auto& [name, sections] : object.at("presets").as_object()) {
            for (const auto& [section, values] : sections.as_object())
                restored.presetsByName[name].emplace(section, sectionFromJson(values));
        }
        restored.refreshPresetInForce();
        *this = std::move(restored);
        return true;
    } catch (const std::exception&) {
        return boost::leaf::new_error(ConfigurationError::MalformedRecord);
    }
}

}
