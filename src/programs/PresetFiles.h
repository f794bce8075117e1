#pragma once

#include <map>
#include <string>
#include <vector>

#include <marigoldpaddle/Preset.h>

namespace marigoldpaddle {

// The presets of a directory, and everything that is wrong with them.
struct PresetFiles {
    std::map<std::string, PresetSections, std::less<>> presets;
    std::vector<std::string> faults; // Each names file, section, key, value and allowed range.
};

// Reads and checks every preset of a directory: one NAME.ini each, or a folder NAME that holds its sections in several
// .ini files.
PresetFiles readPresetFiles(const std::string& directory);

}
