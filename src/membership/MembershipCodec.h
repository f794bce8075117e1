#pragma once

#include <cstddef>

#include <marigoldpaddle/Membership.h>

#include "rpc/Codec.h"

// Turns the membership's records into those of the wire and back.
namespace marigoldpaddle::internal {

wire::MemberRecord recordOf(const Member& member);
Member memberOf(const wire::MemberRecord& record);

wire::TargetMark recordOf(const TargetLeavingMark& mark);
TargetLeavingMark markOf(const wire::TargetMark& record);

// Times cross the wire as ages at the moment of sending, since no clock is shared.
wire::CellDigestRecord recordOf(const CellReport& report, TimePoint now);
CellReport reportOf(const wire::CellDigestRecord& record, TimePoint now);
wire::ZoneDigestRecord recordOf(const ZoneDigest& digest, TimePoint now);
ZoneDigest digestOf(const wire::ZoneDigestRecord& record, TimePoint now);

// Upper bounds of the encoded sizes.
std::size_t encodedBytes(const wire::MemberRecord& record);
std::size_t encodedBytes(const wire::TargetMark& record);
std::size_t encodedBytes(const wire::CellDigestRecord& record);
std::size_t encodedBytes(const wire::ZoneDigestRecord& record);

// Returns whether a record names an instance, its addresses and its zone, and has a known state.
bool isWellFormed(const wire::MemberRecord& record);

}
