#pragma once

#include <marigoldpaddle/ClaimLedger.h>

#include "marigold_types.h"

namespace marigoldpaddle {

// Convert between an outcome and its form in messages and log records.
CallOutcome outcomeFromWire(const wire::CallOutcome& outcome);
wire::CallOutcome outcomeToWire(const CallOutcome& outcome);

}
