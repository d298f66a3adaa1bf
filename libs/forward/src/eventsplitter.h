#ifndef MAGNOLIA_FORWARD_EVENTSPLITTER_H
#define MAGNOLIA_FORWARD_EVENTSPLITTER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::forward
{

/**
 * Splits a stream of server-sent events into complete events, to be relayed unchanged.
 *
 * Buffers the bytes of an incomplete event, so that a stream that breaks within an event can resume after the last complete
 * one. Events up to lastId() are dropped, since a resumed stream may repeat them. A value type.
 *
 * @code
 * const std::string_view events = splitter.feed(bytes); // relay these
 * splitter.lastId();
 * @endcode
 */
class EventSplitter
{
public:
    /** @return the events that these bytes complete; valid until the next call. */
    std::string_view feed(std::string_view bytes);

    /** Id of the last complete event with a numeric id; nothing if there was none. */
    std::optional<std::uint64_t> lastId() const
    {
        return lastId_;
    }

    /** Events are missing: an event's id skipped at least one number. */
    bool hasGap() const
    {
        return hasGap_;
    }

    /** Prepares for the stream of another attempt: discards an incomplete event, and keeps lastId(). */
    void resume();

    /** Sets the id of the last event that the caller already has. Called before the first feed(). */
    void startAfter(std::uint64_t id)
    {
        lastId_ = id;
    }

    /** @return true if no incomplete event is buffered. */
    bool isAtBoundary() const
    {
        return partialEvent_.empty();
    }

    /** @return the bytes of the incomplete event. */
    std::size_t bufferedBytes() const
    {
        return partialEvent_.size();
    }

private:
    bool acceptEvent(std::string_view event);
    std::size_t endOfEvent();

    std::string partialEvent_; ///< Bytes of an incomplete event.
    std::size_t lineBegin_ = 0; ///< Where the last line of partialEvent_ begins.
    std::size_t searchedBytes_ = 0; ///< The last line does not end before this position of partialEvent_.
    std::string wholeEvents_;
    std::optional<std::uint64_t> lastId_;
    bool hasGap_ = false;
};

} // namespace magnolia::forward

#endif
