#ifndef MAGNOLIA_BASE_STATEDINCARNATION_H
#define MAGNOLIA_BASE_STATEDINCARNATION_H

#include <algorithm>
#include <cstdint>
#include <optional>

namespace magnolia
{

/**
 * The run of an engine to which a statement belongs: the start of the run in Unix milliseconds, if the statement names it.
 *
 * Engines may name it in some statements and omit it in others. A statement without it may be of any run, so it is neither earlier than nor of another run
 * than any other statement. A value type.
 *
 * @code
 * if (counts.incarnation.isEarlierThan(state.incarnation)) { return; } // a late answer of the previous run
 * @endcode
 */
class StatedIncarnation
{
public:
    /** Not stated. */
    StatedIncarnation() = default;
    explicit StatedIncarnation(std::uint64_t startedAtMs) : startedAtMs_(startedAtMs) {}

    bool isKnown() const
    {
        return startedAtMs_.has_value();
    }

    /** @return the start of the run in Unix milliseconds; nothing if it was not stated. */
    std::optional<std::uint64_t> startedAtMs() const
    {
        return startedAtMs_;
    }

    /** Whether both are known, and this one is of an earlier run. */
    bool isEarlierThan(const StatedIncarnation &other) const
    {
        return isKnown() && other.isKnown() && *startedAtMs_ < *other.startedAtMs_;
    }

    /** Whether both are known, and of different runs. */
    bool isOtherRunThan(const StatedIncarnation &other) const
    {
        return isKnown() && other.isKnown() && *startedAtMs_ != *other.startedAtMs_;
    }

    /** @return the later one; a known one if the other is not. */
    static StatedIncarnation laterOf(const StatedIncarnation &one, const StatedIncarnation &other)
    {
        return StatedIncarnation(std::max(one.startedAtMs_, other.startedAtMs_));
    }

    /** Equal only if both are known with the same value, or both unknown; use isOtherRunThan() to compare runs. */
    bool operator==(const StatedIncarnation &) const = default;

private:
    explicit StatedIncarnation(std::optional<std::uint64_t> startedAtMs) : startedAtMs_(startedAtMs) {}

    std::optional<std::uint64_t> startedAtMs_;
};

} // namespace magnolia

#endif
