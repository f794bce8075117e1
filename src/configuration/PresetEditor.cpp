#include "configuration/PresetEditor.h"

#include <algorithm>
#include <charconv>
#include <ranges>

#include "configuration/PresetSchema.h"

namespace marigoldpaddle::internal {

namespace {

constexpr std::string_view LimitsSection = "limits";
constexpr std::string_view WorkspacePrefix = "workspace ";
constexpr std::string_view ModelPrefix = "model ";
constexpr std::string_view ServicePrefix = "service ";
constexpr std::string_view ClassPrefix = "class ";
constexpr std::size_t KeyDigestLength = 64;

// The part of the section name that follows the prefix. Empty if the section has another prefix.
std::optional<std::string> nameAfterPrefix(std::string_view prefix, std::string_view section)
{
    if (!section.starts_with(prefix))
        return std::nullopt;
    return std::string { section.substr(prefix.size()) };
}

std::string valueOf(const PresetSection& section, std::string_view key, std::string_view sectionPattern)
{
    const auto found = section.find(key);
    if (found != section.end())
        return found->second;
    const auto specification = std::ranges::find_if(
        presetSpecifications(), [&](const auto& each) { return each.key == key && each.section == sectionPattern; });
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
    std::vector<std::string> items;
    while (!text.empty() && text != "none") {
        const auto comma = text.find(',');
        items.emplace_back(text.substr(0, comma));
        text = comma == std::string_view::npos ? std::string_view {} : text.substr(comma + 1);
    }
    return items;
}

ModelSettings modelFrom(std::string name, const PresetSection& values)
{
    ModelSettings model;
    model.name = std::move(name);
    model.version = valueOf(values, "version", "model *");
    model.adapters = splitList(valueOf(values, "adapters", "model *"));
    return model;
}

ServiceSettings serviceFrom(std::string name, const PresetSection& values)
{
    ServiceSettings service;
    service.name = std::move(name);
    service.keyWindow = durationOf(values, "key_window_ms", "service *");
    return service;
}

PromptClass classFrom(std::string name, const PresetSection& values)
{
    return { std::move(name), static_cast<std::uint64_t>(numberOf(values, "maximum_tokens", "class *")) };
}

bool isKeyDigest(std::string_view text)
{
    const auto isHexDigit = [](char each) {
        return (each >= '0' && each <= '9') || (each >= 'a' && each <= 'f');
    };
    return text.size() == KeyDigestLength && std::ranges::all_of(text, isHexDigit);
}

}

PresetEditor::PresetEditor(Preset preset, std::string_view file)
    : preset(std::move(preset))
    , file(file)
{
}

void PresetEditor::remove(std::string_view section, const PresetSection& values)
{
    if (section == LimitsSection)
        this->setLimits({});
    else if (nameAfterPrefix(WorkspacePrefix, section))
        this->preset.workspacesByKeyDigest.erase(valueOf(values, "key_sha256", "workspace *"));
    else if (const auto model = nameAfterPrefix(ModelPrefix, section))
        this->preset.models.erase(*model);
    else if (const auto service = nameAfterPrefix(ServicePrefix, section))
        this->preset.services.erase(*service);
    else if (const auto promptClass = nameAfterPrefix(ClassPrefix, section))
        std::erase_if(this->preset.promptClasses, [&](const auto& each) { return each.name == *promptClass; });
}

void PresetEditor::add(std::string_view section, const PresetSection& values)
{
    if (section == LimitsSection)
        this->setLimits(values);
    else if (section.starts_with(WorkspacePrefix))
        this->addWorkspace(section, values);
    else if (auto model = nameAfterPrefix(ModelPrefix, section))
        this->preset.models.insert_or_assign(*model, modelFrom(*model, values));
    else if (auto service = nameAfterPrefix(ServicePrefix, section))
        this->preset.services.insert_or_assign(*service, serviceFrom(*service, values));
    else if (auto promptClass = nameAfterPrefix(ClassPrefix, section))
        this->preset.promptClasses.push_back(classFrom(std::move(*promptClass), values));
}

std::vector<std::string> PresetEditor::finish()
{
    auto& classes = this->preset.promptClasses;
    std::ranges::sort(classes, [](const auto& left, const auto& right) {
        return std::tie(left.maximumTokens, left.name) < std::tie(right.maximumTokens, right.name);
    });
    const auto duplicate = std::ranges::adjacent_find(classes, {}, &PromptClass::maximumTokens);
    if (duplicate != classes.end())
        this->faults.push_back(std::string { this->file } + ": [class " + std::next(duplicate)->name
            + "] maximum_tokens = " + std::to_string(duplicate->maximumTokens) + ": must differ from that of [class "
            + duplicate->name + "]");
    if (this->preset.defaultAllowedTime > this->preset.maximumAllowedTime)
        this->faults.push_back(
            std::string { this->file } + ": [limits] default_allowed_ms: must not be above maximum_allowed_ms");
    return std::move(this->faults);
}

Preset PresetEditor::takePreset()
{
    return std::move(this->preset);
}

void PresetEditor::setLimits(const PresetSection& values)
{
    this->preset.defaultAllowedTime = durationOf(values, "default_allowed_ms", LimitsSection);
    this->preset.maximumAllowedTime = durationOf(values, "maximum_allowed_ms", LimitsSection);
    this->preset.retryBudget = numberOf(values, "retry_budget", LimitsSection);
}

void PresetEditor::addWorkspace(std::string_view section, const PresetSection& values)
{
    WorkspaceSettings workspace;
    workspace.name = section.substr(WorkspacePrefix.size());
    workspace.weight = numberOf(values, "weight", "workspace *");
    const auto digest = valueOf(values, "key_sha256", "workspace *");
    const auto place = std::string { this->file } + ": [" + std::string { section } + "] key_sha256 = " + digest;
    if (!isKeyDigest(digest))
        this->faults.push_back(place + ": must be 64 lower-case hexadecimal digits");
    const auto other = this->preset.workspacesByKeyDigest.find(digest);
    if (other != this->preset.workspacesByKeyDigest.end())
        this->faults.push_back(place + ": is also the key of [workspace " + other->second.name + "]");
    else
        this->preset.workspacesByKeyDigest.emplace(digest, std::move(workspace));
}

}
