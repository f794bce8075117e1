#include "gateway/Digest.h"

#include <array>
#include <iterator>

#include <boost/algorithm/hex.hpp>
#include <openssl/sha.h>

namespace marigoldpaddle {

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    std::string hex;
    boost::algorithm::hex_lower(digest.begin(), digest.end(), std::back_inserter(hex));
    return hex;
}

}
