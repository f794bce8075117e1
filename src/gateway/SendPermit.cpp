#include "gateway/SendPermit.h"

namespace marigoldpaddle {

SendPermit::SendPermit(GatewayRequest& request, unsigned attempt)
    : request(request)
    , attempt(attempt)
{
}

bool SendPermit::mayWrite()
{
    this->request.handle(TargetConnected { this->attempt });
    if (!std::holds_alternative<WriteRequest>(this->request.nextStep()))
        return false;
    this->request.takeStep();
    return true;
}

}
