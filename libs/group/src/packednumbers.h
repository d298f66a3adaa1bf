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
 * Packs small integers into few bytes: variable-length integers (LEB128), compressed with deflate.
 *
 * The coordinator exchanges expert maps and counts with every agent of a group over one slow network interface. A value type.
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

    /** @return the packed form of all numbers put so far. */
    std::string packed() const;

private:
    std::string bytes_;
};

/** Reads what a PackedWriter wrote. A value type. */
class PackedReader
{
public:
    /** @return a failure if the bytes are not packed numbers or exceed the size limit. */
    static Result<PackedReader> open(std::string_view packed);

    /** @return the next number, or 0 after a read error; see isComplete(). */
    std::uint64_t read();

    /** Reads the number of elements that follow. It is an error if fewer bytes are left than elements. */
    std::size_t readSize();

    /** Reads the next number, which must be below a bound. */
    std::uint64_t readBelow(std::uint64_t bound);

    /** Whether all reads succeeded and no bytes are left. */
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
