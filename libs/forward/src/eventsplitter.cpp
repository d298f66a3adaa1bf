#include "eventsplitter.h"

#include <charconv>

namespace magnolia::forward
{

namespace
{

/** @return the position after the empty line that ends the first event; npos if the event is incomplete. */
std::size_t endOfEvent(std::string_view bytes)
{
    std::size_t line = 0;
    while (true) {
        const std::size_t end = bytes.find('\n', line);
        if (end == std::string_view::npos) {
            return end;
        }
        const bool isEmpty = end == line || (end == line + 1 && bytes[line] == '\r');
        if (isEmpty) {
            return end + 1;
        }
        line = end + 1;
    }
}

std::optional<std::uint64_t> idOf(std::string_view event)
{
    constexpr std::string_view Field = "id:";
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (!line.starts_with(Field)) {
            continue;
        }
        line.remove_prefix(Field.size());
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::uint64_t id = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
        return parsed.ec == std::errc() ? std::optional(id) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::string_view EventSplitter::feed(std::string_view bytes)
{
    partialEvent_.append(bytes);
    wholeEvents_.clear();
    std::size_t begin = 0;
    while (!hasGap_) {
        const std::string_view left = std::string_view(partialEvent_).substr(begin);
        const std::size_t end = endOfEvent(left);
        if (end == std::string_view::npos) {
            break;
        }
        const std::string_view event = left.substr(0, end);
        begin += end;
        if (acceptEvent(event)) {
            wholeEvents_.append(event);
        }
    }
    partialEvent_.erase(0, begin);
    return wholeEvents_;
}

/** Updates lastId() and hasGap(). @return false if the event must not be relayed. */
bool EventSplitter::acceptEvent(std::string_view event)
{
    const std::optional<std::uint64_t> id = idOf(event);
    if (!id) {
        return true;
    }
    if (lastId_ && *id <= *lastId_) {
        return false; // The caller already has this event.
    }
    if (lastId_ && *id > *lastId_ + 1) {
        hasGap_ = true;
        return false;
    }
    lastId_ = id;
    return true;
}

void EventSplitter::resume()
{
    partialEvent_.clear();
    hasGap_ = false;
}

} // namespace magnolia::forward
