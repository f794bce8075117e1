#pragma once

#include <map>
#include <string>
#include <vector>

#include <marigoldpaddle/Preset.h>

namespace marigoldpaddle {

// The presets in a directory and the errors found in them.
struct PresetFiles {
    std::map<std::string, PresetSections, std::less<>> presets;
    std::vector<std::string> problems; // One message each, with file, section, key, value and allowed range.
};

// Reads and checks every preset in a directory. A preset is a file NAME.ini, or a folder NAME whose .ini files together
// contain its sections.
PresetFiles readPresetFiles(const std::string& directory);

}
