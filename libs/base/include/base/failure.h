#ifndef MAGNOLIA_BASE_FAILURE_H
#define MAGNOLIA_BASE_FAILURE_H

#include "base/errorcode.h"
#include "base/verdict.h"

#include <tl/expected.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <system_error>

namespace magnolia
{

/**
 * What went wrong, and whether the request concerned may have run.
 *
 * A value type; any thread may use its own copy.
 *
 * @code
 * return Failure{.code = ErrorCode::Overloaded, .verdict = Verdict::NotRun, .retryAfter = 2s};
 * @endcode
 */
struct Failure {
    std::error_code code;
    Verdict verdict = Verdict::MayHaveRun;
    std::string detail; ///< One sentence for a person; never a secret.
    std::optional<std::chrono::milliseconds> retryAfter; ///< Set where a later try makes sense.
};

/** Either a value or the Failure that came instead of it. */
template<typename T>
using Result = tl::expected<T, Failure>;

/** Shorthand for returning a Failure from a function that returns a Result. */
inline tl::unexpected<Failure> fail(ErrorCode code, Verdict verdict, std::string detail = {})
{
    return tl::unexpected<Failure>(Failure{.code = code, .verdict = verdict, .detail = std::move(detail), .retryAfter = {}});
}

} // namespace magnolia

#endif
