#pragma once

#include <marigoldpaddle/ClaimLedger.h>

#include "marigold_types.h"

namespace marigoldpaddle {

// Conversions between an outcome and its wire record.
CallOutcome outcomeFromWire(const wire::CallOutcome& outcome);
wire::CallOutcome outcomeToWire(const CallOutcome& outcome);

}
