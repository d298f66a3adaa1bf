#ifndef MAGNOLIA_FORWARD_OWNANSWER_H
#define MAGNOLIA_FORWARD_OWNANSWER_H

#include "base/clock.h"
#include "base/verdict.h"
#include "forward/protocol.h"
#include "http/messageparser.h"

#include <optional>
#include <string>
#include <string_view>

namespace magnolia::forward
{

/** What this entry itself tells a caller, in place of an endpoint's answer. */
struct OwnAnswer {
    int status = 0;
    std::optional<Duration> retryAfter{};
    std::string_view cause{};
    Verdict verdict = Verdict::NotRun;
    std::string_view requestId{}; ///< Empty if the request has none.
};

http::HeaderList headersOf(const OwnAnswer &answer, const Protocol &protocol);
std::string bodyOf(const OwnAnswer &answer);

} // namespace magnolia::forward

#endif
