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
 * The platform's object store over HTTP.
 *
 * Lives on one event loop; destroying it abandons its calls without calling back. Models ObjectStore.
 */
class HttpObjectStore
{
public:
    struct Options {
        std::string address{}; ///< "IP:PORT"
        Duration timeout{5000}; ///< For each call.
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
