#ifndef MAGNOLIA_ENGINE_SSEPARSER_H
#define MAGNOLIA_ENGINE_SSEPARSER_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace magnolia::engine
{

/**
 * Splits a byte stream of server-sent events into the data of each event.
 *
 * Takes bytes in pieces of any size. Lines end in LF or CRLF; fields other than "data" and comments are skipped; several
 * data lines of one event are joined by LF. A value type without threads of its own.
 *
 * @code
 * SseParser parser(1U << 20U);
 * const bool ok = parser.feed(bytes, [](std::string_view data) { ... });
 * @endcode
 */
class SseParser
{
public:
    using OnEvent = std::function<void(std::string_view data)>;

    /** @param maxEventBytes maximum size of an event, in bytes. */
    explicit SseParser(std::size_t maxEventBytes);

    /** @return false once an event exceeded the limit; the stream can't be parsed any further then. */
    bool feed(std::string_view bytes, const OnEvent &onEvent);

private:
    void takeLine(std::string_view line, const OnEvent &onEvent);

    std::size_t maxEventBytes_;
    std::string line_; ///< The current line, as far as it was received.
    std::string data_; ///< Data lines of the current event.
    bool hasData_ = false;
};

} // namespace magnolia::engine

#endif
