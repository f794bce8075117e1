#include "rpc/Codec.h"

namespace marigoldpaddle {

std::string_view name(RpcError error)
{
    switch (error) {
    case RpcError::Unreachable:
        return "unreachable";
    case RpcError::NoAnswer:
        return "no_answer";
    case RpcError::Timeout:
        return "timeout";
    case RpcError::Malformed:
        return "malformed";
    }
    return "invalid";
}

}
