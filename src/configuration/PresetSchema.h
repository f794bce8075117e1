#pragma once

#include <span>

#include "base/Settings.h"

namespace marigoldpaddle {

// The sections and keys that a preset may contain, with their ranges and defaults.
std::span<const SettingSpecification> presetSpecifications();

}
