#ifndef MAGNOLIA_ENTRY_STOPSEQUENCE_H
#define MAGNOLIA_ENTRY_STOPSEQUENCE_H

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace magnolia::entry
{

/**
 * The order of a planned stop. Pure.
 *
 * The health check fails first. For the balancer's lag new work still comes and is taken, since nobody else would take
 * it. After that new work is refused as not run, and the process ends when what is in progress has ended.
 */
class StopSequence
{
public:
    enum class Phase : std::uint8_t {
        Serving,
        Lagging, ///< Not ready, but takes what comes.
        Refusing, ///< Takes nothing new.
    };

    explicit StopSequence(Duration lag) : lag_(lag) {}

    /** A stop was asked for; a second time changes nothing. */
    void begin(MonoTime now);

    Phase phase(MonoTime now) const;
    bool isStopping() const
    {
        return begun_.has_value();
    }

    /** @return true when the process may end. @param inProgress answers that are not yet given out whole. */
    bool mayEnd(MonoTime now, std::size_t inProgress) const;

private:
    Duration lag_;
    std::optional<MonoTime> begun_;
};

} // namespace magnolia::entry

#endif
