#ifndef MAGNOLIA_OBSERVE_SPANDATA_H
#define MAGNOLIA_OBSERVE_SPANDATA_H

#include "observe/trace.h"

#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace magnolia::observe
{

/** What a sampled span has gathered. Start is a wall-clock time; the end is told by the monotonic clock from there. */
struct SpanData {
    std::string name;
    SpanKind kind = SpanKind::Internal;
    TraceContext context;
    std::uint64_t parentSpan = 0;
    std::chrono::system_clock::time_point start;
    std::chrono::steady_clock::time_point startMono;
    std::chrono::nanoseconds duration{0};
    std::vector<std::pair<std::string, std::variant<std::string, std::int64_t>>> attributes;
    std::string failure;
};

} // namespace magnolia::observe

#endif
