#include "serving/ConfigurationTransfer.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <stdexcept>
#include <utility>

#include <xxhash.h>
#include <zstd.h>

namespace marigoldpaddle {

namespace {

// Higher levels take several times as long on such records and do not make them smaller.
constexpr int CompressionLevel = 1;
constexpr int MinimumWindowLog = 10;
constexpr int MaximumWindowLog = 27;

struct CompressorDeleter {
    void operator()(ZSTD_CCtx* compressor) const
    {
        ZSTD_freeCCtx(compressor);
    }

    void operator()(ZSTD_DCtx* decompressor) const
    {
        ZSTD_freeDCtx(decompressor);
    }
};

std::uint64_t digestOf(std::string_view value)
{
    // Zero means that there is no configuration.
    return std::max<std::uint64_t>(1, XXH3_64bits(value.data(), value.size()));
}

// A window that spans the base and the value, so that equal stretches are found over their whole length.
int windowLog(std::size_t bytes)
{
    return std::clamp(static_cast<int>(std::bit_width(bytes)), MinimumWindowLog, MaximumWindowLog);
}

std::string compress(std::string_view value, std::string_view base)
{
    const std::unique_ptr<ZSTD_CCtx, CompressorDeleter> compressor { ZSTD_createCCtx() };
    ZSTD_CCtx_setParameter(compressor.get(), ZSTD_c_compressionLevel, CompressionLevel);
    ZSTD_CCtx_setParameter(compressor.get(), ZSTD_c_windowLog, windowLog(value.size() + base.size()));
    if (!base.empty())
        ZSTD_CCtx_refPrefix(compressor.get(), base.data(), base.size());
    std::string encoded(ZSTD_compressBound(value.size()), '\0');
    const auto size = ZSTD_compress2(compressor.get(), encoded.data(), encoded.size(), value.data(), value.size());
    if (ZSTD_isError(size))
        throw std::runtime_error { ZSTD_getErrorName(size) };
    encoded.resize(size);
    encoded.shrink_to_fit();
    return encoded;
}

// Empty if the encoding is invalid or does not make up `size` bytes.
std::optional<std::string> decompress(std::string_view encoded, std::string_view base, std::size_t size)
{
    const std::unique_ptr<ZSTD_DCtx, CompressorDeleter> decompressor { ZSTD_createDCtx() };
    ZSTD_DCtx_setParameter(decompressor.get(), ZSTD_d_windowLogMax, MaximumWindowLog);
    if (!base.empty())
        ZSTD_DCtx_refPrefix(decompressor.get(), base.data(), base.size());
    std::string value(size, '\0');
    const auto written
        = ZSTD_decompressDCtx(decompressor.get(), value.data(), value.size(), encoded.data(), encoded.size());
    if (ZSTD_isError(written) || written != size)
        return std::nullopt;
    return value;
}

}

void ConfigurationArchive::add(KeyedRecord record)
{
    const auto digest = digestOf(*record.value);
    this->entries.push_back({ digest, std::move(record) });
    if (this->entries.size() > MaximumRecords)
        this->entries.pop_front();
}

const KeyedRecord* ConfigurationArchive::newest() const
{
    return this->entries.empty() ? nullptr : &this->entries.back().record;
}

std::uint64_t ConfigurationArchive::newestDigest() const
{
    return this->entries.empty() ? 0 : this->entries.back().digest;
}

const KeyedRecord* ConfigurationArchive::find(std::uint64_t digest) const
{
    const auto found = std::ranges::find(this->entries, digest, &Entry::digest);
    return found == this->entries.end() ? nullptr : &found->record;
}

std::optional<ConfigurationPart> ConfigurationArchive::part(const ConfigurationPartRequest& request)
{
    if (this->entries.empty())
        return std::nullopt;
    const auto requested = std::ranges::find(this->entries, request.digest, &Entry::digest);
    const bool isKept = requested != this->entries.end();
    const auto& entry = isKept ? *requested : this->entries.back();
    const auto baseDigest = this->find(request.baseDigest) ? request.baseDigest : 0;
    const auto& encoding = this->encode(entry, baseDigest);
    // The offset refers to the encoding that the receiver knows.
    const bool isSameEncoding = isKept && baseDigest == request.baseDigest && request.offset < encoding.size();
    const auto offset = isSameEncoding ? request.offset : 0;
    return ConfigurationPart { entry.record.key, entry.digest, baseDigest, entry.record.value->size(), encoding.size(),
        offset, encoding.substr(offset, PartBytes) };
}

const std::string& ConfigurationArchive::encode(const Entry& entry, std::uint64_t baseDigest)
{
    const auto isWanted = [&](const Encoding& encoding) {
        return encoding.digest == entry.digest && encoding.baseDigest == baseDigest;
    };
    const auto found = std::ranges::find_if(this->encodings, isWanted);
    if (found != this->encodings.end())
        return found->data;
    const auto* base = this->find(baseDigest);
    auto data = compress(*entry.record.value, base ? std::string_view { *base->value } : std::string_view {});
    this->encodings.push_back({ entry.digest, baseDigest, std::move(data) });
    if (this->encodings.size() > MaximumEncodings)
        this->encodings.pop_front();
    return this->encodings.back().data;
}

ConfigurationPartRequest ConfigurationDownload::nextRequest(const ConfigurationArchive& own) const
{
    if (!this->received.data.empty())
        return { this->received.digest, this->received.baseDigest, this->received.data.size() };
    return { 0, this->isWithoutBase ? 0 : own.newestDigest(), 0 };
}

bool ConfigurationDownload::continues(const ConfigurationPart& part) const
{
    return part.digest == this->received.digest && part.baseDigest == this->received.baseDigest
        && part.encodedSize == this->received.encodedSize && part.offset == this->received.data.size();
}

ConfigurationDownload::State ConfigurationDownload::add(const ConfigurationPart& part, const ConfigurationArchive& own)
{
    if (part.size > MaximumBytes || part.encodedSize > MaximumBytes || part.data.empty()
        || part.data.size() > part.encodedSize)
        return State::Invalid;
    if (this->received.data.empty() && part.offset == 0)
        this->received = part;
    else if (this->continues(part))
        this->received.data += part.data;
    if (this->received.data.empty() || this->received.data.size() < this->received.encodedSize)
        return State::Incomplete;
    auto value = this->decode(own);
    if (!value) {
        this->reset();
        this->isWithoutBase = true;
        return State::Invalid;
    }
    this->complete = KeyedRecord { this->received.key, std::move(value) };
    return State::Complete;
}

std::optional<std::string> ConfigurationDownload::decode(const ConfigurationArchive& own) const
{
    std::string_view base;
    if (this->received.baseDigest != 0) {
        const auto* record = own.find(this->received.baseDigest);
        if (!record)
            return std::nullopt;
        base = *record->value;
    }
    auto value = decompress(this->received.data, base, this->received.size);
    if (value && digestOf(*value) != this->received.digest)
        value.reset();
    return value;
}

KeyedRecord ConfigurationDownload::take()
{
    auto record = std::move(*this->complete);
    this->reset();
    this->isWithoutBase = false;
    return record;
}

std::size_t ConfigurationDownload::receivedBytes() const
{
    return this->received.data.size();
}

void ConfigurationDownload::reset()
{
    this->received = {};
    this->complete.reset();
}

}
