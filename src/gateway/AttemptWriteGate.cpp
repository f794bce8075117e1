#include "gateway/AttemptWriteGate.h"

namespace marigoldpaddle {

AttemptWriteGate::AttemptWriteGate(GatewayRequest& request, unsigned attempt)
    : request(request)
    , attempt(attempt)
{
}

bool AttemptWriteGate::mayWrite()
{
    this->request.handle(TargetConnected { this->attempt });
    if (!std::holds_alternative<WriteRequest>(this->request.pendingCommand()))
        return false;
    this->request.takePendingCommand();
    return true;
}

}
