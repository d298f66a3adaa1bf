#include "decodecheck.h"

#include <cstddef>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer gives the name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    magnolia::wire::checkDecode({data, size});
    return 0;
}
