#ifndef MAGNOLIA_FORWARD_LOCALANSWER_H
#define MAGNOLIA_FORWARD_LOCALANSWER_H

#include "base/clock.h"
#include "base/verdict.h"
#include "forward/protocol.h"
#include "http/messageparser.h"

#include <optional>
#include <string>
#include <string_view>

namespace magnolia::forward
{

/** An answer that the entry itself generates, in place of one from an endpoint. */
struct LocalAnswer {
    int status = 0;
    std::optional<Duration> retryAfter{};
    std::string_view cause{};
    Verdict verdict = Verdict::NotRun;
    std::string_view requestId{}; ///< Empty if the request has none.
};

http::HeaderList headersOf(const LocalAnswer &answer, const Protocol &protocol);
std::string bodyOf(const LocalAnswer &answer);

} // namespace magnolia::forward

#endif
