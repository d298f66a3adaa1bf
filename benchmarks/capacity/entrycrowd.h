#ifndef MAGNOLIA_CAPACITY_ENTRYCROWD_H
#define MAGNOLIA_CAPACITY_ENTRYCROWD_H

#include "wire/link.h"

#include <cstdint>
#include <memory>
#include <string>

struct event_base;

namespace magnolia::capacity
{

/** Many entries in one process, as one agent sees them: each keeps one link open and takes the load reports. */
class EntryCrowd
{
public:
    struct Options {
        std::uint32_t count = 1; ///< 1 to 2000
        std::string agent; ///< "IP:PORT" where the agent accepts links.
        wire::LinkKey key;
    };

    EntryCrowd(event_base *loop, const Options &options);
    ~EntryCrowd();
    EntryCrowd(const EntryCrowd &) = delete;
    EntryCrowd &operator=(const EntryCrowd &) = delete;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnolia::capacity

#endif
