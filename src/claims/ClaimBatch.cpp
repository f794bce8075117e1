#include <marigoldpaddle/ClaimLedger.h>

#include <algorithm>
#include <cstring>

#include <boost/leaf/handle_errors.hpp>
#include <openssl/evp.h>
#include <xxhash.h>

#include "claims/ClaimConversions.h"
#include "rpc/Codec.h"

namespace marigoldpaddle {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t ChecksumBytes = sizeof(XXH64_hash_t);

// Limit of windows and ages, so that they fit into 32 bits of milliseconds.
constexpr std::int64_t MaximumMilliseconds = std::chrono::milliseconds { std::chrono::hours { 24 * 40 } }.count();

std::string toBase64(std::string_view bytes)
{
    constexpr std::size_t BytesPerGroup = 3;
    constexpr std::size_t CharactersPerGroup = 4;
    std::string text((bytes.size() + BytesPerGroup - 1) / BytesPerGroup * CharactersPerGroup + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

// Returns an empty string if the text is not the canonical encoding that `toBase64` produces.
std::string fromBase64(std::string_view text)
{
    if (text.empty() || text.size() > MaximumMessageBytes)
        return {};
    std::string bytes(text.size(), '\0');
    const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    const auto padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
    if (length < padding)
        return {};
    bytes.resize(static_cast<std::size_t>(length - padding));
    return toBase64(bytes) == text ? bytes : std::string {};
}

std::string checksum(std::string_view bytes)
{
    const auto hash = XXH3_64bits(bytes.data(), bytes.size());
    std::string text(ChecksumBytes, '\0');
    std::memcpy(text.data(), &hash, ChecksumBytes);
    return text;
}

// Converts the fields of a decoded record. `isValid` becomes false if one of them is out of range.
class FieldReader {
public:
    ClaimDigest digest(const std::string& bytes)
    {
        ClaimDigest digest {};
        if (bytes.size() == digest.size())
            std::ranges::copy(bytes, digest.begin());
        else
            this->isValid = false;
        return digest;
    }

    std::chrono::milliseconds duration(std::int64_t milliseconds)
    {
        if (milliseconds < 0 || milliseconds > MaximumMilliseconds)
            this->isValid = false;
        return std::chrono::milliseconds { milliseconds };
    }

    std::uint64_t offset(std::int64_t value)
    {
        if (value < 0)
            this->isValid = false;
        return static_cast<std::uint64_t>(value);
    }

    std::uint32_t shard(std::int32_t number)
    {
        if (number < 0 || number >= static_cast<std::int32_t>(ClaimLedger::Shards))
            this->isValid = false;
        return static_cast<std::uint32_t>(number);
    }

    ClaimReference reference(const wire::ClaimReferenceRecord& record)
    {
        return { this->digest(record.key), this->digest(record.request) };
    }

    Claim claim(const wire::ClaimEntryRecord& record)
    {
        Claim claim;
        claim.key = this->digest(record.key);
        claim.body = this->digest(record.body);
        claim.request = this->digest(record.request);
        claim.holder = { record.holder.name, static_cast<std::uint64_t>(record.holder.incarnation) };
        claim.window = this->duration(record.windowMs);
        claim.allowedTime = this->duration(record.allowedMs);
        return claim;
    }

    SettledClaim settled(const wire::ClaimOutcomeRecord& record)
    {
        SettledClaim settled;
        settled.claim = { this->digest(record.key), this->digest(record.request) };
        if (record.__isset.outcome)
            settled.outcome = this->outcome(record.outcome);
        return settled;
    }

    ClaimCheckpoint checkpoint(const wire::ClaimCheckpointRecord& record)
    {
        ClaimCheckpoint checkpoint;
        checkpoint.shard = this->shard(record.shard);
        checkpoint.asOf = this->offset(record.asOf);
        checkpoint.id = static_cast<std::uint64_t>(record.id);
        checkpoint.claimsUpTo = this->offset(record.claimsUpTo);
        checkpoint.part = static_cast<std::uint32_t>(record.part);
        checkpoint.parts = static_cast<std::uint32_t>(record.parts);
        if (checkpoint.part >= checkpoint.parts)
            this->isValid = false;
        for (const auto& entry : record.entries)
            checkpoint.entries.push_back(this->checkpointEntry(entry));
        for (const auto& release : record.releases)
            checkpoint.releases.push_back({ this->digest(release.request), this->offset(release.releasedAt) });
        return checkpoint;
    }

    bool isValid { true };

private:
    CallOutcome outcome(const wire::CallOutcome& record)
    {
        if (record.body.size() > MaximumOutcomeBodyBytes || record.omittedBodyBytes < 0)
            this->isValid = false;
        return outcomeFromWire(record);
    }

    ClaimCheckpointEntry checkpointEntry(const wire::ClaimCheckpointEntryRecord& record)
    {
        ClaimCheckpointEntry entry;
        entry.claim = this->claim(record.claim);
        entry.claimedAt = this->offset(record.claimedAt);
        entry.age = this->duration(record.ageMs);
        entry.state = record.phase == wire::ClaimPhase::Claimed ? ClaimState::Claimed
            : record.phase == wire::ClaimPhase::Completed       ? ClaimState::Completed
                                                                : ClaimState::Unknown;
        if (record.__isset.outcome)
            entry.outcome = this->outcome(record.outcome);
        if ((entry.state == ClaimState::Completed) != entry.outcome.has_value())
            this->isValid = false;
        return entry;
    }
};

std::string bytesOf(const ClaimDigest& digest)
{
    return { digest.begin(), digest.end() };
}

wire::ClaimReferenceRecord toWire(const ClaimReference& reference)
{
    wire::ClaimReferenceRecord record;
    record.key = bytesOf(reference.key);
    record.request = bytesOf(reference.request);
    return record;
}

wire::ClaimEntryRecord toWire(const Claim& claim)
{
    wire::ClaimEntryRecord record;
    record.key = bytesOf(claim.key);
    record.body = bytesOf(claim.body);
    record.request = bytesOf(claim.request);
    record.holder.name = claim.holder.name;
    record.holder.incarnation = static_cast<std::int64_t>(claim.holder.incarnation);
    record.windowMs = std::min(claim.window.count(), MaximumMilliseconds);
    record.allowedMs = std::min(claim.allowedTime.count(), MaximumMilliseconds);
    return record;
}

wire::ClaimOutcomeRecord toWire(const SettledClaim& settled)
{
    wire::ClaimOutcomeRecord record;
    record.key = bytesOf(settled.claim.key);
    record.request = bytesOf(settled.claim.request);
    if (settled.outcome)
        record.__set_outcome(outcomeToWire(*settled.outcome));
    return record;
}

wire::ClaimCheckpointEntryRecord toWire(const ClaimCheckpointEntry& entry)
{
    wire::ClaimCheckpointEntryRecord record;
    record.claim = toWire(entry.claim);
    record.claimedAt = static_cast<std::int64_t>(entry.claimedAt);
    record.ageMs = std::min(entry.age.count(), MaximumMilliseconds);
    record.phase = entry.state == ClaimState::Claimed ? wire::ClaimPhase::Claimed
        : entry.state == ClaimState::Completed        ? wire::ClaimPhase::Completed
                                                      : wire::ClaimPhase::Unknown;
    if (entry.outcome)
        record.__set_outcome(outcomeToWire(*entry.outcome));
    return record;
}

wire::ClaimCheckpointRecord toWire(const ClaimCheckpoint& checkpoint)
{
    wire::ClaimCheckpointRecord record;
    record.shard = static_cast<std::int32_t>(checkpoint.shard);
    record.asOf = static_cast<std::int64_t>(checkpoint.asOf);
    record.id = static_cast<std::int64_t>(checkpoint.id);
    record.claimsUpTo = static_cast<std::int64_t>(checkpoint.claimsUpTo);
    record.part = static_cast<std::int32_t>(checkpoint.part);
    record.parts = static_cast<std::int32_t>(checkpoint.parts);
    std::ranges::transform(
        checkpoint.entries, std::back_inserter(record.entries), [](const auto& entry) { return toWire(entry); });
    for (const auto& release : checkpoint.releases) {
        wire::ClaimReleaseRecord released;
        released.request = bytesOf(release.request);
        released.releasedAt = static_cast<std::int64_t>(release.releasedAt);
        record.releases.push_back(std::move(released));
    }
    return record;
}

ClaimBatch fromWire(const wire::ClaimBatchRecord& record, FieldReader& reader)
{
    ClaimBatch batch;
    batch.readUpTo = reader.offset(record.readUpTo);
    if (record.__isset.tick)
        batch.tick = ClaimTick { reader.offset(record.tick.anchor), reader.duration(record.tick.elapsedMs) };
    for (const auto& expiry : record.expiries)
        batch.expiries.push_back(reader.reference(expiry));
    for (const auto& release : record.releases)
        batch.releases.push_back(reader.reference(release));
    for (const auto& outcome : record.outcomes)
        batch.outcomes.push_back(reader.settled(outcome));
    for (const auto& claim : record.claims)
        batch.claims.push_back(reader.claim(claim));
    if (record.__isset.checkpoint)
        batch.checkpoint = reader.checkpoint(record.checkpoint);
    for (const auto shard : record.resets)
        batch.resets.push_back(reader.shard(shard));
    return batch;
}

}

std::string_view name(ClaimError error)
{
    switch (error) {
    case ClaimError::MalformedRecord:
        return "malformed_record";
    }
    return "invalid";
}

ClaimDigest claimDigest(std::initializer_list<std::string_view> texts)
{
    std::string joined;
    for (const auto text : texts) {
        joined += std::to_string(text.size()) + ':';
        joined += text;
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash {};
    EVP_Digest(joined.data(), joined.size(), hash.data(), nullptr, EVP_sha256(), nullptr);
    ClaimDigest digest {};
    std::copy_n(hash.begin(), digest.size(), digest.begin());
    return digest;
}

CallOutcome boundedOutcome(CallOutcome outcome)
{
    constexpr std::size_t MaximumContentTypeBytes = 256;
    if (outcome.contentType.size() > MaximumContentTypeBytes)
        outcome.contentType.clear();
    if (outcome.body.size() <= MaximumOutcomeBodyBytes)
        return outcome;
    outcome.omittedBodyBytes = outcome.body.size();
    outcome.body.clear();
    outcome.body.shrink_to_fit();
    return outcome;
}

CallOutcome outcomeFromWire(const wire::CallOutcome& outcome)
{
    return { outcome.status, outcome.contentType, outcome.body, static_cast<std::uint64_t>(outcome.omittedBodyBytes) };
}

wire::CallOutcome outcomeToWire(const CallOutcome& outcome)
{
    wire::CallOutcome record;
    record.status = outcome.status;
    record.contentType = outcome.contentType;
    record.body = outcome.body;
    record.omittedBodyBytes = static_cast<std::int64_t>(outcome.omittedBodyBytes);
    return record;
}

std::string encodeBatch(const ClaimBatch& batch)
{
    wire::ClaimBatchRecord record;
    const auto convert = [](const auto& item) {
        return toWire(item);
    };
    record.readUpTo = static_cast<std::int64_t>(batch.readUpTo);
    if (batch.tick) {
        wire::ClaimTickRecord tick;
        tick.anchor = static_cast<std::int64_t>(batch.tick->anchor);
        tick.elapsedMs = std::min(batch.tick->elapsed.count(), MaximumMilliseconds);
        record.__set_tick(tick);
    }
    std::ranges::transform(batch.expiries, std::back_inserter(record.expiries), convert);
    std::ranges::transform(batch.releases, std::back_inserter(record.releases), convert);
    std::ranges::transform(batch.outcomes, std::back_inserter(record.outcomes), convert);
    std::ranges::transform(batch.claims, std::back_inserter(record.claims), convert);
    if (batch.checkpoint)
        record.__set_checkpoint(toWire(*batch.checkpoint));
    record.resets.assign(batch.resets.begin(), batch.resets.end());
    const auto bytes = encode(record);
    return toBase64(checksum(bytes) + bytes);
}

leaf::result<ClaimBatch> decodeBatch(std::string_view record)
{
    const auto bytes = fromBase64(record);
    if (bytes.size() < ChecksumBytes)
        return leaf::new_error(ClaimError::MalformedRecord);
    const auto body = std::string_view { bytes }.substr(ChecksumBytes);
    if (checksum(body) != std::string_view { bytes }.substr(0, ChecksumBytes))
        return leaf::new_error(ClaimError::MalformedRecord);
    const auto message = decode<wire::ClaimBatchRecord>(body);
    if (!message)
        return leaf::new_error(ClaimError::MalformedRecord);
    FieldReader reader;
    auto batch = fromWire(message.value(), reader);
    if (!reader.isValid)
        return leaf::new_error(ClaimError::MalformedRecord);
    return batch;
}

}
