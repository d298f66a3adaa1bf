#ifndef MAGNOLIA_STORE_CHANGEFEED_H
#define MAGNOLIA_STORE_CHANGEFEED_H

#include "base/clock.h"
#include "base/failure.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace magnolia::store
{

/** A row of a table as a feed delivers it: its present value, or the fact that it was removed. */
struct FeedRow {
    std::string key;
    std::string value;
    bool isRemoved = false;
    std::uint64_t version = 0; ///< Version of its last change, within the store's present era; 0 if not reported.
};

/** The store's answer to a full read or a poll. */
struct FeedAnswer {
    std::vector<FeedRow> rows{}; ///< In the order of the changes for a poll, by key for a full read.
    std::uint64_t version = 0; ///< Where the next poll continues; comparable across eras, see storeversion.h.
    Duration storeTime{0}; ///< Reading of the store's steady clock when it answered.
    bool isHistoryUnavailable = false; ///< The store no longer has the changes requested: a full read is needed.
};

using FeedCallback = std::function<void(Result<FeedAnswer>)>;

/**
 * A table of a store that reports changes by long polling.
 *
 * Calls are asynchronous. Each calls back exactly once, on the loop's thread, and never from within the call.
 */
template<typename T>
concept ChangeFeed = requires(T &feed, std::uint64_t version, Duration wait, FeedCallback done)
{
    feed.readAll(done); ///< Reads a snapshot of all rows.
    feed.pollChanges(version, wait, done); ///< Answers as soon as there is a change after the version, or with no rows once the wait is over.
    feed.dropConnections(); ///< Closes idle connections: the next call opens a new one.
};

} // namespace magnolia::store

#endif
