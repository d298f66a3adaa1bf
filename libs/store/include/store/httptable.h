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
 * HTTP client of the platform's table service. Models TableStore.
 *
 * Inserts made within a few milliseconds are batched into one transaction, as the service takes only some hundreds of writes
 * a second; each insert still succeeds or fails on its own. No write is ever repeated: if its reply is lost, it fails with
 * MayHaveRun, and the caller has to read the row back. A dead connection is detected by the timeout, and the next call opens
 * a new one. Not thread-safe: all calls are made on the event loop. Destruction cancels outstanding calls without calling
 * back.
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
        Duration timeout{2000}; ///< Timeout of each call.
        Duration batchDelay{2}; ///< How long an insert waits for others to join its batch; 0 disables the wait.
        std::size_t maxBatch = 64; ///< A batch of this size is sent without further delay.
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
