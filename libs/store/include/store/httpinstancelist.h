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
 * The platform's list of instances over HTTP.
 *
 * An entry of the list that makes no sense is left out, so that one bad registration doesn't hide all the others. Lives
 * on one event loop; destroying it abandons its calls without calling back. Models InstanceList.
 */
class HttpInstanceList
{
public:
    struct Options {
        std::string address{}; ///< "IP:PORT"
        Duration timeout{2000}; ///< For each call.
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
