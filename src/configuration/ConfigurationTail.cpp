#include "configuration/ConfigurationTail.h"

#include <algorithm>

#include <boost/leaf/handle_errors.hpp>

#include "configuration/Checkpoint.h"

namespace marigoldpaddle {

namespace {

constexpr std::size_t MaximumTailRecords = 1024;
constexpr std::size_t MaximumTailBytes = 1024 * 1024;

}

bool applyUpdate(ConfigurationState& state, const ConfigurationUpdate& update)
{
    const auto before = state.nextOffset();
    if (update.snapshot) {
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_CHECK(state.restore(*update.snapshot));
                return {};
            },
            [] { /* The state is unchanged, which the caller sees by its offset. */ });
    }
    for (const auto& record : update.records)
        state.apply(record.offset, record.data);
    return state.nextOffset() > before;
}

void ConfigurationTail::add(std::uint64_t offset, std::string_view record)
{
    const auto stored = isCheckpointPart(record) ? checkpointPlaceholder() : record;
    this->bytes += stored.size();
    this->records.push_back({ offset, std::string { stored } });
    while (this->records.size() > MaximumTailRecords || this->bytes > MaximumTailBytes) {
        this->bytes -= this->records.front().data.size();
        this->records.pop_front();
    }
}

void ConfigurationTail::clear()
{
    this->records.clear();
    this->bytes = 0;
}

ConfigurationUpdate ConfigurationTail::updateSince(std::uint64_t knownOffset, const ConfigurationState& state)
{
    ConfigurationUpdate update;
    update.offset = state.nextOffset();
    if (knownOffset >= update.offset)
        return update;
    if (!this->records.empty() && this->records.front().offset <= knownOffset) {
        const auto first = std::ranges::lower_bound(this->records, knownOffset, {}, &LogRecord::offset);
        update.records.assign(first, this->records.end());
        return update;
    }
    if (this->cachedSnapshotOffset != update.offset) {
        this->cachedSnapshot = state.snapshot();
        this->cachedSnapshotOffset = update.offset;
    }
    update.snapshot = this->cachedSnapshot;
    return update;
}

}
