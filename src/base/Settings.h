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

// Errors of loading settings. The accompanying SettingsProblem has the message, which names the file and, where they
// apply, the section, key, value and allowed range.
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

// Describes one key: its type, its range and its default value.
struct SettingSpecification {
    std::string_view section; // A trailing " *" matches any name, e.g. "workspace *".
    std::string_view key;
    SettingKind kind { SettingKind::Text };
    double minimum { 0 }; // Of Integer, Real and Milliseconds; inclusive.
    double maximum { 0 }; // Of Integer, Real and Milliseconds; inclusive.
    std::optional<std::string_view> defaultValue; // A key without a default is required.
    std::string_view description;
};

using SettingsSection = std::map<std::string, std::string, std::less<>>;
using SettingsSections = std::map<std::string, SettingsSection, std::less<>>;

// Parses INI text. `file` is used in messages only. Fails with SettingsError::Malformed and SettingsProblem.
boost::leaf::result<SettingsSections> parseIni(std::string_view text, std::string_view file);

// Checks every section, key and value against the specifications. Returns one message for each error, which names file,
// section, key, value and allowed range, or for an unknown name the most similar known one. The texts are stored data:
// they become explanations of refused configuration changes, which builds of all versions must write identically into
// snapshots and checkpoints, so they must not change.
std::vector<std::string> checkSettings(
    const SettingsSections& sections, std::span<const SettingSpecification> specifications, std::string_view file);

// Validated settings of one program. Keys that the file does not set have their default values.
class Settings {
public:
    // Reads, parses and checks a file. Fails with SettingsError and SettingsProblem.
    static boost::leaf::result<Settings> load(
        const std::string& path, std::span<const SettingSpecification> specifications);

    // Parses and checks INI text. `file` is used in messages only. Fails with SettingsError and SettingsProblem.
    static boost::leaf::result<Settings> parse(
        std::string_view text, std::string_view file, std::span<const SettingSpecification> specifications);

    // Return the value of a key, which must have the type that the accessor returns. A section or key that is neither
    // set nor specified with a default throws std::out_of_range.
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
