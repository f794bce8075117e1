#include "base/Settings.h"

#include "base/Text.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <numeric>
#include <ranges>
#include <sstream>

#include <boost/asio/ip/address.hpp>
#include <boost/leaf/error.hpp>
#include <boost/property_tree/ini_parser.hpp>

namespace marigoldpaddle {

namespace {

bool sectionMatches(std::string_view pattern, std::string_view section)
{
    if (!pattern.ends_with(" *"))
        return pattern == section;
    const auto prefix = pattern.substr(0, pattern.size() - 1);
    return section.starts_with(prefix) && section.size() > prefix.size();
}

std::string formatNumber(double value)
{
    std::ostringstream out;
    out.precision(15);
    out << value;
    return out.str();
}

template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number value {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

bool isAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    boost::system::error_code failure;
    boost::asio::ip::make_address(std::string { text.substr(0, colon) }, failure);
    const auto port = parseNumber<unsigned>(text.substr(colon + 1));
    return !failure && port && *port <= 65535;
}

std::string describeRange(const SettingSpecification& specification)
{
    const auto bounds = formatNumber(specification.minimum) + " to " + formatNumber(specification.maximum);
    switch (specification.kind) {
    case SettingKind::Text:
        return "any text that is not empty";
    case SettingKind::Integer:
        return "a whole number from " + bounds;
    case SettingKind::Real:
        return "a number from " + bounds;
    case SettingKind::Milliseconds:
        return "milliseconds from " + bounds;
    case SettingKind::Flag:
        return "true or false";
    case SettingKind::Address:
        return "IP:port, port 0 to 65535";
    }
    return "";
}

bool isWithin(const SettingSpecification& specification, std::optional<double> value)
{
    return value && std::isfinite(*value) && *value >= specification.minimum && *value <= specification.maximum;
}

bool isValid(const SettingSpecification& specification, std::string_view value)
{
    switch (specification.kind) {
    case SettingKind::Text:
        return !value.empty();
    case SettingKind::Integer:
    case SettingKind::Milliseconds:
        return isWithin(specification, parseNumber<std::int64_t>(value));
    case SettingKind::Real:
        return isWithin(specification, parseNumber<double>(value));
    case SettingKind::Flag:
        return value == "true" || value == "false";
    case SettingKind::Address:
        return isAddress(value);
    }
    return false;
}

std::string unknownKeyMessage(std::string_view file, std::string_view section, std::string_view key,
    std::span<const SettingSpecification> specifications)
{
    std::vector<std::string_view> known;
    for (const auto& specification : specifications) {
        if (sectionMatches(specification.section, section))
            known.push_back(specification.key);
    }
    const auto location = std::string { file } + ": [" + std::string { section } + "] " + std::string { key };
    return location + ": unknown key; the nearest known key is " + std::string { nearestWord(key, known) };
}

std::string unknownSectionMessage(
    std::string_view file, std::string_view section, std::span<const SettingSpecification> specifications)
{
    std::vector<std::string_view> known;
    std::ranges::transform(specifications, std::back_inserter(known), &SettingSpecification::section);
    return std::string { file } + ": [" + std::string { section } + "]: unknown section; the nearest known section is ["
        + std::string { nearestWord(section, known) } + "]";
}

std::string invalidValueMessage(
    std::string_view file, std::string_view section, const SettingSpecification& specification, std::string_view value)
{
    return std::string { file } + ": [" + std::string { section } + "] " + std::string { specification.key } + " = "
        + std::string { value } + ": must be " + describeRange(specification);
}

void checkSection(const std::string& section, const SettingsSection& values,
    std::span<const SettingSpecification> specifications, std::string_view file, std::vector<std::string>& problems)
{
    for (const auto& [key, value] : values) {
        const auto found = std::ranges::find_if(
            specifications, [&](const auto& each) { return each.key == key && sectionMatches(each.section, section); });
        if (found == specifications.end())
            problems.push_back(unknownKeyMessage(file, section, key, specifications));
        else if (!isValid(*found, value))
            problems.push_back(invalidValueMessage(file, section, *found, value));
    }
    for (const auto& specification : specifications) {
        if (sectionMatches(specification.section, section) && !specification.defaultValue
            && !values.contains(specification.key))
            problems.push_back(std::string { file } + ": [" + section + "] " + std::string { specification.key }
                + ": missing; must be " + describeRange(specification));
    }
}

void addDefaults(SettingsSections& sections, std::span<const SettingSpecification> specifications)
{
    for (const auto& specification : specifications) {
        if (!specification.defaultValue)
            continue;
        if (!specification.section.ends_with(" *"))
            sections[std::string { specification.section }].emplace(specification.key, *specification.defaultValue);
        for (auto& [name, values] : sections) {
            if (sectionMatches(specification.section, name))
                values.emplace(specification.key, *specification.defaultValue);
        }
    }
}

// Adds sections without keys, which Boost's INI parser omits: their keys have default values.
void addEmptySections(SettingsSections& sections, std::string_view text)
{
    std::istringstream in { std::string { text } };
    for (std::string line; std::getline(in, line);) {
        const auto end = line.find(']');
        if (line.starts_with('[') && end != std::string::npos)
            sections.try_emplace(line.substr(1, end - 1));
    }
}

}

std::string_view nearestWord(std::string_view word, std::span<const std::string_view> candidates)
{
    const auto distance = [&](std::string_view candidate) {
        std::vector<std::size_t> row(candidate.size() + 1);
        std::iota(row.begin(), row.end(), std::size_t { 0 });
        for (std::size_t i = 0; i < word.size(); ++i) {
            auto diagonal = row[0];
            row[0] = i + 1;
            for (std::size_t j = 0; j < candidate.size(); ++j) {
                const auto replaced = diagonal + (word[i] == candidate[j] ? 0 : 1);
                diagonal = row[j + 1];
                row[j + 1] = std::min({ replaced, row[j] + 1, diagonal + 1 });
            }
        }
        return row.back();
    };
    const auto best = std::ranges::min_element(candidates, {}, distance);
    return best == candidates.end() ? std::string_view {} : *best;
}

boost::leaf::result<SettingsSections> parseIni(std::string_view text, std::string_view file)
{
    boost::property_tree::ptree tree;
    try {
        std::istringstream in { std::string { text } };
        boost::property_tree::read_ini(in, tree);
    } catch (const boost::property_tree::ini_parser_error& failure) {
        return boost::leaf::new_error(SettingsError::Malformed,
            SettingsProblem { std::string { file } + ":" + std::to_string(failure.line()) + ": " + failure.message() });
    }
    SettingsSections sections;
    for (const auto& [section, values] : tree) {
        if (values.empty() && !values.data().empty())
            return boost::leaf::new_error(SettingsError::Malformed,
                SettingsProblem { std::string { file } + ": " + section + ": key is not in a section" });
        for (const auto& [key, value] : values)
            sections[section].emplace(key, value.data());
    }
    addEmptySections(sections, text);
    return sections;
}

std::vector<std::string> checkSettings(
    const SettingsSections& sections, std::span<const SettingSpecification> specifications, std::string_view file)
{
    std::vector<std::string> problems;
    for (const auto& [section, values] : sections) {
        const auto isKnown = std::ranges::any_of(
            specifications, [&](const auto& each) { return sectionMatches(each.section, section); });
        if (isKnown)
            checkSection(section, values, specifications, file, problems);
        else
            problems.push_back(unknownSectionMessage(file, section, specifications));
    }
    for (const auto& specification : specifications) {
        if (!specification.section.ends_with(" *") && !specification.defaultValue
            && !sections.contains(specification.section))
            problems.push_back(std::string { file } + ": [" + std::string { specification.section } + "] "
                + std::string { specification.key } + ": missing; must be " + describeRange(specification));
    }
    return problems;
}

boost::leaf::result<Settings> Settings::load(
    const std::string& path, std::span<const SettingSpecification> specifications)
{
    std::ifstream in { path };
    std::stringstream content;
    content << in.rdbuf();
    if (!in)
        return boost::leaf::new_error(SettingsError::Unreadable, SettingsProblem { path + ": cannot be read" });
    return Settings::parse(content.str(), path, specifications);
}

boost::leaf::result<Settings> Settings::parse(
    std::string_view text, std::string_view file, std::span<const SettingSpecification> specifications)
{
    BOOST_LEAF_AUTO(sections, parseIni(text, file));
    const auto problems = checkSettings(sections, specifications, file);
    if (!problems.empty())
        return boost::leaf::new_error(SettingsError::InvalidValue, SettingsProblem { joinLines(problems) });
    addDefaults(sections, specifications);
    Settings settings;
    settings.sections = std::move(sections);
    return settings;
}

const std::string& Settings::text(std::string_view section, std::string_view key) const
{
    const auto values = this->sections.find(section);
    if (values == this->sections.end())
        throw std::out_of_range("settings have no section " + std::string { section });
    const auto value = values->second.find(key);
    if (value == values->second.end())
        throw std::out_of_range("settings have no key " + std::string { key });
    return value->second;
}

std::int64_t Settings::integer(std::string_view section, std::string_view key) const
{
    return *parseNumber<std::int64_t>(this->text(section, key));
}

double Settings::real(std::string_view section, std::string_view key) const
{
    return *parseNumber<double>(this->text(section, key));
}

Duration Settings::milliseconds(std::string_view section, std::string_view key) const
{
    return std::chrono::milliseconds { this->integer(section, key) };
}

bool Settings::flag(std::string_view section, std::string_view key) const
{
    return this->text(section, key) == "true";
}

}
