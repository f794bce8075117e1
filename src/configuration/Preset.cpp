#include <marigoldpaddle/Preset.h>

#include <algorithm>
#include <charconv>
#include <numeric>

#include <boost/leaf/error.hpp>

#include "configuration/PresetSchema.h"

namespace marigoldpaddle {

namespace {

constexpr std::string_view WorkspacePrefix = "workspace ";
constexpr std::string_view ModelPrefix = "model ";
constexpr std::string_view ServicePrefix = "service ";
constexpr std::string_view ClassPrefix = "class ";

constexpr SettingSpecification PresetSpecifications[] = {
    { "limits", "default_allowed_ms", SettingKind::Milliseconds, 100, 3'600'000, "30000",
        "allowed time of a request that names none" },
    { "limits", "maximum_allowed_ms", SettingKind::Milliseconds, 100, 86'400'000, "600000",
        "longest allowed time that a caller may ask for" },
    { "limits", "retry_budget", SettingKind::Real, 0, 1, "0.1", "retries per request" },
    { "class *", "maximum_tokens", SettingKind::Integer, 1, 10'000'000, std::nullopt,
        "largest prompt of the class, in tokens" },
    { "model *", "version", SettingKind::Text, 0, 0, "1", "version that engines are to load" },
    { "model *", "adapters", SettingKind::Text, 0, 0, "none", "adapters to load, separated by commas" },
    { "workspace *", "key_sha256", SettingKind::Text, 0, 0, std::nullopt, "SHA-256 of the bearer key, in hex" },
    { "workspace *", "weight", SettingKind::Real, 0.01, 1000, "1", "share relative to other workspaces" },
    { "service *", "key_window_ms", SettingKind::Milliseconds, 1000, 604'800'000, "86400000",
        "how long an idempotency key is remembered" },
};

std::string valueOf(const PresetSection& section, std::string_view key, std::string_view sectionPattern)
{
    const auto found = section.find(key);
    if (found != section.end())
        return found->second;
    const auto specification = std::ranges::find_if(
        PresetSpecifications, [&](const auto& each) { return each.key == key && each.section == sectionPattern; });
    return std::string { specification->defaultValue.value_or("") };
}

double numberOf(const PresetSection& section, std::string_view key, std::string_view sectionPattern)
{
    const auto text = valueOf(section, key, sectionPattern);
    double value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

Duration durationOf(const PresetSection& section, std::string_view key, std::string_view sectionPattern)
{
    return std::chrono::milliseconds { static_cast<std::int64_t>(numberOf(section, key, sectionPattern)) };
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> words;
    while (!text.empty() && text != "none") {
        const auto comma = text.find(',');
        words.emplace_back(text.substr(0, comma));
        text = comma == std::string_view::npos ? std::string_view {} : text.substr(comma + 1);
    }
    return words;
}

void addNamedSection(Preset& preset, std::string_view section, const PresetSection& values)
{
    if (section.starts_with(WorkspacePrefix)) {
        WorkspaceSettings workspace;
        workspace.name = section.substr(WorkspacePrefix.size());
        workspace.weight = numberOf(values, "weight", "workspace *");
        preset.workspacesByKeyDigest.emplace(valueOf(values, "key_sha256", "workspace *"), std::move(workspace));
    } else if (section.starts_with(ModelPrefix)) {
        ModelSettings model;
        model.name = section.substr(ModelPrefix.size());
        model.version = valueOf(values, "version", "model *");
        model.adapters = splitList(valueOf(values, "adapters", "model *"));
        preset.models.emplace(model.name, model);
    } else if (section.starts_with(ServicePrefix)) {
        ServiceSettings service;
        service.name = section.substr(ServicePrefix.size());
        service.keyWindow = durationOf(values, "key_window_ms", "service *");
        preset.services.emplace(service.name, service);
    } else if (section.starts_with(ClassPrefix)) {
        preset.promptClasses.push_back({ std::string { section.substr(ClassPrefix.size()) },
            static_cast<std::uint64_t>(numberOf(values, "maximum_tokens", "class *")) });
    }
}

std::string joinLines(std::span<const std::string> lines)
{
    return std::accumulate(lines.begin(), lines.end(), std::string {},
        [](std::string text, const std::string& line) { return text.empty() ? line : text + "\n" + line; });
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
    const auto faults = checkSettings(sections, presetSpecifications(), file);
    if (!faults.empty())
        return boost::leaf::new_error(ConfigurationError::InvalidPreset, PresetProblem { joinLines(faults) });
    Preset preset;
    preset.name = name;
    const auto limits = sections.find("limits");
    const auto& limitValues = limits == sections.end() ? PresetSection {} : limits->second;
    preset.defaultAllowedTime = durationOf(limitValues, "default_allowed_ms", "limits");
    preset.maximumAllowedTime = durationOf(limitValues, "maximum_allowed_ms", "limits");
    preset.retryBudget = numberOf(limitValues, "retry_budget", "limits");
    for (const auto& [section, values] : sections)
        addNamedSection(preset, section, values);
    std::ranges::sort(preset.promptClasses, {}, &PromptClass::maximumTokens);
    return preset;
}

}
