#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "marigold_types.h"
#include "serving/ConfigurationTransfer.h"
#include "serving/LoadLedger.h"
#include "serving/PlatformStore.h"
#include "serving/ViewFollower.h"
#include "serving/WaitingPrompts.h"

namespace marigoldpaddle {

// Translates between the messages of instances and the types of the serving path. Numbers that a peer cannot mean are
// clamped.

wire::TargetLoadRecord toRecord(std::uint64_t target, const TargetLoad& load);
TargetLoad toLoad(const wire::TargetLoadRecord& record);

// The state of the view that a peer states with a notice.
ViewSummary toSummary(const wire::LoadNotice& notice);

// The sender's most urgent waiting prompt. One whose rank a sender of an earlier build does not state has the default
// rank.
std::optional<PromptUrgency> toUrgency(const wire::LoadNotice& notice, TimePoint now);

std::vector<wire::KeyValueRecord> toWire(std::span<const KeyedRecord> records);
std::vector<KeyedRecord> fromWire(std::span<const wire::KeyValueRecord> records);

wire::ConfigurationPartRequest toWire(const ConfigurationPartRequest& request);
ConfigurationPartRequest fromWire(const wire::ConfigurationPartRequest& request);

wire::ConfigurationPart toWire(const ConfigurationPart& part);
ConfigurationPart fromWire(const wire::ConfigurationPart& part);

}
