#pragma once

#include <string>
#include <vector>

#include <boost/json/array.hpp>

#include <marigoldpaddle/ConfigurationState.h>

namespace marigoldpaddle {

// What turns the sections of a preset as they are into the sections as they are wanted.
PresetSectionChanges differenceOf(const PresetSections& current, const PresetSections& wanted);

// One line for each key or section that a difference touches, e.g. "ordinary: [limits] retry_budget: 0.1 -> 0.2".
std::vector<std::string> describeDifference(
    std::string_view preset, const PresetSections& current, const PresetSectionChanges& changes);

// The same for scripts: objects of section, change ("added", "removed", "changed") and the new keys and values.
boost::json::array differenceToJson(const PresetSections& current, const PresetSectionChanges& changes);

// Splits an edit whose record would be too large. The parts touch different sections.
std::vector<PresetSectionChanges> splitChanges(const PresetSectionChanges& changes);

}
