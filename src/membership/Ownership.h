#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Identifiers.h>
#include <marigoldpaddle/Member.h>

namespace marigoldpaddle {

// Ownership by rendezvous hashing. Pure functions: the same members, in any order, give the same owner on every
// instance, and a change of one member moves only the keys that this member loses or gains. Leaving and dead members
// own nothing. Returned pointers point into `members`.

// Returns the owner of `key`; null if no member can own.
const Member* rendezvousOwner(std::string_view key, std::span<const Member> members);

// Returns the owner of `key`, followed by the members that take over in turn if those before them fail; at most `count`
// members.
std::vector<const Member*> rendezvousOrder(std::string_view key, std::span<const Member> members, std::size_t count);

// Returns the key under which a cell is owned. Different cells have different keys.
std::string ownershipKey(const CellId& cell);

// Returns the owner of a cell and its successors in rendezvous order, at most `count` members: instances of the cell's
// availability zone, or of all zones if no instance of that zone can own.
std::vector<const Member*> ownersOf(const CellId& cell, std::span<const Member> members, std::size_t count);

// Returns the owner of a cell; null if no member can own.
const Member* ownerOf(const CellId& cell, std::span<const Member> members);

}
