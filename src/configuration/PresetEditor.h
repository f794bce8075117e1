#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Preset.h>

namespace marigoldpaddle::internal {

// Puts checked sections into a typed preset and takes them out again, and collects what contradicts other sections.
class PresetEditor {
public:
    // `file` is used in messages only.
    PresetEditor(Preset preset, std::string_view file);

    // Takes out what a section with these values had put in. All removals come before the first addition.
    void remove(std::string_view section, const PresetSection& values);

    void add(std::string_view section, const PresetSection& values);

    // Checks what holds between sections. One message per fault.
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
