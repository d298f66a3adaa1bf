#ifndef MAGNOLIA_CAPACITY_AGENTCROWD_H
#define MAGNOLIA_CAPACITY_AGENTCROWD_H

#include "wire/link.h"

#include <cstdint>
#include <memory>
#include <string>

struct event_base;

namespace magnolia::capacity
{

/**
 * Many agents in one process, as one entry sees them: each accepts links on a port of its own, reports its load once a
 * second and answers each dispatch at once with a few chunks. Registers itself in the platform stand-in's list.
 */
class AgentCrowd
{
public:
    struct Options {
        std::uint32_t count = 1; ///< 1 to 2000; endpoints are named "crowd-0" and on.
        std::string platform; ///< "IP:PORT" of the platform stand-in.
        wire::LinkKey key;
        std::uint32_t chunks = 8; ///< Chunks in each answer.
    };

    AgentCrowd(event_base *loop, const Options &options);
    ~AgentCrowd();
    AgentCrowd(const AgentCrowd &) = delete;
    AgentCrowd &operator=(const AgentCrowd &) = delete;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnolia::capacity

#endif
