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

// A preset in text form: INI sections of keys and values.
using PresetSection = std::map<std::string, std::string, std::less<>>;
using PresetSections = std::map<std::string, PresetSection, std::less<>>;

// Changes by section name: the new section, or no value if the section is to be removed.
using PresetSectionChanges = std::map<std::string, std::optional<PresetSection>, std::less<>>;

// A class of prompts by length. A prompt belongs to the class with the lowest `maximumTokens` that is not below its own
// token count.
struct PromptClass {
    std::string name;
    std::uint64_t maximumTokens { 0 };
};

struct WorkspaceSettings {
    std::string name;
    double weight { 1 }; // Share of the capacity, relative to the weights of other workspaces.
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

// A preset in validated, typed form.
struct Preset {
    std::string name;
    Duration defaultAllowedTime {}; // Allowed time of requests that do not specify one.
    Duration maximumAllowedTime {}; // Upper bound of the allowed time that a request may specify.
    double retryBudget { 0 }; // Retries per request, from 0 to 1; see RetryLimits::ratio.
    std::vector<PromptClass> promptClasses; // Ascending by maximumTokens.
    CopyOnWriteMap<WorkspaceSettings> workspacesByKeyDigest; // By the SHA-256 of the API key in lower-case hex.
    std::map<std::string, ModelSettings, std::less<>> models;
    std::map<std::string, ServiceSettings, std::less<>> services;
};

// Errors of the configuration layer.
enum class ConfigurationError {
    InvalidPreset, // A section, key or value is invalid; see PresetProblem.
    MalformedRecord,
    Conflict, // A concurrent change conflicts with this one.
    UnknownPreset,
    PresetInForce, // The preset cannot be deleted while it is in force.
    Unavailable, // The log could not be reached.
    Unconfirmed, // The record was appended, but could not be read back.
};

std::string_view name(ConfigurationError error);

struct PresetProblem {
    std::string message; // One line per error: file, section, key, value and allowed range.
};

// Validates sections and creates the typed preset. Fails with ConfigurationError::InvalidPreset and a PresetProblem.
// `file` is used in error messages only.
boost::leaf::result<Preset> makePreset(std::string_view name, const PresetSections& sections, std::string_view file);

// Creates the typed preset that results from applying section changes to `preset`, whose present sections are `before`.
// Validates only the changed sections and their uniqueness constraints: no two workspaces may have the same key, and no
// two classes the same bound. The cost does not depend on the number of sections in the preset. Fails like makePreset.
boost::leaf::result<Preset> changePreset(
    const Preset& preset, const PresetSections& before, const PresetSectionChanges& changes, std::string_view file);

}
