#pragma once

#include "base/HttpClient.h"
#include "gateway/GatewayRequest.h"

namespace marigoldpaddle {

// Asks the lifecycle of a request whether it may still be written, once its target is connected.
class SendPermit final : public SendGate {
public:
    SendPermit(GatewayRequest& request, unsigned attempt);

    bool mayWrite() override;

private:
    GatewayRequest& request;
    unsigned attempt;
};

}
