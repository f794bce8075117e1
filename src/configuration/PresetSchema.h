#pragma once

#include <span>

#include "base/Settings.h"

namespace marigoldpaddle {

// The keys that a preset may hold.
std::span<const SettingSpecification> presetSpecifications();

}
