#ifndef MAGNOLIA_GROUP_PACKEDNUMBERS_H
#define MAGNOLIA_GROUP_PACKEDNUMBERS_H

#include "base/failure.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace magnolia::group
{

/**
 * Packs small whole numbers into few bytes: variable length (LEB128), then deflate.
 *
 * Maps of experts and counts of choices go to or come from every agent of a group over one instance's link, which is slow. A value type.
 *
 * @code
 * PackedWriter writer;
 * writer.put(7);
 * message.map = writer.packed();
 * @endcode
 */
class PackedWriter
{
public:
    void put(std::uint64_t number);

    /** @return all numbers put so far. */
    std::string packed() const;

private:
    std::string bytes_;
};

/** Reads what a PackedWriter wrote. A value type. */
class PackedReader
{
public:
    /** @return a failure if these bytes are no packed numbers, or far more of them than any group needs. */
    static Result<PackedReader> open(std::string_view packed);

    /** @return the next number; 0 once something could not be read, see isWhole(). */
    std::uint64_t read();

    /** The same for a number of things that follow: bad if fewer bytes are left than things. */
    std::size_t readSize();

    /** Takes the next number, which must be below a bound. */
    std::uint64_t readBelow(std::uint64_t bound);

    /** Whether everything taken so far was there, and nothing is left. */
    bool isComplete() const
    {
        return !isBad_ && position_ == bytes_.size();
    }

private:
    std::string bytes_;
    std::size_t position_ = 0;
    bool isBad_ = false;
};

} // namespace magnolia::group

#endif
