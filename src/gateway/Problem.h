#pragma once

#include <string>

#include <marigoldpaddle/Reasons.h>

#include "base/Http.h"

namespace marigoldpaddle {

// Why a request was refused or failed, as reported to its caller.
struct Problem {
    RefusalReason reason { RefusalReason::MalformedRequest };
    ExecutionStatus ran { ExecutionStatus::No };
    Duration retryAfter {}; // Zero if retrying the same request cannot succeed.
    std::string detail; // Human-readable explanation; may be empty.
};

// Returns an HTTP response with an `application/problem+json` body.
HttpResponse problemResponse(const Problem& problem);

// Returns the JSON object of that body, for the error event of a stream that has already begun.
std::string problemJson(const Problem& problem);

}
