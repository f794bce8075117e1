#include "programs/PresetFiles.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/leaf/handle_errors.hpp>

#include "base/Settings.h"
#include "configuration/PresetSchema.h"
#include "programs/PresetDiff.h"

namespace marigoldpaddle {

namespace {

namespace filesystem = std::filesystem;

std::vector<filesystem::path> sortedEntries(const filesystem::path& directory)
{
    std::error_code failure;
    std::vector<filesystem::path> entries;
    for (const auto& entry : filesystem::directory_iterator { directory, failure })
        entries.push_back(entry.path());
    std::ranges::sort(entries);
    return entries;
}

bool isIniFile(const filesystem::path& path)
{
    return path.extension() == ".ini" && filesystem::is_regular_file(path);
}

// Reads one file and checks its sections on their own.
PresetSections readFile(const filesystem::path& path, std::vector<std::string>& faults)
{
    std::ifstream in { path };
    std::stringstream text;
    text << in.rdbuf();
    if (!in) {
        faults.push_back(path.string() + ": cannot be read");
        return {};
    }
    auto sections = boost::leaf::try_handle_all([&] { return parseIni(text.str(), path.string()); },
        [&](const SettingsProblem& problem) {
            faults.push_back(problem.message);
            return SettingsSections {};
        },
        [&] {
            faults.push_back(path.string() + ": cannot be parsed");
            return SettingsSections {};
        });
    std::ranges::move(checkSettings(sections, presetSpecifications(), path.string()), std::back_inserter(faults));
    return sections;
}

// Reads the files of one preset; a section may stand in one of them only.
PresetSections readGroup(const std::vector<filesystem::path>& files, std::vector<std::string>& faults)
{
    PresetSections sections;
    std::map<std::string, std::string, std::less<>> origins;
    for (const auto& file : files) {
        for (auto& [name, values] : readFile(file, faults)) {
            const auto [origin, isNew] = origins.emplace(name, file.string());
            if (isNew)
                sections.emplace(name, std::move(values));
            else
                faults.push_back(file.string() + ": [" + name + "]: is also in " + origin->second);
        }
    }
    return sections;
}

// Checks what holds between the sections of a preset.
void checkWhole(
    std::string_view name, const PresetSections& sections, std::string_view place, std::vector<std::string>& faults)
{
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(makePreset(name, sections, place));
            return {};
        },
        [&](const PresetProblem& problem) { faults.push_back(problem.message); },
        [&] { faults.push_back(std::string { place } + ": is no valid preset"); });
    const auto parts = splitChanges(differenceOf({}, sections));
    const auto isRecordable = std::ranges::all_of(parts, [&](const auto& part) {
        const ConfigurationChange change { "check", ConfigurationChangeKind::Edit, std::string { name }, 0, part };
        return static_cast<bool>(decodeChange(encodeChange(change)));
    });
    if (!isRecordable)
        faults.push_back(std::string { place }
            + ": cannot be published: names must have 1 to 200 bytes, values at most 65536, all of it UTF-8");
}

void addPreset(
    PresetFiles& all, std::string name, const filesystem::path& place, const std::vector<filesystem::path>& files)
{
    const auto faultsBefore = all.faults.size();
    auto sections = readGroup(files, all.faults);
    if (all.faults.size() == faultsBefore)
        checkWhole(name, sections, place.string(), all.faults);
    if (!all.presets.emplace(name, std::move(sections)).second)
        all.faults.push_back(place.string() + ": there is both a file and a folder of preset " + name);
}

}

PresetFiles readPresetFiles(const std::string& directory)
{
    PresetFiles all;
    for (const auto& path : sortedEntries(directory)) {
        if (isIniFile(path)) {
            addPreset(all, path.stem().string(), path, { path });
        } else if (filesystem::is_directory(path)) {
            auto files = sortedEntries(path);
            std::erase_if(files, [](const auto& each) { return !isIniFile(each); });
            if (!files.empty())
                addPreset(all, path.filename().string(), path, files);
        }
    }
    if (all.presets.empty() && all.faults.empty())
        all.faults.push_back(directory + ": holds no preset; expected NAME.ini, or a folder NAME of .ini files");
    return all;
}

}
