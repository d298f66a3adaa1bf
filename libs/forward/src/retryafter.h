#ifndef MAGNOLIA_FORWARD_RETRYAFTER_H
#define MAGNOLIA_FORWARD_RETRYAFTER_H

#include "base/clock.h"

namespace magnolia::forward
{

// When a rejected caller should try again, by the cause of the rejection.
constexpr Duration RetryAfterUnavailable{800}; ///< No endpoint accepts work: engines that restart are back after about a second.
constexpr Duration RetryAfterFull{1000}; ///< Streams last one to two seconds.
/** A group that did not recover while its caller waited lacks a rank, which is restarted or replaced within some seconds. */
constexpr Duration RetryAfterGroup{1800};
/** Work in a data centre takes minutes at least; entries learn of its end within this time. */
constexpr Duration RetryAfterEvacuated{5000};
/** Bodies are held for about as long as a request takes. */
constexpr Duration RetryAfterBodies{1000};
constexpr Duration RetryAfterStopping{50}; ///< Other instances accept the request at once.

} // namespace magnolia::forward

#endif
