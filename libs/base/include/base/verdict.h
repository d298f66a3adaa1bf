#ifndef MAGNOLIA_BASE_VERDICT_H
#define MAGNOLIA_BASE_VERDICT_H

#include <cstdint>
#include <string_view>

namespace magnolia
{

/**
 * Says whether a request may have run at its endpoint.
 *
 * Every failure carries one. Only NotRun may be dispatched again, and only NotRun may be told to a caller as "not run".
 */
enum class Verdict : std::uint8_t {
    NotRun, ///< It is proved that the endpoint never began the request, and never will.
    MayHaveRun, ///< Nothing is proved; the endpoint may have run it, or may still run it.
    Ran, ///< The endpoint ran the request.
};

/** @return the name used in headers, logs and JSON: "not-run", "may-have-run" or "ran". */
std::string_view toString(Verdict verdict);

} // namespace magnolia

#endif
