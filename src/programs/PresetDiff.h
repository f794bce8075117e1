#pragma once

#include <string>
#include <vector>

#include <boost/json/array.hpp>

#include <marigoldpaddle/ConfigurationState.h>

namespace marigoldpaddle {

// Returns the changes that turn the current sections of a preset into the desired sections.
PresetSectionChanges presetChanges(const PresetSections& current, const PresetSections& desired);

// Returns one line for each changed section or key, e.g. "ordinary: [limits] retry_budget: 0.1 -> 0.2".
std::vector<std::string> describeChanges(
    std::string_view preset, const PresetSections& current, const PresetSectionChanges& changes);

// Returns the changes as JSON: objects with section, change ("added", "removed", "changed") and the new values, if any.
boost::json::array changesToJson(const PresetSections& current, const PresetSectionChanges& changes);

// Splits changes that are too large for one record into several edits. Each section is in exactly one edit.
std::vector<PresetSectionChanges> splitChanges(const PresetSectionChanges& changes);

}
