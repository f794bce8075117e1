#include "configuration/ConfigurationPeers.h"

#include <algorithm>

namespace marigoldpaddle {

RpcConfigurationPeers::RpcConfigurationPeers(RpcClient& client, Duration timeout)
    : client(client)
    , timeout(timeout)
{
}

boost::asio::awaitable<std::optional<ConfigurationUpdate>> RpcConfigurationPeers::fetch(
    std::string peer, std::uint64_t knownOffset)
{
    wire::ConfigurationRequest request;
    request.knownOffset = static_cast<std::int64_t>(knownOffset);
    wire::Payload payload;
    payload.__set_configuration(request);
    auto answer = co_await this->client.call(std::move(peer), std::move(payload), this->timeout);
    if (!answer || !answer.value().__isset.configurationAnswer)
        co_return std::nullopt;
    co_return updateFrom(answer.value().configurationAnswer);
}

std::vector<wire::ConfigurationRecord> wireRecordsFrom(const std::vector<LogRecord>& records)
{
    std::vector<wire::ConfigurationRecord> converted(records.size());
    std::ranges::transform(records, converted.begin(), [](const auto& each) {
        wire::ConfigurationRecord record;
        record.offset = static_cast<std::int64_t>(each.offset);
        record.data = each.data;
        return record;
    });
    return converted;
}

std::vector<LogRecord> recordsFrom(const std::vector<wire::ConfigurationRecord>& records)
{
    std::vector<LogRecord> converted(records.size());
    std::ranges::transform(records, converted.begin(),
        [](const auto& each) { return LogRecord { static_cast<std::uint64_t>(each.offset), each.data }; });
    return converted;
}

wire::ConfigurationAnswer toWire(const ConfigurationUpdate& update)
{
    wire::ConfigurationAnswer answer;
    answer.offset = static_cast<std::int64_t>(update.offset);
    answer.records = wireRecordsFrom(update.records);
    answer.current = update.isCurrent;
    if (update.snapshot)
        answer.__set_snapshot(*update.snapshot);
    if (update.checkpoint) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(update.checkpoint->age);
        answer.__set_checkpointAsOf(static_cast<std::int64_t>(update.checkpoint->asOf));
        answer.__set_checkpointAgeMs(age.count());
    }
    return answer;
}

ConfigurationUpdate updateFrom(const wire::ConfigurationAnswer& answer)
{
    ConfigurationUpdate update;
    update.offset = static_cast<std::uint64_t>(answer.offset);
    update.records = recordsFrom(answer.records);
    update.isCurrent = answer.current;
    if (answer.__isset.snapshot)
        update.snapshot = answer.snapshot;
    if (answer.__isset.checkpointAsOf && answer.__isset.checkpointAgeMs)
        update.checkpoint = { static_cast<std::uint64_t>(answer.checkpointAsOf),
            std::chrono::milliseconds { std::max<std::int64_t>(answer.checkpointAgeMs, 0) } };
    return update;
}

}
