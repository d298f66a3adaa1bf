#ifndef MAGNOLIA_FORWARD_EVENTSPLITTER_H
#define MAGNOLIA_FORWARD_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::forward
{

/**
 * Cuts a stream of server-sent events into whole events, for passing them on unchanged.
 *
 * Keeps the bytes of an event that is not whole yet, so that a stream that breaks off within an event can go on behind the
 * last whole one. After resumeAfter() events up to that id are dropped, since the new run may repeat them. A value type.
 *
 * @code
 * const std::string_view whole = cutter.feed(bytes); // pass on, then
 * cutter.lastId();
 * @endcode
 */
class EventSplitter
{
public:
    /** @return the whole events that the bytes end; valid until the next call. */
    std::string_view feed(std::string_view bytes);

    /** Id of the last whole event that had a number for one; nothing if none had. */
    std::optional<std::uint64_t> lastId() const
    {
        return lastId_;
    }

    /** A piece of the stream is missing: an event's number is higher than the next one's. */
    bool hasGap() const
    {
        return hasGap_;
    }

    /** Another run begins behind the last whole event. */
    void resume();

    /** Sets the last id before the first event, from what the caller already has. */
    void startAfter(std::uint64_t id)
    {
        lastId_ = id;
    }

    /** @return true if no event has been cut short. */
    bool isAtBoundary() const
    {
        return partialEvent_.empty();
    }

private:
    bool acceptEvent(std::string_view event);

    std::string partialEvent_; ///< Of an event that is not whole.
    std::string wholeEvents_;
    std::optional<std::uint64_t> lastId_;
    bool hasGap_ = false;
};

} // namespace magnolia::forward

#endif
