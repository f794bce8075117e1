#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Preset.h>

namespace marigoldpaddle::internal {

// Adds validated sections to a typed preset and removes them, and collects conflicts between sections.
class PresetEditor {
public:
    // `file` is used in messages only.
    PresetEditor(Preset preset, std::string_view file);

    // Removes what a section with these values has added. All removals must come before the first addition.
    void remove(std::string_view section, const PresetSection& values);

    void add(std::string_view section, const PresetSection& values);

    // Checks the constraints between sections. Returns one message per fault, including those that add() found.
    std::vector<std::string> finish();

    Preset takePreset();

private:
    void setLimits(const PresetSection& values);
    void addWorkspace(std::string_view section, const PresetSection& values);

    Preset preset;
    std::string_view file;
    std::vector<std::string> faults;
};

}
