#include "prefixrates.h"

#include <algorithm>

namespace magnolia::policy
{

namespace
{

/** Requests after which all counters are halved. */
constexpr std::uint32_t HalveAfter = 4096;
/** Below this many requests a share means nothing. */
constexpr std::uint32_t EnoughRequests = 64;

} // namespace

double PrefixRates::count(std::uint64_t prefix)
{
    if (++total_ >= HalveAfter) {
        halve();
    }
    auto counter = std::ranges::find(counters_, prefix, &Counter::prefix);
    if (counter == counters_.end()) {
        counter = std::ranges::min_element(counters_, {}, &Counter::count);
        counter->prefix = prefix;
        counter->inherited = counter->count;
    }
    ++counter->count;
    if (total_ < EnoughRequests) {
        return 0;
    }
    return static_cast<double>(counter->count - counter->inherited) / total_;
}

void PrefixRates::halve()
{
    total_ /= 2;
    for (Counter &counter : counters_) {
        counter.count /= 2;
        counter.inherited /= 2;
    }
}

} // namespace magnolia::policy
