#ifndef MAGNOLIA_WIRE_LINKPACING_H
#define MAGNOLIA_WIRE_LINKPACING_H

#include "base/clock.h"

#include <cstddef>

namespace magnolia::wire
{

/**
 * How often the links of one process may be used for control, so that all of them together stay within a budget of bytes.
 *
 * Pure. Shared by all links of a process: each counts itself while it is open, and asks for the spacing when it next
 * sends something. The more links there are, the less often each is used; the sum stays the same.
 *
 * @code
 * LinkOptions options;
 * options.pacing = std::make_shared<LinkPacing>(LinkPacing::Options{.bytesPerSecond = 22'000});
 * @endcode
 */
class LinkPacing
{
public:
    struct Options {
        std::size_t bytesPerSecond = 22'000; ///< For all links together, both ways, with IP and TCP headers; at least 1.
    };

    /** What one exchange costs: a report, the heartbeat that answers it, and the acknowledgement of that. */
    static constexpr std::size_t ExchangeBytes = 240;

    /** Links are not used less often than this, however many there are, so that silence is noticed in bounded time. */
    static constexpr Duration LongestSpacing{6000};

    explicit LinkPacing(const Options &options) : options_(options) {}

    void noteOpened();
    void noteClosed();

    std::size_t links() const
    {
        return links_;
    }

    /** @return the time between two exchanges on one link that the budget allows; 0 to LongestSpacing. */
    Duration spacing() const;

private:
    Options options_;
    std::size_t links_ = 0;
};

} // namespace magnolia::wire

#endif
