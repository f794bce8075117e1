#include <boost/json.hpp>
#include <boost/leaf/error.hpp>

#include <marigoldpaddle/ConfigurationState.h>

#include "configuration/SectionJson.h"

namespace marigoldpaddle {

namespace json = boost::json;

// Encodes a state as JSON and decodes it. Names are sorted, so that equal states give equal text.
class ConfigurationSnapshotCodec {
public:
    static json::object encode(const ConfigurationState& state)
    {
        return { { "next", state.next }, { "in_force", state.inForce }, { "in_force_since", state.inForceSince },
            { "presets", presetsOf(state) }, { "removals", removalsOf(state) }, { "removal_floor", state.removalFloor },
            { "history", historyOf(state) } };
    }

    // Throws std::exception if the object is not a valid snapshot.
    static ConfigurationState decode(const json::object& object)
    {
        ConfigurationState state;
        state.next = number(object, "next");
        state.inForce = text(object, "in_force");
        state.inForceSince = number(object, "in_force_since");
        state.removalFloor = number(object, "removal_floor");
        for (const auto& [name, preset] : object.at("presets").as_object())
            addPreset(state, name, preset.as_object());
        for (const auto& removal : object.at("removals").as_array())
            state.removals.push_back({ number(removal.as_object(), "offset"), text(removal.as_object(), "preset"),
                text(removal.as_object(), "section") });
        for (const auto& entry : object.at("history").as_array())
            state.historyEntries.push_back(historyEntry(entry.as_object()));
        return state;
    }

    // Makes the typed form of every preset. Fails if a preset is invalid.
    static boost::leaf::result<void> makeTypedPresets(ConfigurationState& state)
    {
        for (const auto& [name, sections] : state.presetsByName) {
            BOOST_LEAF_AUTO(preset, makePreset(name, sections, name));
            state.typedPresetsByName.emplace(name, std::make_shared<const Preset>(std::move(preset)));
        }
        return {};
    }

private:
    static std::uint64_t number(const json::object& object, std::string_view key)
    {
        return json::value_to<std::uint64_t>(object.at(key));
    }

    static std::string text(const json::object& object, std::string_view key)
    {
        return json::value_to<std::string>(object.at(key));
    }

    static json::object presetsOf(const ConfigurationState& state)
    {
        json::object presets;
        for (const auto& [name, sections] : state.presetsByName) {
            const auto& revisions = state.revisionsByName.find(name)->second;
            json::object sectionObject;
            for (const auto& [section, values] : sections)
                sectionObject.emplace(section,
                    json::object { { "revision", revisions.sections.find(section)->second },
                        { "values", internal::sectionToJson(values) } });
            presets.emplace(
                name, json::object { { "revision", revisions.last }, { "sections", std::move(sectionObject) } });
        }
        return presets;
    }

    static json::array removalsOf(const ConfigurationState& state)
    {
        json::array removals;
        for (const auto& each : state.removals)
            removals.push_back(
                json::object { { "offset", each.offset }, { "preset", each.preset }, { "section", each.section } });
        return removals;
    }

    static json::array historyOf(const ConfigurationState& state)
    {
        json::array history;
        for (const auto& each : state.historyEntries) {
            json::object entry { { "id", each.verdict.id }, { "offset", each.verdict.offset },
                { "kind", name(each.kind) }, { "preset", each.preset }, { "section_count", each.sectionCount },
                { "sections", json::value_from(each.sections) } };
            if (each.verdict.error)
                entry["error"] = static_cast<int>(*each.verdict.error);
            if (!each.verdict.isAccepted)
                entry["explanation"] = each.verdict.explanation;
            history.push_back(std::move(entry));
        }
        return history;
    }

    static void addPreset(ConfigurationState& state, std::string_view name, const json::object& preset)
    {
        auto& sections = state.presetsByName[std::string { name }];
        auto& revisions = state.revisionsByName[std::string { name }];
        revisions.last = number(preset, "revision");
        for (const auto& [section, value] : preset.at("sections").as_object()) {
            sections.emplace(section, internal::sectionFromJson(value.at("values")));
            revisions.sections.emplace(section, number(value.as_object(), "revision"));
        }
    }

    static HistoryEntry historyEntry(const json::object& object)
    {
        HistoryEntry entry;
        entry.verdict.id = text(object, "id");
        entry.verdict.offset = number(object, "offset");
        entry.verdict.isAccepted = !object.contains("error");
        if (!entry.verdict.isAccepted) {
            const auto error = json::value_to<int>(object.at("error"));
            if (error < 0 || error > static_cast<int>(ConfigurationError::Unconfirmed))
                throw std::invalid_argument("unknown error code");
            entry.verdict.error = static_cast<ConfigurationError>(error);
            entry.verdict.explanation = text(object, "explanation");
        }
        entry.kind = internal::kindFromName(text(object, "kind"));
        entry.preset = text(object, "preset");
        entry.sectionCount = json::value_to<std::size_t>(object.at("section_count"));
        entry.sections = json::value_to<std::vector<std::string>>(object.at("sections"));
        return entry;
    }
};

std::string ConfigurationState::snapshot() const
{
    return json::serialize(ConfigurationSnapshotCodec::encode(*this));
}

boost::leaf::result<bool> ConfigurationState::restore(std::string_view snapshot)
{
    ConfigurationState restored;
    try {
        const auto value = json::parse({ snapshot.data(), snapshot.size() });
        restored = ConfigurationSnapshotCodec::decode(value.as_object());
    } catch (const std::exception&) {
        return boost::leaf::new_error(ConfigurationError::MalformedRecord);
    }
    if (restored.next <= this->next)
        return false;
    BOOST_LEAF_CHECK(ConfigurationSnapshotCodec::makeTypedPresets(restored));
    *this = std::move(restored);
    return true;
}

}
