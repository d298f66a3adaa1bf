#ifndef MAGNOLIA_STORE_TABLESTORE_H
#define MAGNOLIA_STORE_TABLESTORE_H

#include "base/failure.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace magnolia::store
{

/** A row of the platform's table. Each write gives it a higher revision. */
struct Row {
    std::string value;
    std::uint64_t revision = 0;
};

/** The outcome of a conditional write whose reply arrived. */
struct WriteOutcome {
    bool applied = false; ///< If false, the condition was not met, and `current` is the present row.
    std::optional<Row> current;
};

using ReadCallback = std::function<void(Result<std::optional<Row>>)>;
using WriteCallback = std::function<void(Result<WriteOutcome>)>;
using RowsCallback = std::function<void(Result<std::map<std::string, Row>>)>;

/**
 * A transactional table with conditional writes.
 *
 * Calls are asynchronous. Each calls back exactly once, on the loop's thread, and never from within the call. A write whose
 * reply was lost fails with MayHaveRun: it may have taken effect, or may take effect later.
 */
template<typename T>
concept TableStore =
    requires(T &store, const std::string &key, std::string value, std::uint64_t revision, ReadCallback onRead, WriteCallback onWrite, RowsCallback onRows)
{
    store.read(key, onRead);
    store.insert(key, value, onWrite); ///< Applied if the row is absent.
    store.replace(key, revision, value, onWrite); ///< Applied if the row is at this revision.
    store.remove(key, revision, onWrite); ///< Applied if the row is at this revision.
    store.list(key, onRows); ///< Reads all rows whose key has this prefix.
};

using PutCallback = std::function<void(Result<void>)>;
using GetCallback = std::function<void(Result<std::optional<std::string>>)>;

/** A store of immutable objects, named by their content hashes. */
template<typename T>
concept ObjectStore = requires(T &store, const std::string &name, std::string data, PutCallback onPut, GetCallback onGet)
{
    store.put(name, data, onPut);
    store.get(name, onGet);
};

} // namespace magnolia::store

#endif
