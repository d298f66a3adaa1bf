#include "jsontext.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <unordered_set>

namespace magnolia::manifest
{

namespace
{

/** Follows the parser through the document, to know where it is and which keys it has seen. */
class KeyWatch
{
public:
    KeyWatch(std::size_t maxDepth, ProblemList &problems) : maxDepth_(maxDepth), problems_(problems) {}

    /** @return false to leave the value out. */
    bool onEvent(Json::parse_event_t event, const Json &parsed)
    {
        switch (event) {
        case Json::parse_event_t::object_start:
        case Json::parse_event_t::array_start:
            countItem();
            frames_.emplace_back(event == Json::parse_event_t::array_start);
            if (frames_.size() > maxDepth_) {
                isTooDeep_ = true;
            }
            return !isTooDeep_;
        case Json::parse_event_t::object_end:
        case Json::parse_event_t::array_end:
            frames_.pop_back();
            return true;
        case Json::parse_event_t::key:
            onKey(parsed.get_ref<const std::string &>());
            return true;
        case Json::parse_event_t::value:
            countItem();
            return true;
        }
        return true;
    }

    bool isTooDeep() const
    {
        return isTooDeep_;
    }

private:
    struct Frame {
        explicit Frame(bool array) : isArray(array) {}

        bool isArray;
        std::size_t items = 0;
        std::string key;
        std::unordered_set<std::string> keys;
    };

    void countItem()
    {
        if (!frames_.empty() && frames_.back().isArray) {
            ++frames_.back().items;
        }
    }

    void onKey(const std::string &key)
    {
        if (isTooDeep_) {
            return;
        }
        Frame &frame = frames_.back();
        frame.key = key;
        if (!frame.keys.insert(key).second) {
            problems_.add(place(), "this key stands twice");
        }
    }

    Pointer place() const
    {
        Pointer pointer;
        for (const Frame &frame : frames_) {
            if (frame.isArray) {
                pointer /= frame.items - 1;
            } else {
                pointer /= frame.key;
            }
        }
        return pointer;
    }

    std::size_t maxDepth_;
    ProblemList &problems_;
    std::vector<Frame> frames_;
    bool isTooDeep_ = false;
};

SyntaxError syntaxErrorAt(std::string_view text, std::size_t byte, std::string message)
{
    const std::string_view before = text.substr(0, std::min(byte == 0 ? 0 : byte - 1, text.size()));
    const auto newlines = std::count(before.begin(), before.end(), '\n');
    const std::size_t lastNewline = before.rfind('\n');
    const std::size_t column = lastNewline == std::string_view::npos ? before.size() : before.size() - lastNewline - 1;
    return {.line = static_cast<std::size_t>(newlines) + 1, .column = column + 1, .message = std::move(message)};
}

// The library's messages begin with an id of its own and a position that we give in our own way.
std::string shortened(std::string_view message)
{
    const std::size_t end = message.find(": ");
    return std::string(end == std::string_view::npos ? message : message.substr(end + 2));
}

} // namespace

tl::expected<Json, SyntaxError> parseJson(std::string_view text, std::size_t maxDepth, ProblemList &problems)
{
    KeyWatch watch(maxDepth, problems);
    Json value;
    try {
        value = Json::parse(text, [&watch](int, Json::parse_event_t event, const Json &parsed) { return watch.onEvent(event, parsed); });
    } catch (const Json::parse_error &error) {
        return tl::unexpected(syntaxErrorAt(text, error.byte, shortened(error.what())));
    } catch (const Json::exception &error) {
        // Numbers that no double holds.
        return tl::unexpected(syntaxErrorAt(text, 0, shortened(error.what())));
    }
    if (watch.isTooDeep()) {
        return tl::unexpected(SyntaxError{.line = 1, .column = 1, .message = fmt::format("nested deeper than {} levels", maxDepth)});
    }
    return value;
}

} // namespace magnolia::manifest
