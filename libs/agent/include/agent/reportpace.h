#ifndef MAGNOLIA_AGENT_REPORTPACE_H
#define MAGNOLIA_AGENT_REPORTPACE_H

#include "base/clock.h"
#include "base/random.h"

#include <cstddef>

namespace magnolia::agent
{

/**
 * How often an agent sends its load report, so that all its links together stay within a budget of bytes.
 *
 * Pure. With few links that is about once a second; with hundreds each link hears less often, and entries weigh an old
 * report less.
 */
class ReportPace
{
public:
    struct Options {
        Duration interval{1000}; ///< While the budget allows it.
        std::size_t bytesPerSecond = 12000; ///< Of all links together; half of what a daemon may spend on control.
    };

    explicit ReportPace(const Options &options) : options_(options) {}

    /** @return the time to the next round of reports, with a fifth of jitter either way. */
    Duration next(std::size_t links, std::size_t reportBytes, Random &random) const;

private:
    Options options_;
};

} // namespace magnolia::agent

#endif
