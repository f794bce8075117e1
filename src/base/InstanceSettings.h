#pragma once

#include <span>
#include <string>
#include <vector>

#include <marigoldpaddle/Identifiers.h>

#include "base/Settings.h"

namespace marigoldpaddle {

// The identity of an instance, from the section [instance] that every program of the instance has in its settings.
struct InstanceSettings {
    InstanceId id;
    std::string availabilityZone;
};

// Returns the specifications of [instance], followed by those of the program.
std::vector<SettingSpecification> withInstanceSettings(std::span<const SettingSpecification> own);

// Reads [instance]. An incarnation of 0 is replaced by the current time in milliseconds since the epoch, so that a
// later run has a higher incarnation.
InstanceSettings instanceSettingsFrom(const Settings& values);

}
