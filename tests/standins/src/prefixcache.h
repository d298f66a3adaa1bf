#ifndef MAGNOLIA_STANDINS_PREFIXCACHE_H
#define MAGNOLIA_STANDINS_PREFIXCACHE_H

#include "replies.h"

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>

namespace magnolia::standins
{

/** An engine's cache of prompt prefixes in limited memory, least recently used out first, and its late, gappy events. */
class PrefixCache
{
public:
    struct Options {
        std::size_t capacity = 16;
        Duration eventLag{200};
        std::uint64_t gapEvery = 7; ///< Each event whose number is a multiple of this is never published; 0: none.
    };

    explicit PrefixCache(Options options) : options_(options) {}

    /** @return whether the prefix was there; it is from now on. */
    bool use(const std::string &prefix, MonoTime now);

    /** @return the body of `GET /control/cache-events`. */
    Json eventsAfter(std::uint64_t sequence, MonoTime now) const;

    void clear();

private:
    struct Event {
        std::uint64_t sequence = 0;
        MonoTime at;
        bool isStored = false;
        std::string prefix;
    };

    void publish(bool isStored, const std::string &prefix, MonoTime now);

    Options options_;
    std::list<std::string> prefixes_; ///< Most recently used first.
    std::deque<Event> events_;
    std::uint64_t lastSequence_ = 0;
};

} // namespace magnolia::standins

#endif
