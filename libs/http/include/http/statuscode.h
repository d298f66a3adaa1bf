#ifndef MAGNOLIA_HTTP_STATUSCODE_H
#define MAGNOLIA_HTTP_STATUSCODE_H

namespace magnolia::http
{

/** @return true if answers may have this status (RFC 9110, 15). */
constexpr bool isStatus(int code)
{
    constexpr int First = 100;
    constexpr int Last = 599;
    return code >= First && code <= Last;
}

/** @return true if an answer with this status is the last one to its request. */
constexpr bool isFinalStatus(int code)
{
    constexpr int FirstFinal = 200;
    return isStatus(code) && code >= FirstFinal;
}

} // namespace magnolia::http

#endif
