#pragma once

#include <string_view>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <marigoldpaddle/ConfigurationChange.h>

namespace marigoldpaddle::internal {

boost::json::object sectionToJson(const PresetSection& section);

// Throws std::exception if the value is not an object of strings.
PresetSection sectionFromJson(const boost::json::value& value);

// Throws std::invalid_argument if no kind has this name.
ConfigurationChangeKind kindFromName(std::string_view name);

}
