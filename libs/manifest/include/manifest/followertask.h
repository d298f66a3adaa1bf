#ifndef MAGNOLIA_MANIFEST_FOLLOWERTASK_H
#define MAGNOLIA_MANIFEST_FOLLOWERTASK_H

#include "base/clock.h"
#include "http/eventhandles.h"
#include "manifest/chunks.h"
#include "manifest/manifestfollower.h"
#include "store/tablestore.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace magnolia::manifest
{

/**
 * Runs a ManifestFollower on an event loop against the platform's stores; the daemon lends it its links.
 *
 * Lives as long as the daemon; all calls and callbacks are on the loop's thread. Callbacks may call the task again. The
 * stores must outlive it; replies that come after its end are dropped.
 *
 * @code
 * FollowerTask task(loop, table, objects, {}, seededRandom(), {.send = ..., .putInForce = ..., .warn = ...});
 * task.start();
 * // on each link: task.onPeerUp(name), task.onPeerDown(name), and task.onMessage(name, message) for all that come
 * @endcode
 */
template<store::TableStore Table, store::ObjectStore Objects, ClockSource Clock = SystemClock>
class FollowerTask
{
public:
    struct Callbacks {
        std::function<void(const PeerName &, const wire::Message &)> send;
        std::function<void(const ManifestIndex::Pointer &)> putInForce;
        std::function<void(std::string_view)> warn;
    };

    FollowerTask(event_base *loop, Table &table, Objects &objects, ManifestFollower::Options options, Random random, Callbacks callbacks, Clock clock = {})
        : table_(table)
        , objects_(objects)
        , callbacks_(std::move(callbacks))
        , clock_(clock)
        , follower_(options, random)
        , timer_(event_new(loop, -1, 0, &FollowerTask::onTimer, this))
        , self_(std::make_shared<FollowerTask *>(this))
    {
    }

    FollowerTask(const FollowerTask &) = delete;
    FollowerTask &operator=(const FollowerTask &) = delete;

    void start()
    {
        follower_.start(clock_.now());
        run();
    }

    void onPeerUp(const PeerName &peer)
    {
        follower_.onPeerUp(clock_.now(), peer);
        run();
    }

    void onPeerDown(const PeerName &peer)
    {
        follower_.onPeerDown(clock_.now(), peer);
        run();
    }

    /** @param daemons in the platform's list, each time that it has been read. */
    void onDaemonCount(std::size_t daemons)
    {
        follower_.onDaemonCount(clock_.now(), daemons);
        run();
    }

    /** @return false if the message is not about the manifest. */
    bool onMessage(const PeerName &peer, const wire::Message &message)
    {
        if (const auto *head = std::get_if<wire::ManifestHead>(&message)) {
            follower_.onPeerHead(clock_.now(), peer, *head);
        } else if (const auto *request = std::get_if<wire::ChunkRequest>(&message)) {
            follower_.onChunkRequest(clock_.now(), peer, *request);
        } else if (const auto *chunk = std::get_if<wire::ChunkData>(&message)) {
            follower_.onChunkData(clock_.now(), peer, *chunk);
        } else {
            return false;
        }
        run();
        return true;
    }

    ManifestIndex::Pointer current() const
    {
        return follower_.current();
    }

    FollowerStatus status() const
    {
        return follower_.status(clock_.now());
    }

private:
    static void onTimer(evutil_socket_t, short, void *context)
    {
        auto *task = static_cast<FollowerTask *>(context);
        task->follower_.onTime(task->clock_.now());
        task->run();
    }

    // A callback may call the task again; its actions are then taken up by the loop that is running already.
    void run()
    {
        if (isRunning_) {
            return;
        }
        isRunning_ = true;
        for (auto actions = follower_.takeActions(); !actions.empty(); actions = follower_.takeActions()) {
            for (const FollowerAction &action : actions) {
                std::visit([this](const auto &wanted) { carryOut(wanted); }, action);
            }
        }
        isRunning_ = false;
        const auto delay = std::chrono::ceil<Duration>(follower_.nextTime() - clock_.now());
        http::startTimer(timer_.get(), std::max(delay, Duration(1)));
    }

    void carryOut(const ReadHeadRow &)
    {
        table_.read(std::string(HeadRowKey), [self = std::weak_ptr(self_)](const Result<std::optional<store::Row>> &row) {
            const auto task = self.lock();
            if (task == nullptr) {
                return;
            }
            (*task)->onHeadRow(row);
        });
    }

    void onHeadRow(const Result<std::optional<store::Row>> &row)
    {
        follower_.onHeadRow(clock_.now(), row.map([](const std::optional<store::Row> &found) { return found ? std::optional(found->value) : std::nullopt; }));
        run();
    }

    void carryOut(const ReadObject &read)
    {
        objects_.get(objectName(read.hash), [self = std::weak_ptr(self_), hash = read.hash](const Result<std::optional<std::string>> &data) {
            const auto task = self.lock();
            if (task == nullptr) {
                return;
            }
            (*task)->follower_.onObject((*task)->clock_.now(), hash, data);
            (*task)->run();
        });
    }

    void carryOut(const SendToPeer &send)
    {
        callbacks_.send(send.peer, send.message);
    }

    void carryOut(const PutInForce &put)
    {
        callbacks_.putInForce(put.index);
    }

    void carryOut(const Warn &warning)
    {
        callbacks_.warn(warning.text);
    }

    Table &table_;
    Objects &objects_;
    Callbacks callbacks_;
    Clock clock_;
    ManifestFollower follower_;
    http::EventPtr timer_;
    std::shared_ptr<FollowerTask *> self_; ///< Lets late replies find out that the task is gone.
    bool isRunning_ = false;
};

} // namespace magnolia::manifest

#endif
