#pragma once

#include <cstddef>

#include <marigoldpaddle/Membership.h>

#include "rpc/Codec.h"
#include "rpc/Conversions.h"

// Turns what rides on the membership's messages into records of the wire and back.
namespace marigoldpaddle::internal {

using marigoldpaddle::fromWire;
using marigoldpaddle::toWire;

wire::TargetMark toWire(const TargetLeavingMark& mark);
TargetLeavingMark fromWire(const wire::TargetMark& record);

// Times cross the wire as ages at the moment of sending, since no clock is shared.
wire::CellDigestRecord toWire(const CellReport& report, TimePoint now);
CellReport fromWire(const wire::CellDigestRecord& record, TimePoint now);
wire::ZoneDigestRecord toWire(const ZoneDigest& digest, TimePoint now);
ZoneDigest fromWire(const wire::ZoneDigestRecord& record, TimePoint now);

// Upper bounds of the encoded sizes.
std::size_t encodedBytes(const wire::MemberRecord& record);
std::size_t encodedBytes(const wire::TargetMark& record);
std::size_t encodedBytes(const wire::CellDigestRecord& record);
std::size_t encodedBytes(const wire::ZoneDigestRecord& record);

// Returns whether a record names an instance, its addresses and its zone, and has a known state.
bool isWellFormed(const wire::MemberRecord& record);

}
