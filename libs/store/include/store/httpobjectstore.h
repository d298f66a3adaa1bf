#ifndef MAGNOLIA_STORE_HTTPOBJECTSTORE_H
#define MAGNOLIA_STORE_HTTPOBJECTSTORE_H

#include "base/clock.h"
#include "store/tablestore.h"

#include <cstddef>
#include <memory>
#include <string>

struct event_base;

namespace magnolia::store
{

/**
 * HTTP client of the platform's object store. Models ObjectStore.
 *
 * Not thread-safe: all calls are made on the event loop. Destruction cancels outstanding calls without calling back.
 */
class HttpObjectStore
{
public:
    struct Options {
        std::string address{}; ///< "IP:PORT"
        Duration timeout{5000}; ///< Timeout of each call.
        std::size_t maxObjectBytes = 16U << 20U;
    };

    HttpObjectStore(event_base *loop, const Options &options);
    ~HttpObjectStore();
    HttpObjectStore(const HttpObjectStore &) = delete;
    HttpObjectStore &operator=(const HttpObjectStore &) = delete;

    void put(const std::string &name, std::string data, PutCallback done);
    void get(const std::string &name, GetCallback done);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

static_assert(ObjectStore<HttpObjectStore>);

} // namespace magnolia::store

#endif
