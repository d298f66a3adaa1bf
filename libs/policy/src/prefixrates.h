#ifndef MAGNOLIA_POLICY_PREFIXRATES_H
#define MAGNOLIA_POLICY_PREFIXRATES_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace magnolia::policy
{

/**
 * Estimates which share of the requests each of the most frequent prefixes has.
 *
 * A fixed table of counters (space saving): a prefix without one takes over the smallest, so that frequent ones are always
 * counted and memory does not grow. Counters are halved from time to time, so that yesterday's prefixes fade.
 */
class PrefixRates
{
public:
    /** Counts one request. @return the share of its prefix, 0 to 1; never too high. */
    double count(std::uint64_t prefix);

private:
    struct Counter {
        std::uint64_t prefix = 0;
        std::uint32_t count = 0;
        std::uint32_t inherited = 0; ///< Counted before this prefix took the counter over.
    };

    void halve();

    static constexpr std::size_t Counters = 64;
    std::array<Counter, Counters> counters_{};
    std::uint32_t total_ = 0;
};

} // namespace magnolia::policy

#endif
