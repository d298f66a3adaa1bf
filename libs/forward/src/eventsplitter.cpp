#include "eventsplitter.h"

#include <charconv>

namespace magnolia::forward
{

namespace
{

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
        const std::size_t end = endOfEvent();
        if (end == std::string::npos) {
            break;
        }
        const std::string_view event = std::string_view(partialEvent_).substr(begin, end - begin);
        begin = end;
        if (acceptEvent(event)) {
            wholeEvents_.append(event);
        }
    }
    partialEvent_.erase(0, begin);
    lineBegin_ -= begin;
    searchedBytes_ -= begin;
    return wholeEvents_;
}

/** @return the position after the empty line that ends the next event; npos if the event is incomplete. Continues where the last search ended. */
std::size_t EventSplitter::endOfEvent()
{
    while (true) {
        const std::size_t end = partialEvent_.find('\n', searchedBytes_);
        if (end == std::string::npos) {
            searchedBytes_ = partialEvent_.size();
            return end;
        }
        const bool isEmpty = end == lineBegin_ || (end == lineBegin_ + 1 && partialEvent_[lineBegin_] == '\r');
        lineBegin_ = end + 1;
        searchedBytes_ = lineBegin_;
        if (isEmpty) {
            return lineBegin_;
        }
    }
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
    lineBegin_ = 0;
    searchedBytes_ = 0;
    hasGap_ = false;
}

} // namespace magnolia::forward
