#pragma once

#include <string>

#include <marigoldpaddle/Reasons.h>

#include "base/Http.h"

namespace marigoldpaddle {

// Why a request was refused or has failed, as its caller is told.
struct Problem {
    RefusalReason reason { RefusalReason::MalformedRequest };
    Ran ran { Ran::No };
    Duration retryAfter {}; // Zero: coming back with the same request is of no use.
    std::string detail; // One sentence for people.
};

// Makes the `application/problem+json` answer.
HttpResponse problemResponse(const Problem& problem);

// Returns the same as one JSON object, for a stream that has begun.
std::string problemJson(const Problem& problem);

}
