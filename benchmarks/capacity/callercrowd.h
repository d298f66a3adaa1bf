#ifndef MAGNOLIA_CAPACITY_CALLERCROWD_H
#define MAGNOLIA_CAPACITY_CALLERCROWD_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace magnolia::capacity
{

/** Callers that send streamed requests at a fixed rate, whatever the answers, and print what came back. */
class CallerCrowd
{
public:
    struct Options {
        std::string target; ///< "IP:PORT" of an entry, or of an engine for the comparison.
        std::string bearer; ///< Key of an organisation.
        std::uint32_t perSecond = 10; ///< 1 to 10000
        std::uint32_t seconds = 10; ///< How long to send.
        std::function<void()> onDone; ///< After the last answer; the figures have been printed.
    };

    CallerCrowd(event_base *loop, const Options &options);
    ~CallerCrowd();
    CallerCrowd(const CallerCrowd &) = delete;
    CallerCrowd &operator=(const CallerCrowd &) = delete;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnolia::capacity

#endif
