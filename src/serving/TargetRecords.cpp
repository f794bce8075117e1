#include "serving/TargetRecords.h"

#include <algorithm>

#include <xxhash.h>

namespace marigoldpaddle {

namespace {

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
        auto entry = record->value ? this->decoder.target(*record, problem) : std::nullopt;
        const auto found = this->held.find(key);
        const auto previous = found == this->held.end() ? 0 : found->second.fingerprint;
        const auto next = fingerprint(entry);
        const bool isKnown = found != this->held.end();
        if (record->value)
            this->held.insert_or_assign(std::string { key }, Held { *record->value, next });
        else if (isKnown)
            this->held.erase(found);
        this->combined ^= previous ^ next;
        if (previous != next || isKnown != record->value.has_value())
            changes.push_back({ *record, std::move(entry) });
    }
    return changes;
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
