#include "packednumbers.h"

#include <zlib.h>

#include <new>

namespace magnolia::group
{

namespace
{

constexpr unsigned PayloadBits = 7; // Payload bits in each byte.
constexpr unsigned MaxBits = 64;
constexpr std::uint8_t ContinuationBit = 0x80;

// An agent has a small share of a core, and higher levels save only a few bytes on such short lists.
constexpr int CompressionLevel = Z_BEST_SPEED;

// Limit against corrupt sizes. A map of 128 ranks and 64 sets has about 50,000 numbers.
constexpr std::size_t MaxUnpackedBytes = 4U << 20U;

const Bytef *asBytes(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

} // namespace

void PackedWriter::put(std::uint64_t number)
{
    while (number >= ContinuationBit) {
        bytes_.push_back(static_cast<char>((number & (ContinuationBit - 1U)) | ContinuationBit));
        number >>= PayloadBits;
    }
    bytes_.push_back(static_cast<char>(number));
}

std::string PackedWriter::packed() const
{
    // The unpacked size comes first so that the reader can allocate the buffer.
    PackedWriter header;
    header.put(bytes_.size());
    std::string packed = header.bytes_;
    const std::size_t start = packed.size();
    uLongf size = compressBound(bytes_.size());
    packed.resize(start + size);
    if (compress2(reinterpret_cast<Bytef *>(packed.data() + start), &size, asBytes(bytes_), bytes_.size(), CompressionLevel) != Z_OK) {
        throw std::bad_alloc(); // The buffer has the bound that zlib requires, so running out of memory is the only possible failure.
    }
    packed.resize(start + size);
    return packed;
}

Result<PackedReader> PackedReader::open(std::string_view packed)
{
    PackedReader header;
    header.bytes_ = packed.substr(0, sizeof(std::uint64_t));
    const std::uint64_t size = header.read();
    if (header.isBad_ || size > MaxUnpackedBytes) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, "packed numbers have no size or exceed the size limit");
    }
    PackedReader reader;
    reader.bytes_.resize(size);
    uLongf unpacked = size;
    const std::string_view rest = packed.substr(header.position_);
    const int outcome = uncompress(reinterpret_cast<Bytef *>(reader.bytes_.data()), &unpacked, asBytes(rest), rest.size());
    if (outcome != Z_OK || unpacked != size) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, "packed numbers cannot be decompressed");
    }
    return reader;
}

std::uint64_t PackedReader::read()
{
    std::uint64_t number = 0;
    for (unsigned shift = 0; !isBad_ && shift < MaxBits && position_ < bytes_.size(); shift += PayloadBits) {
        const auto byte = static_cast<std::uint8_t>(bytes_[position_++]);
        number |= static_cast<std::uint64_t>(byte & (ContinuationBit - 1U)) << shift;
        if (byte < ContinuationBit) {
            return number;
        }
    }
    isBad_ = true;
    return 0;
}

std::uint64_t PackedReader::readBelow(std::uint64_t bound)
{
    const std::uint64_t number = read();
    if (number < bound) {
        return number;
    }
    isBad_ = true;
    return 0;
}

std::size_t PackedReader::readSize()
{
    return readBelow(bytes_.size() - position_ + 1);
}

} // namespace magnolia::group
