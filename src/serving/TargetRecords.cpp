#include "serving/TargetRecords.h"

#include <algorithm>
#include <exception>
#include <iterator>
#include <ranges>
#include <utility>

#include <xxhash.h>

namespace marigoldpaddle {

namespace {

// Bounds the memory that another writer's records take, to some 3 MB.
constexpr std::size_t MaximumRememberedRejections = 65'536;

// Zero for a registration that cannot be decoded: it names no target.
std::uint64_t fingerprint(const std::optional<TargetEntry>& entry)
{
    if (!entry)
        return 0;
    constexpr char Separator = '\0';
    std::string text;
    for (const std::string_view part : { std::string_view { entry->id }, std::string_view { entry->service },
             std::string_view { entry->address }, std::string_view { entry->availabilityZone } })
        (text += part) += Separator;
    text += std::to_string(entry->incarnation) + Separator + std::to_string(entry->slots) + Separator
        + (entry->isLeaving ? 'l' : 'r');
    return XXH3_64bits(text.data(), text.size());
}

// An exception of the decoder concerns this registration only.
std::optional<TargetEntry> decodeTarget(const RecordDecoder& decoder, const KeyedRecord& record, std::string& problem)
{
    try {
        auto entry = decoder.target(record, problem);
        if (!entry && problem.empty())
            problem = "cannot be decoded";
        return entry;
    } catch (const std::exception& failure) {
        problem = failure.what();
        return std::nullopt;
    }
}

std::uint64_t hash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

}

TargetRecords::TargetRecords(const RecordDecoder& decoder)
    : decoder(decoder)
{
}

std::vector<TargetRecords::Change> TargetRecords::apply(const std::vector<KeyedRecord>& records, bool isComplete)
{
    std::map<std::string_view, const KeyedRecord*> newest;
    for (const auto& record : records)
        newest[record.key] = &record;
    std::vector<KeyedRecord> removals;
    if (isComplete) {
        this->forgetRejectionsExcept(newest);
        for (const auto& [key, value] : this->held) {
            if (!newest.contains(key))
                removals.push_back({ key, std::nullopt });
        }
    }
    for (const auto& removal : removals)
        newest[removal.key] = &removal;

    std::vector<Change> changes;
    for (const auto& [key, record] : newest) {
        std::string problem;
        std::optional<TargetEntry> entry;
        if (record->value && !this->isKnownRejection(*record))
            entry = decodeTarget(this->decoder, *record, problem);
        const auto found = this->held.find(key);
        const bool wasHeld = found != this->held.end();
        const auto previous = wasHeld ? found->second.fingerprint : 0;
        const auto next = fingerprint(entry);
        if (entry)
            this->held.insert_or_assign(std::string { key }, Held { *record->value, next });
        else if (wasHeld)
            this->held.erase(found);
        if (!problem.empty())
            this->rememberRejection(*record);
        else if (entry || !record->value)
            this->rejected.erase(hash(key));
        this->combined ^= previous ^ next;
        const bool changesList = previous != next || wasHeld != entry.has_value();
        const bool isCold = entry && entry->warmUpPeriod > Duration::zero();
        if (!changesList && problem.empty() && !isCold)
            continue;
        auto changed = entry ? *record : KeyedRecord { record->key, std::nullopt };
        changes.push_back({ std::move(changed), std::move(entry), std::move(problem), changesList });
    }
    return changes;
}

void TargetRecords::forgetRejectionsExcept(const std::map<std::string_view, const KeyedRecord*>& listed)
{
    std::unordered_map<std::uint64_t, std::uint64_t> kept;
    for (const auto key : listed | std::views::keys) {
        if (const auto known = this->rejected.find(hash(key)); known != this->rejected.end())
            kept.insert(*known);
    }
    this->rejected = std::move(kept);
}

bool TargetRecords::isKnownRejection(const KeyedRecord& record) const
{
    const auto known = this->rejected.find(hash(record.key));
    return known != this->rejected.end() && known->second == hash(*record.value);
}

void TargetRecords::rememberRejection(const KeyedRecord& record)
{
    if (this->rejected.size() < MaximumRememberedRejections || this->rejected.contains(hash(record.key)))
        this->rejected.insert_or_assign(hash(record.key), hash(*record.value));
}

std::vector<KeyedRecord> TargetRecords::all() const
{
    std::vector<KeyedRecord> records;
    std::ranges::transform(this->held, std::back_inserter(records),
        [](const auto& item) { return KeyedRecord { item.first, item.second.value }; });
    return records;
}

std::uint64_t TargetRecords::digest() const
{
    return this->combined;
}

}
