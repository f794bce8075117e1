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

// Reads one file and checks each of its sections separately.
PresetSections readFile(const filesystem::path& path, std::vector<std::string>& problems)
{
    std::ifstream in { path };
    std::stringstream text;
    text << in.rdbuf();
    if (!in) {
        problems.push_back(path.string() + ": cannot be read");
        return {};
    }
    auto sections = boost::leaf::try_handle_all([&] { return parseIni(text.str(), path.string()); },
        [&](const SettingsProblem& problem) {
            problems.push_back(problem.message);
            return SettingsSections {};
        },
        [&] {
            problems.push_back(path.string() + ": cannot be parsed");
            return SettingsSections {};
        });
    std::ranges::move(checkSettings(sections, presetSpecifications(), path.string()), std::back_inserter(problems));
    return sections;
}

// Reads the files of one preset. A section may be in only one of them.
PresetSections readSections(const std::vector<filesystem::path>& files, std::vector<std::string>& problems)
{
    PresetSections sections;
    std::map<std::string, std::string, std::less<>> origins;
    for (const auto& file : files) {
        for (auto& [name, values] : readFile(file, problems)) {
            const auto [origin, isNew] = origins.emplace(name, file.string());
            if (isNew)
                sections.emplace(name, std::move(values));
            else
                problems.push_back(file.string() + ": [" + name + "]: is also in " + origin->second);
        }
    }
    return sections;
}

// Checks the constraints between the sections of a preset, and that the preset can be encoded in log records.
void checkPreset(std::string_view name, const PresetSections& sections, std::string_view location,
    std::vector<std::string>& problems)
{
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(makePreset(name, sections, location));
            return {};
        },
        [&](const PresetProblem& problem) { problems.push_back(problem.message); },
        [&] { problems.push_back(std::string { location } + ": not a valid preset"); });
    const auto parts = splitChanges(presetChanges({}, sections));
    const auto isEncodable = std::ranges::all_of(parts, [&](const auto& part) {
        const ConfigurationChange change { "check", ConfigurationChangeKind::Edit, std::string { name }, 0, part };
        return static_cast<bool>(decodeChange(encodeChange(change)));
    });
    if (!isEncodable)
        problems.push_back(std::string { location }
            + ": cannot be published: names must have 1 to 200 bytes, values at most 65536 bytes, and all text must be "
              "UTF-8");
}

void addPreset(
    PresetFiles& result, std::string name, const filesystem::path& location, const std::vector<filesystem::path>& files)
{
    const auto problemsBefore = result.problems.size();
    auto sections = readSections(files, result.problems);
    if (result.problems.size() == problemsBefore)
        checkPreset(name, sections, location.string(), result.problems);
    if (!result.presets.emplace(name, std::move(sections)).second)
        result.problems.push_back(location.string() + ": there is both a file and a folder for preset " + name);
}

}

PresetFiles readPresetFiles(const std::string& directory)
{
    PresetFiles result;
    for (const auto& path : sortedEntries(directory)) {
        if (isIniFile(path)) {
            addPreset(result, path.stem().string(), path, { path });
        } else if (filesystem::is_directory(path)) {
            auto files = sortedEntries(path);
            std::erase_if(files, [](const auto& each) { return !isIniFile(each); });
            if (!files.empty())
                addPreset(result, path.filename().string(), path, files);
        }
    }
    if (result.presets.empty() && result.problems.empty())
        result.problems.push_back(
            directory + ": contains no preset; expected NAME.ini, or a folder NAME with .ini files");
    return result;
}

}
