#pragma once

#include "base/HttpClient.h"
#include "gateway/GatewayRequest.h"

namespace marigoldpaddle {

// Allows the bytes of an attempt to be written only if the lifecycle of the request still commands it once the target
// is connected. The request may have ended, or its grant expired, while the connection was being established.
class AttemptWriteGate final : public WriteGate {
public:
    AttemptWriteGate(GatewayRequest& request, unsigned attempt);

    bool mayWrite() override;

private:
    GatewayRequest& request;
    unsigned attempt;
};

}
