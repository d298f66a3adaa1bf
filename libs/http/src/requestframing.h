#ifndef MAGNOLIA_HTTP_REQUESTFRAMING_H
#define MAGNOLIA_HTTP_REQUESTFRAMING_H

#include "http/messageparser.h"

#include <cstdint>

namespace magnolia::http
{

/** How the end of a request follows from its head. */
enum class RequestFraming : std::uint8_t {
    NoBody,
    Length,
    Chunks, ///< And no other coding.
    Malformed, ///< Readers may disagree on it.
    Unsupported, ///< Another coding than chunks, or the begin of a tunnel.
};

/** @param isHttp10 the request is in HTTP/1.0, which knows no chunks. */
RequestFraming framingOf(const MessageHead &head, bool isHttp10);

} // namespace magnolia::http

#endif
