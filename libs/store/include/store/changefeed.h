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

/** A row of a followed table, or word that it was removed. */
struct FeedRow {
    std::string key;
    std::string value;
    bool isRemoved = false;
    std::uint64_t version = 0; ///< Of its last change, in the store's present era; 0 if the store did not say.
};

/** What the store answered. */
struct FeedAnswer {
    std::vector<FeedRow> rows{}; ///< In the order of their changes, or by key if all were read.
    std::uint64_t version = 0; ///< Changes are asked for behind it the next time; compares across eras, see storeversion.h.
    Duration storeTime{0}; ///< The store's steady clock when it answered.
    bool isHistoryGone = false; ///< The changes asked for are no longer known: all rows have to be read.
};

using FeedCallback = std::function<void(Result<FeedAnswer>)>;

/**
 * One table of a store that tells of changes. Calls are asynchronous and call back exactly once, on the loop's thread,
 * never from within the call.
 */
template<typename T>
concept ChangeFeed = requires(T &feed, std::uint64_t version, Duration wait, FeedCallback done)
{
    feed.readAll(done); ///< All rows as of one moment.
    feed.changesAfter(version, wait, done); ///< As soon as there is one, or none when the wait is over.
    feed.dropConnections(); ///< The next call dials afresh.
};

} // namespace magnolia::store

#endif
