#include "configuration/ConfigurationTail.h"

#include <algorithm>

#include <boost/leaf/handle_errors.hpp>

#include "configuration/Checkpoint.h"

namespace marigoldpaddle {

namespace {

constexpr std::size_t TailRecords = 1024;
constexpr std::size_t TailBytes = 1024 * 1024;

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
            [] { /* The state stays as it is: the caller sees that it did not move. */ });
    }
    for (const auto& record : update.records)
        state.apply(record.offset, record.data);
    return state.nextOffset() > before;
}

void ConfigurationTail::add(std::uint64_t offset, std::string_view record)
{
    const auto kept = isCheckpointPart(record) ? checkpointPlaceholder() : record;
    this->bytes += kept.size();
    this->records.push_back({ offset, std::string { kept } });
    while (this->records.size() > TailRecords || this->bytes > TailBytes) {
        this->bytes -= this->records.front().data.size();
        this->records.pop_front();
    }
}

void ConfigurationTail::clear()
{
    this->records.clear();
    this->bytes = 0;
}

ConfigurationUpdate ConfigurationTail::since(std::uint64_t known, const ConfigurationState& state)
{
    ConfigurationUpdate update;
    update.offset = state.nextOffset();
    if (known >= update.offset)
        return update;
    if (!this->records.empty() && this->records.front().offset <= known) {
        const auto first = std::ranges::lower_bound(this->records, known, {}, &LogRecord::offset);
        update.records.assign(first, this->records.end());
        return update;
    }
    if (this->snapshotOffset != update.offset) {
        this->cachedSnapshot = state.snapshot();
        this->snapshotOffset = update.offset;
    }
    update.snapshot = this->cachedSnapshot;
    return update;
}

}
