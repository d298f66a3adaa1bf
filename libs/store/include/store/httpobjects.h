#ifndef MAGNOLIA_STORE_HTTPOBJECTS_H
#define MAGNOLIA_STORE_HTTPOBJECTS_H

#include "base/clock.h"
#include "store/tablestore.h"

#include <cstddef>
#include <memory>
#include <string>

struct event_base;

namespace magnolia::store
{

/**
 * The platform's object store over HTTP.
 *
 * Lives on one event loop; destroying it abandons its calls without calling back. Models ObjectStore.
 */
class HttpObjects
{
public:
    struct Options {
        std::string address{}; ///< "IP:PORT"
        Duration timeout{5000}; ///< For each call.
        std::size_t maxObjectBytes = 16U << 20U;
    };

    HttpObjects(event_base *loop, const Options &options);
    ~HttpObjects();
    HttpObjects(const HttpObjects &) = delete;
    HttpObjects &operator=(const HttpObjects &) = delete;

    void put(const std::string &name, std::string data, PutCallback done);
    void get(const std::string &name, GetCallback done);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

static_assert(ObjectStore<HttpObjects>);

} // namespace magnolia::store

#endif
