#include <marigoldpaddle/Preset.h>

#include <algorithm>
#include <ranges>

#include <boost/leaf/error.hpp>

#include "base/Text.h"
#include "configuration/PresetEditor.h"
#include "configuration/PresetSchema.h"

namespace marigoldpaddle {

namespace {

constexpr SettingSpecification PresetSpecifications[] = {
    { "limits", "default_allowed_ms", SettingKind::Milliseconds, 100, 3'600'000, "30000",
        "allowed time of a request that does not set one" },
    { "limits", "maximum_allowed_ms", SettingKind::Milliseconds, 100, 86'400'000, "600000",
        "longest allowed time that a caller may request" },
    { "limits", "retry_budget", SettingKind::Real, 0, 1, "0.1", "retries per request" },
    { "class *", "maximum_tokens", SettingKind::Integer, 1, 10'000'000, std::nullopt,
        "largest prompt of the class, in tokens" },
    { "model *", "version", SettingKind::Text, 0, 0, "1", "version that engines load" },
    { "model *", "adapters", SettingKind::Text, 0, 0, "none", "adapters that engines load, separated by commas" },
    { "workspace *", "key_sha256", SettingKind::Text, 0, 0, std::nullopt, "SHA-256 of the bearer key, in hex" },
    { "workspace *", "weight", SettingKind::Real, 0.01, 1000, "1", "share relative to other workspaces" },
    { "service *", "key_window_ms", SettingKind::Milliseconds, 1000, 604'800'000, "86400000",
        "how long an idempotency key is remembered" },
};

PresetSections sectionsSetBy(const PresetSectionChanges& changes)
{
    PresetSections sections;
    for (const auto& [name, section] : changes) {
        if (section)
            sections.emplace(name, *section);
    }
    return sections;
}

Preset emptyPreset(std::string_view name)
{
    Preset preset;
    preset.name = name;
    internal::PresetEditor editor { std::move(preset), name };
    editor.remove("limits", {});
    return editor.takePreset();
}

}

std::span<const SettingSpecification> presetSpecifications()
{
    return PresetSpecifications;
}

std::string_view name(ConfigurationError error)
{
    switch (error) {
    case ConfigurationError::InvalidPreset:
        return "invalid_preset";
    case ConfigurationError::MalformedRecord:
        return "malformed_record";
    case ConfigurationError::Conflict:
        return "conflict";
    case ConfigurationError::UnknownPreset:
        return "unknown_preset";
    case ConfigurationError::PresetInForce:
        return "preset_in_force";
    case ConfigurationError::Unavailable:
        return "unavailable";
    case ConfigurationError::Unconfirmed:
        return "unconfirmed";
    }
    return "invalid";
}

boost::leaf::result<Preset> makePreset(std::string_view name, const PresetSections& sections, std::string_view file)
{
    PresetSectionChanges changes;
    for (const auto& [section, values] : sections)
        changes.emplace(section, values);
    return changePreset(emptyPreset(name), {}, changes, file);
}

boost::leaf::result<Preset> changePreset(
    const Preset& preset, const PresetSections& before, const PresetSectionChanges& changes, std::string_view file)
{
    const auto added = sectionsSetBy(changes);
    auto faults = checkSettings(added, presetSpecifications(), file);
    if (faults.empty()) {
        internal::PresetEditor editor { preset, file };
        for (const auto& [section, values] : changes) {
            const auto old = before.find(section);
            if (old != before.end())
                editor.remove(section, old->second);
        }
        for (const auto& [section, values] : added)
            editor.add(section, values);
        faults = editor.finish();
        if (faults.empty())
            return editor.takePreset();
    }
    return boost::leaf::new_error(ConfigurationError::InvalidPreset, PresetProblem { joinLines(faults) });
}

}
