#ifndef MAGNOLIA_HTTP_MESSAGEPARSER_H
#define MAGNOLIA_HTTP_MESSAGEPARSER_H

#include "http/headerlist.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace magnolia::http
{

/** The head of a request or an answer. */
struct MessageHead {
    std::string method; ///< Of a request.
    std::string target; ///< Of a request, in origin form.
    int status = 0; ///< Of an answer.
    std::string reason; ///< Reason phrase of an answer.
    HeaderList headers;
    bool keepAlive = false; ///< The sender means to use the connection again.
    bool endsWithConnection = false; ///< An answer without a length: it is whole only if the connection ends in order.
};

/**
 * Reads one HTTP/1.1 message after the other from pieces of any size, by the http-parser library.
 *
 * evhttp holds an answer's bytes back until it knows more than a relay needs to, drops what follows a message, and can't
 * tell an answer that ends with its connection from one that was cut; messages that are passed on are therefore read by
 * this. Stops behind each message, so that whoever uses it sees bytes that nobody asked for. Not thread-safe.
 *
 * @code
 * MessageParser parser(MessageParser::Kind::Request);
 * const std::size_t taken = parser.feed(bytes, [](std::string_view body) { ... });
 * if (parser.isComplete()) { handle(parser.head()); parser.reset(); }
 * @endcode
 */
class MessageParser
{
public:
    enum class Kind : std::uint8_t {
        Request,
        Answer,
    };
    using OnBody = std::function<void(std::string_view piece)>;

    explicit MessageParser(Kind kind);
    ~MessageParser();
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /** @return how many bytes were taken: all, but for those behind the end of a message or behind an error. */
    std::size_t feed(std::string_view bytes, const OnBody &onBody);

    /** The connection ended in order. @return true if that makes the message whole. */
    bool finish();

    /** The next answer is one to HEAD: whatever its headers say, it has no body. */
    void expectNoBody();

    bool hasBegun() const; ///< A byte of the message has been taken.
    bool hasHead() const;
    bool isComplete() const;
    bool isBroken() const; ///< The bytes are no message; nothing more is taken.
    bool isUnsupported() const; ///< The bytes are broken since the framing of the request, which may be well formed, is none that is read here.
    std::size_t headBytes() const; ///< Taken so far for the head, without the body and its framing.
    MessageHead &head();

    /** Begins the next message. */
    void reset();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnolia::http

#endif
