#ifndef MAGNOLIA_STORE_HTTPINSTANCELIST_H
#define MAGNOLIA_STORE_HTTPINSTANCELIST_H

#include "base/clock.h"
#include "store/instancelist.h"

#include <memory>
#include <string>

struct event_base;

namespace magnolia::store
{

/**
 * HTTP client of the platform's list of instances. Models InstanceList.
 *
 * An invalid element of the list is left out, so that one bad registration does not hide the others. Not thread-safe: all
 * calls are made on the event loop. Destruction cancels outstanding calls without calling back.
 */
class HttpInstanceList
{
public:
    struct Options {
        std::string address{}; ///< "IP:PORT"
        Duration timeout{2000}; ///< Timeout of each call.
    };

    HttpInstanceList(event_base *loop, const Options &options);
    ~HttpInstanceList();
    HttpInstanceList(const HttpInstanceList &) = delete;
    HttpInstanceList &operator=(const HttpInstanceList &) = delete;

    void fetch(InstancesCallback done);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

static_assert(InstanceList<HttpInstanceList>);

} // namespace magnolia::store

#endif
