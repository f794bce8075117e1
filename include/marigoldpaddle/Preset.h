#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf/result.hpp>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/CopyOnWriteMap.h>

namespace marigoldpaddle {

// A preset as operators write it: INI sections of keys and values.
using PresetSection = std::map<std::string, std::string, std::less<>>;
using PresetSections = std::map<std::string, PresetSection, std::less<>>;

// Sections to replace, and without a value, to remove.
using PresetSectionChanges = std::map<std::string, std::optional<PresetSection>, std::less<>>;

// Prompts up to `maximumTokens` belong to the class, unless a smaller class takes them.
struct PromptClass {
    std::string name;
    std::uint64_t maximumTokens { 0 };
};

struct WorkspaceSettings {
    std::string name;
    double weight { 1 }; // Its share relative to other workspaces.
};

struct ModelSettings {
    std::string name;
    std::string version;
    std::vector<std::string> adapters;
};

struct ServiceSettings {
    std::string name;
    Duration keyWindow {}; // How long an idempotency key is remembered.
};

// The checked, typed form of a preset.
struct Preset {
    std::string name;
    Duration defaultAllowedTime {};
    Duration maximumAllowedTime {};
    double retryBudget { 0 }; // Retries per request, from 0 to 1.
    std::vector<PromptClass> promptClasses; // Ascending by maximumTokens.
    CopyOnWriteMap<WorkspaceSettings> workspacesByKeyDigest; // SHA-256 of the key, lower-case hex.
    std::map<std::string, ModelSettings, std::less<>> models;
    std::map<std::string, ServiceSettings, std::less<>> services;
};

// Errors of the configuration layer.
enum class ConfigurationError {
    InvalidPreset, // A section, key or value is wrong; PresetProblem says which.
    MalformedRecord,
    Conflict, // A section that the change is based on has changed since.
    UnknownPreset,
    PresetInForce, // The preset cannot be deleted while it is in force.
    Unavailable, // The log could not be reached.
    Unconfirmed, // The record was appended and could not be read back.
};

std::string_view name(ConfigurationError error);

struct PresetProblem {
    std::string message; // One line per fault: file, section, key, value and allowed range.
};

// Checks sections and makes the typed preset. Fails with ConfigurationError::InvalidPreset and a PresetProblem.
// `file` is used in messages only.
boost::leaf::result<Preset> makePreset(std::string_view name, const PresetSections& sections, std::string_view file);

// Makes the typed preset that results from changing some sections of one. `before` holds the sections of `preset` as
// they are. Only the changed sections are checked, and what they have in common with others: no two workspaces may
// have one key, no two classes one bound. Costs the same whatever the number of sections. Fails like makePreset.
boost::leaf::result<Preset> changePreset(
    const Preset& preset, const PresetSections& before, const PresetSectionChanges& changes, std::string_view file);

}
