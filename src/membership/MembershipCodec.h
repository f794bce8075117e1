#pragma once

#include <cstddef>

#include <marigoldpaddle/Membership.h>

#include "rpc/Codec.h"
#include "rpc/Conversions.h"

// Conversions between the types of the membership and their wire records.
namespace marigoldpaddle::internal {

using marigoldpaddle::fromWire;
using marigoldpaddle::toWire;

wire::TargetMark toWire(const TargetLeavingMark& mark);
TargetLeavingMark fromWire(const wire::TargetMark& record);

// Times are sent as ages in milliseconds at the time of sending, since instances share no clock. Ages are limited to
// one hour.
wire::CellDigestRecord toWire(const CellReport& report, TimePoint now);
CellReport fromWire(const wire::CellDigestRecord& record, TimePoint now);
wire::ZoneDigestRecord toWire(const ZoneDigest& digest, TimePoint now);
ZoneDigest fromWire(const wire::ZoneDigestRecord& record, TimePoint now);

// Upper bounds of the encoded sizes in bytes.
std::size_t encodedBytes(const wire::MemberRecord& record);
std::size_t encodedBytes(const wire::TargetMark& record);
std::size_t encodedBytes(const wire::CellDigestRecord& record);
std::size_t encodedBytes(const wire::ZoneDigestRecord& record);

// Returns whether a record has an instance name, an availability zone, a membership address and a known state.
bool isWellFormed(const wire::MemberRecord& record);

}
