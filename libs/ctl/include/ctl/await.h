#ifndef MAGNOLIA_CTL_AWAIT_H
#define MAGNOLIA_CTL_AWAIT_H

#include <event2/event.h>

#include <optional>
#include <utility>

namespace magnolia::ctl
{

/**
 * Runs the loop until an asynchronous call has called back. For a program that does one thing after the other.
 *
 * @param start begins the call; gets the callback, which must come exactly once and within bounded time.
 *
 * @code
 * auto row = await<Result<std::optional<Row>>>(loop, [&](auto done) { table.read("manifest/head", done); });
 * @endcode
 */
template<typename T, typename Start>
T await(event_base *loop, Start start)
{
    std::optional<T> answer;
    start([&answer](T value) { answer.emplace(std::move(value)); });
    while (!answer) {
        event_base_loop(loop, EVLOOP_ONCE);
    }
    return std::move(*answer);
}

} // namespace magnolia::ctl

#endif
