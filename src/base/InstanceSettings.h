#pragma once

#include <span>
#include <string>
#include <vector>

#include <marigoldpaddle/Identifiers.h>

#include "base/Settings.h"

namespace marigoldpaddle {

// What every program of an instance learns from its settings: [instance] name, zone and incarnation.
struct InstanceSettings {
    InstanceId id;
    std::string availabilityZone;
};

// Returns the keys of [instance], followed by those of the program.
std::vector<SettingSpecification> withInstanceSettings(std::span<const SettingSpecification> own);

// Reads [instance]. An incarnation of 0 becomes the time of this call in milliseconds since the epoch, so that a later
// run has a higher one.
InstanceSettings instanceFrom(const Settings& values);

}
