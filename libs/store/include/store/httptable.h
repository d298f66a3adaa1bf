#ifndef MAGNOLIA_STORE_HTTPTABLE_H
#define MAGNOLIA_STORE_HTTPTABLE_H

#include "base/clock.h"
#include "store/tablestore.h"

#include <cstddef>
#include <memory>
#include <string>

struct event_base;

namespace magnolia::store
{

/**
 * The platform's table service over HTTP.
 *
 * Inserts of the same few milliseconds travel as one transaction, each judged on its own, as the service takes only
 * some hundreds of writes a second. Nothing is ever sent twice: a write whose reply was lost fails with MayHaveRun, and
 * whoever made it reads the row back. A connection that fell silent is noticed by the timeout, and the next call dials
 * afresh. Lives on one event loop; destroying it abandons its calls without calling back. Models TableStore.
 *
 * @code
 * HttpTable table(loop, {.address = "127.0.0.1:9000"});
 * table.insert("claim/a", "mine", [](Result<WriteOutcome> outcome) { ... });
 * @endcode
 */
class HttpTable
{
public:
    struct Options {
        std::string address{}; ///< "IP:PORT"
        Duration timeout{2000}; ///< For each call.
        Duration batchDelay{2}; ///< How long an insert waits for others; 0: none waits.
        std::size_t maxBatch = 64; ///< A batch of so many is sent at once.
    };

    HttpTable(event_base *loop, Options options);
    ~HttpTable();
    HttpTable(const HttpTable &) = delete;
    HttpTable &operator=(const HttpTable &) = delete;

    void read(const std::string &key, ReadCallback done);
    void insert(const std::string &key, std::string value, WriteCallback done);
    void replace(const std::string &key, std::uint64_t revision, std::string value, WriteCallback done);
    void remove(const std::string &key, std::uint64_t revision, WriteCallback done);
    void list(const std::string &prefix, RowsCallback done);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

static_assert(TableStore<HttpTable>);

} // namespace magnolia::store

#endif
