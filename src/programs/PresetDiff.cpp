#include "programs/PresetDiff.h"

#include <boost/json.hpp>

#include "configuration/SectionJson.h"

namespace marigoldpaddle {

namespace json = boost::json;

namespace {

// A quarter of the maximum record size, because escaping lengthens keys and values in the encoded record.
constexpr std::size_t MaximumEditBytes = ConfigurationLimits::RecordBytes / 4;

std::size_t sectionBytes(const std::string& name, const std::optional<PresetSection>& section)
{
    auto bytes = name.size();
    for (const auto& [key, value] : section.value_or(PresetSection {}))
        bytes += key.size() + value.size();
    return bytes;
}

void describeKeys(const std::string& location, const PresetSection& before, const PresetSection& after,
    std::vector<std::string>& lines)
{
    for (const auto& [key, value] : after) {
        const auto old = before.find(key);
        if (old == before.end())
            lines.push_back(location + key + ": added " + value);
        else if (old->second != value)
            lines.push_back(location + key + ": " + old->second + " -> " + value);
    }
    for (const auto& [key, value] : before) {
        if (!after.contains(key))
            lines.push_back(location + key + ": removed " + value);
    }
}

}

PresetSectionChanges presetChanges(const PresetSections& current, const PresetSections& desired)
{
    PresetSectionChanges changes;
    for (const auto& [name, section] : desired) {
        const auto found = current.find(name);
        if (found == current.end() || found->second != section)
            changes.emplace(name, section);
    }
    for (const auto& [name, section] : current) {
        if (!desired.contains(name))
            changes.emplace(name, std::nullopt);
    }
    return changes;
}

std::vector<std::string> describeChanges(
    std::string_view preset, const PresetSections& current, const PresetSectionChanges& changes)
{
    std::vector<std::string> lines;
    for (const auto& [name, section] : changes) {
        const auto location = std::string { preset } + ": [" + name + "] ";
        const auto before = current.find(name);
        if (!section)
            lines.push_back(location + "removed");
        else if (before == current.end())
            lines.push_back(location + "added");
        else
            describeKeys(location, before->second, *section, lines);
    }
    return lines;
}

json::array changesToJson(const PresetSections& current, const PresetSectionChanges& changes)
{
    json::array entries;
    for (const auto& [name, section] : changes) {
        json::object entry { { "section", name } };
        entry["change"] = !section ? "removed" : current.contains(name) ? "changed" : "added";
        if (section)
            entry["values"] = internal::sectionToJson(*section);
        entries.push_back(std::move(entry));
    }
    return entries;
}

std::vector<PresetSectionChanges> splitChanges(const PresetSectionChanges& changes)
{
    std::vector<PresetSectionChanges> parts;
    std::size_t bytes = 0;
    for (const auto& [name, section] : changes) {
        const auto size = sectionBytes(name, section);
        if (parts.empty() || bytes + size > MaximumEditBytes) {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += size;
        parts.back().emplace(name, section);
    }
    return parts;
}

}
