#include <marigoldpaddle/ConfigurationChange.h>

#include <algorithm>
#include <array>

#include <boost/json.hpp>
#include <boost/leaf/error.hpp>

#include "configuration/SectionJson.h"

namespace marigoldpaddle {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 3> KindNames { "edit", "use", "delete" };

bool isValidName(std::string_view text)
{
    const auto isControl = [](unsigned char each) {
        return each < 0x20 || each == 0x7f;
    };
    return !text.empty() && text.size() <= ConfigurationLimits::NameBytes && std::ranges::none_of(text, isControl);
}

bool isBoundedSection(const PresetSection& section)
{
    return std::ranges::all_of(section, [](const auto& each) {
        return isValidName(each.first) && each.second.size() <= ConfigurationLimits::ValueBytes;
    });
}

bool isBounded(const ConfigurationChange& change)
{
    const auto isBoundedChange = [](const auto& each) {
        return isValidName(each.first) && (!each.second || isBoundedSection(*each.second));
    };
    return isValidName(change.id) && isValidName(change.preset)
        && std::ranges::all_of(change.sections, isBoundedChange);
}

ConfigurationChange changeFrom(const json::object& object)
{
    ConfigurationChange change;
    change.id = json::value_to<std::string>(object.at("id"));
    change.kind = internal::kindFromName(json::value_to<std::string>(object.at("kind")));
    change.preset = json::value_to<std::string>(object.at("preset"));
    change.basedOn = json::value_to<std::uint64_t>(object.at("based_on"));
    for (const auto& [name, section] : object.at("sections").as_object())
        change.sections.emplace(
            name, section.is_null() ? std::nullopt : std::optional { internal::sectionFromJson(section) });
    return change;
}

}

std::string_view name(ConfigurationChangeKind kind)
{
    return KindNames.at(static_cast<std::size_t>(kind));
}

json::object internal::sectionToJson(const PresetSection& section)
{
    json::object object;
    for (const auto& [key, value] : section)
        object.emplace(key, value);
    return object;
}

PresetSection internal::sectionFromJson(const json::value& value)
{
    PresetSection section;
    for (const auto& [key, text] : value.as_object())
        section.emplace(key, json::value_to<std::string>(text));
    return section;
}

ConfigurationChangeKind internal::kindFromName(std::string_view name)
{
    const auto found = std::ranges::find(KindNames, name);
    if (found == KindNames.end())
        throw std::invalid_argument("unknown change kind");
    return static_cast<ConfigurationChangeKind>(found - KindNames.begin());
}

std::string encodeChange(const ConfigurationChange& change)
{
    json::object sections;
    for (const auto& [name, section] : change.sections)
        sections.emplace(name, section ? json::value(internal::sectionToJson(*section)) : json::value());
    return json::serialize(json::object { { "id", change.id }, { "kind", name(change.kind) },
        { "preset", change.preset }, { "based_on", change.basedOn }, { "sections", std::move(sections) } });
}

boost::leaf::result<ConfigurationChange> decodeChange(std::string_view record)
{
    if (record.size() > ConfigurationLimits::RecordBytes)
        return boost::leaf::new_error(ConfigurationError::MalformedRecord);
    try {
        const auto value = json::parse({ record.data(), record.size() });
        auto change = changeFrom(value.as_object());
        if (!isBounded(change))
            return boost::leaf::new_error(ConfigurationError::MalformedRecord);
        return change;
    } catch (const std::exception&) {
        return boost::leaf::new_error(ConfigurationError::MalformedRecord);
    }
}

}
