#include "cborshape.h"

#include <array>
#include <optional>

namespace magnolia::wire
{

namespace
{

// RFC 8949, section 3: the first byte of an item holds its major type and how its length is given.
constexpr unsigned MajorTypeShift = 5;
constexpr unsigned AdditionalMask = 0x1f;
constexpr unsigned FirstLongArgument = 24;
constexpr unsigned LastLongArgument = 27;

enum MajorType : unsigned {
    Unsigned = 0,
    Negative = 1,
    Bytes = 2,
    Text = 3,
    Array = 4,
    Map = 5,
    Tag = 6,
    Simple = 7,
};

struct Head {
    unsigned majorType = 0;
    std::uint64_t argument = 0;
};

class HeadReader
{
public:
    explicit HeadReader(std::span<const std::uint8_t> bytes) : rest_(bytes) {}

    std::optional<Head> next()
    {
        if (rest_.empty()) {
            return std::nullopt;
        }
        const unsigned first = rest_.front();
        rest_ = rest_.subspan(1);
        Head head{.majorType = first >> MajorTypeShift, .argument = first & AdditionalMask};
        if (head.argument < FirstLongArgument) {
            return head;
        }
        if (head.argument > LastLongArgument) {
            return std::nullopt; // reserved, or of indefinite length
        }
        const std::size_t size = std::size_t{1} << (head.argument - FirstLongArgument);
        if (rest_.size() < size) {
            return std::nullopt;
        }
        head.argument = 0;
        for (const std::uint8_t byte : rest_.first(size)) {
            head.argument = (head.argument << 8U) | byte;
        }
        rest_ = rest_.subspan(size);
        return head;
    }

    bool skip(std::uint64_t count)
    {
        if (count > rest_.size()) {
            return false;
        }
        rest_ = rest_.subspan(count);
        return true;
    }

    bool atEnd() const
    {
        return rest_.empty();
    }

    std::size_t left() const
    {
        return rest_.size();
    }

private:
    std::span<const std::uint8_t> rest_;
};

} // namespace

// The JSON library's CBOR reader calls itself for each nested map and array, and for each piece of a string of indefinite
// length without telling its caller. A frame of some million such bytes would end the process by a stack overflow; this
// check comes first and lets only shallow input of definite length through.
bool hasPlainShape(std::span<const std::uint8_t> bytes)
{
    HeadReader reader(bytes);
    std::array<std::uint64_t, MaxNesting + 1> itemsLeft{1}; // per open container; the outermost "container" is the frame
    std::size_t depth = 0;
    while (true) {
        while (itemsLeft[depth] == 0) {
            if (depth == 0) {
                return reader.atEnd();
            }
            --depth;
        }
        --itemsLeft[depth];
        const auto head = reader.next();
        if (!head || head->majorType == Tag) {
            return false;
        }
        if ((head->majorType == Bytes || head->majorType == Text) && !reader.skip(head->argument)) {
            return false;
        }
        if (head->majorType != Array && head->majorType != Map) {
            continue;
        }
        // Each item takes a byte at least, so a greater count cannot be true, and twice it cannot overflow.
        if (head->argument > reader.left() || depth == MaxNesting) {
            return false;
        }
        ++depth;
        itemsLeft[depth] = head->majorType == Map ? head->argument * 2 : head->argument;
    }
}

} // namespace magnolia::wire
