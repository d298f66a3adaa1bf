#ifndef MAGNOLIA_STANDINS_MODELENGINE_H
#define MAGNOLIA_STANDINS_MODELENGINE_H

#include "expertrank.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "modelregistry.h"
#include "prefixcache.h"
#include "replies.h"
#include "runcounts.h"
#include "scheduler.h"

#include <cstdint>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace magnolia::standins
{

/** Faults of an engine, switched by `POST /test/faults`. */
struct EngineFaults {
    int delay_ms = 0; // NOLINT(readability-identifier-naming): the names of the JSON fields.
    bool stall_streams = false; // NOLINT(readability-identifier-naming): open streams stand still until it is off again.
    int close_after_pieces = 0; // NOLINT(readability-identifier-naming): cut each stream after so many pieces; 0: none.
    bool refuse_orders = false; // NOLINT(readability-identifier-naming): 503
    bool ignore_orders = false; // NOLINT(readability-identifier-naming): 200, and nothing is done.
    bool refuse_loads = false; // NOLINT(readability-identifier-naming): 429, as by the weight store.
    bool stale_load = false; // NOLINT(readability-identifier-naming): the load reported stays what it was.
    int fail_status = 0; // NOLINT(readability-identifier-naming): answer requests so, without running them; 0: none.
    int popularity_shift = 0; // NOLINT(readability-identifier-naming): which experts are popular.
    bool restart = false; // NOLINT(readability-identifier-naming): forget everything, once.

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(EngineFaults,
                                   delay_ms,
                                   stall_streams,
                                   close_after_pieces,
                                   refuse_orders,
                                   ignore_orders,
                                   refuse_loads,
                                   stale_load,
                                   fail_status,
                                   popularity_shift,
                                   restart)
};

/**
 * A model engine: streams deterministic answers, takes control orders, runs the steps of one rank.
 *
 * A request's marker is the content of its last message. Piece i of marker M is "M:i ", so that a stream that was
 * resumed can be checked for gaps and repeats, and an answer for whose it is.
 */
class ModelEngine
{
public:
    struct Options {
        std::string address = "127.0.0.1:0";
        std::string weightStore{}; ///< Address of the stand-in platform that loads are asked of; empty: none.
        std::uint32_t pieces = 8; ///< Per answer; "max_tokens" of a request makes it fewer.
        Duration pieceInterval{1};
        Duration prefillTime{0}; ///< Before the first piece, unless the prefix is cached.
        Duration loadTime{0}; ///< From a load order to serving.
        Duration stepInterval{5};
        std::size_t concurrency = 8; ///< Further requests wait, lowest "priority" first.
        bool checksFencing = false;
        std::vector<std::string> models{}; ///< Loaded from the start, each "NAME@VERSION".
        ExpertRank::Options expertRank{};
        PrefixCache::Options cache{};
    };

    ModelEngine(event_base *loop, Options options);

    std::string address() const
    {
        return server_->address();
    }
    const RunCounts &counts() const
    {
        return counts_;
    }
    EngineFaults &faults()
    {
        return faults_;
    }

private:
    using ExchangePtr = std::shared_ptr<http::Exchange>;

    struct Stream {
        ExchangePtr exchange;
        std::string marker;
        std::string prefix;
        int priority = 0;
        std::uint32_t next = 0; ///< Index of the next piece.
        std::uint32_t end = 0;
        int sent = 0;
        bool isRunning = false;
        bool isGone = false;
    };

    struct Order {
        std::uint64_t fence = 0;
        std::string order;
        std::string model;
        std::string version;
        std::string adapter;
        std::string role;
    };

    void receive(const ExchangePtr &exchange);
    void route(const ExchangePtr &exchange);
    void answerTest(const ExchangePtr &exchange);

    void answerChat(const ExchangePtr &exchange);
    void runWaiting();
    void begin(const std::shared_ptr<Stream> &stream);
    void sendPiece(const std::shared_ptr<Stream> &stream);
    void end(const std::shared_ptr<Stream> &stream);
    void hungUp(const std::shared_ptr<Stream> &stream);

    void answerState(const ExchangePtr &exchange);
    void answerOrder(const ExchangePtr &exchange);
    void answerExperts(const ExchangePtr &exchange);
    void changeExperts(const ExchangePtr &exchange, const Json &request);
    void loadMap(const ExchangePtr &exchange, std::uint64_t map);
    void joinEpoch(const ExchangePtr &exchange, std::uint64_t map, std::uint64_t epoch, std::uint64_t step);

    /** @return false if the order's fencing number is old and this engine minds; the exchange has then been answered. */
    bool admitOrder(const ExchangePtr &exchange, std::uint64_t fence);
    void carryOut(const ExchangePtr &exchange, const Order &order);

    /** Asks the weight store; answers 429 for it, or 200 and then calls begin. */
    void loadWeights(const ExchangePtr &exchange, std::function<void()> begin);

    Json load() const;
    void restart();
    void scheduleStep();

    Options options_;
    EngineFaults faults_;
    RunCounts counts_;
    Scheduler scheduler_;
    PrefixCache cache_;
    ModelRegistry models_;
    ExpertRank expertRank_;
    std::set<std::uint64_t> loadingMaps_;
    std::string role_ = "any";
    std::string boot_;
    std::uint64_t boots_ = 0;
    std::uint64_t fence_ = 0;
    std::uint64_t staleOrdersTaken_ = 0;
    Json staleLoad_;
    std::list<std::shared_ptr<Stream>> waiting_;
    std::list<std::shared_ptr<Stream>> running_;
    std::unique_ptr<http::HttpClient> weightStore_;
    std::unique_ptr<http::HttpServer> server_;
};

} // namespace magnolia::standins

#endif
