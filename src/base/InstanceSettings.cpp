#include "base/InstanceSettings.h"

#include <algorithm>
#include <chrono>

namespace marigoldpaddle {

namespace {

constexpr SettingSpecification InstanceSpecifications[] = {
    { "instance", "name", SettingKind::Text, 0, 0, std::nullopt,
        "name of the instance in the platform's instance list" },
    { "instance", "zone", SettingKind::Text, 0, 0, std::nullopt, "availability zone of the instance" },
    { "instance", "incarnation", SettingKind::Integer, 0, 9e15, "0",
        "number of this run, higher than that of any earlier run; 0 uses the start time in Unix milliseconds" },
};

std::uint64_t millisecondsSinceEpoch()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

}

std::vector<SettingSpecification> withInstanceSettings(std::span<const SettingSpecification> own)
{
    std::vector<SettingSpecification> all { std::begin(InstanceSpecifications), std::end(InstanceSpecifications) };
    std::ranges::copy(own, std::back_inserter(all));
    return all;
}

InstanceSettings instanceSettingsFrom(const Settings& values)
{
    const auto configured = static_cast<std::uint64_t>(values.integer("instance", "incarnation"));
    return { { values.text("instance", "name"), configured > 0 ? configured : millisecondsSinceEpoch() },
        values.text("instance", "zone") };
}

}
