#include "decodecheck.h"

#include "wire/codec.h"

#include <cstdlib>

namespace magnolia::wire
{

bool checkDecode(std::span<const std::uint8_t> bytes)
{
    const auto first = decode(bytes);
    if (!first) {
        return false;
    }
    const auto second = decode(encode(*first));
    if (!second || *second != *first) {
        std::abort();
    }
    return true;
}

} // namespace magnolia::wire
