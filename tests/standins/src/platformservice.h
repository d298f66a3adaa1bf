#ifndef MAGNOLIA_STANDINS_PLATFORMSERVICE_H
#define MAGNOLIA_STANDINS_PLATFORMSERVICE_H

#include "http/httpserver.h"
#include "replies.h"
#include "scheduler.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace magnolia::standins
{

/** Faults of the platform, switched by `POST /test/faults`. */
struct PlatformFaults {
    bool table_down = false; // NOLINT(readability-identifier-naming): the names of the JSON fields.
    bool table_silent = false; // NOLINT(readability-identifier-naming)
    bool objects_down = false; // NOLINT(readability-identifier-naming)
    bool objects_silent = false; // NOLINT(readability-identifier-naming)
    bool instances_down = false; // NOLINT(readability-identifier-naming)
    bool list_frozen = false; // NOLINT(readability-identifier-naming)
    int slow_ms = 0; // NOLINT(readability-identifier-naming)
    int lose_replies = 0; // NOLINT(readability-identifier-naming): the next N writes take effect, their replies don't come.
    int lose_table_replies = 0; // NOLINT(readability-identifier-naming): as lose_replies, for writes of the table only.
    int drop_writes = 0; // NOLINT(readability-identifier-naming): the next N writes neither take effect nor are answered.

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(PlatformFaults,
                                   table_down,
                                   table_silent,
                                   objects_down,
                                   objects_silent,
                                   instances_down,
                                   list_frozen,
                                   slow_ms,
                                   lose_replies,
                                   lose_table_replies,
                                   drop_writes)
};

/** Table service, object store, lagging list of instances and weight store, all in memory, at one address. */
class PlatformService
{
public:
    struct Options {
        std::string address = "127.0.0.1:0";
        Duration listLag{0}; ///< How long a change of the list stays hidden.
        double loadsPerSecond = 0; ///< Budget of the weight store; 0: no limit.
        double loadBurst = 1;
    };

    PlatformService(event_base *loop, Options options);

    std::string address() const;
    PlatformFaults &faults()
    {
        return faults_;
    }

    /** How many requests that write have been counted, whatever they held. */
    std::uint64_t writesCounted() const
    {
        return writes_;
    }

private:
    using ExchangePtr = std::shared_ptr<http::Exchange>;

    struct Row {
        std::string value;
        std::uint64_t revision = 0;
    };

    struct WriteResult {
        bool isApplied = false;
        const Row *current = nullptr; ///< What stands there now.
    };

    void receive(const ExchangePtr &exchange);
    void route(const ExchangePtr &exchange);
    void answerTest(const ExchangePtr &exchange);
    void answerTable(const ExchangePtr &exchange);
    void answerRow(const ExchangePtr &exchange, const std::string &key);
    void answerWrite(const ExchangePtr &exchange, const std::string &key);
    void answerTransaction(const ExchangePtr &exchange);
    void answerObject(const ExchangePtr &exchange);
    void answerInstances(const ExchangePtr &exchange);
    void answerWeights(const ExchangePtr &exchange);

    /** Applies the faults that concern writes. @return false if the exchange is done with. */
    bool beginWrite(const ExchangePtr &exchange);
    void endWrite(const ExchangePtr &exchange, int status, const Json &body);

    WriteResult write(const std::string &key, std::uint64_t ifRevision, const std::string *value);
    Json listRows(const std::string &prefix) const;

    Options options_;
    PlatformFaults faults_;
    Scheduler scheduler_;
    std::map<std::string, Row> rows_;
    std::uint64_t lastRevision_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t reads_ = 0;
    std::map<std::string, std::string> objects_;
    Json instances_ = Json::object();
    Json shownInstances_ = Json::object();
    double loadTokens_;
    MonoTime loadTokensAt_ = MonoClock::now();
    bool losesReply_ = false;
    std::unique_ptr<http::HttpServer> server_;
};

} // namespace magnolia::standins

#endif
