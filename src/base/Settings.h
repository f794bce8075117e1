#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf/result.hpp>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// Errors of the settings layer. The accompanying SettingsProblem names file, section, key, value and allowed range.
enum class SettingsError {
    Unreadable,
    Malformed,
    UnknownKey,
    MissingKey,
    InvalidValue,
};

struct SettingsProblem {
    std::string message;
};

enum class SettingKind {
    Text,
    Integer,
    Real,
    Milliseconds,
    Flag, // true or false
    Address, // IP:port
};

// Describes one key: what it may hold and what it holds when it is left out.
struct SettingSpecification {
    std::string_view section; // A trailing " *" stands for any name, e.g. "workspace *".
    std::string_view key;
    SettingKind kind { SettingKind::Text };
    double minimum { 0 }; // Integer, Real and Milliseconds only.
    double maximum { 0 };
    std::optional<std::string_view> defaultValue; // The key is required when absent.
    std::string_view description;
};

using SettingsSection = std::map<std::string, std::string, std::less<>>;
using SettingsSections = std::map<std::string, SettingsSection, std::less<>>;

// Reads INI text into sections. `file` is used in messages only.
boost::leaf::result<SettingsSections> parseIni(std::string_view text, std::string_view file);

// Checks every section, key and value against the specifications. Returns one message for each fault, each naming file,
// section, key, value and allowed range; unknown keys come with the nearest known one.
std::vector<std::string> checkSettings(
    const SettingsSections& sections, std::span<const SettingSpecification> specifications, std::string_view file);

// Checked settings of one program. Values that were left out hold their defaults.
class Settings {
public:
    // Loads and checks a file. Fails with SettingsError and SettingsProblem.
    static boost::leaf::result<Settings> load(
        const std::string& path, std::span<const SettingSpecification> specifications);

    // Checks text that was read elsewhere.
    static boost::leaf::result<Settings> parse(
        std::string_view text, std::string_view file, std::span<const SettingSpecification> specifications);

    // The accessors take sections and keys that the specifications name; anything else throws std::out_of_range.
    const std::string& text(std::string_view section, std::string_view key) const;
    std::int64_t integer(std::string_view section, std::string_view key) const;
    double real(std::string_view section, std::string_view key) const;
    Duration milliseconds(std::string_view section, std::string_view key) const;
    bool flag(std::string_view section, std::string_view key) const;

private:
    SettingsSections sections;
};

// Returns the candidate with the smallest edit distance to `word`; empty if there is none.
std::string_view nearestWord(std::string_view word, std::span<const std::string_view> candidates);

}
