#include "gateway/AttemptSendGate.h"

namespace marigoldpaddle {

AttemptSendGate::AttemptSendGate(GatewayRequest& request, unsigned attempt)
    : request(request)
    , attempt(attempt)
{
}

bool AttemptSendGate::mayWrite()
{
    this->request.handle(TargetConnected { this->attempt });
    if (!std::holds_alternative<WriteRequest>(this->request.pendingCommand()))
        return false;
    this->request.takePendingCommand();
    return true;
}

}
