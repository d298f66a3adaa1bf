#ifndef MAGNOLIA_AGENT_CLAIMRUN_H
#define MAGNOLIA_AGENT_CLAIMRUN_H

#include "agent/claimprotocol.h"
#include "agent/platformports.h"
#include "http/timer.h"

#include <functional>
#include <memory>
#include <string>

namespace magnolia::agent
{

/** Carries one ClaimProtocol's actions out: the table's part here, the call's part by callbacks. */
class ClaimRun : public std::enable_shared_from_this<ClaimRun>
{
public:
    struct Callbacks {
        std::function<void()> run{}; ///< Send the call now; report its end by callEnded().
        std::function<void(const Failure &)> refuse{};
        std::function<void(const StoredAnswer &)> replay{};
        std::function<void()> settled{}; ///< Nothing more is to come; may drop this object.
    };

    ClaimRun(event_base *loop, std::string key, ClaimProtocol::Options options, Random &random, const PlatformPorts &platform, Callbacks callbacks);

    void start();
    void callEnded(Result<StoredAnswer> result);
    void giveUp(ErrorCode code);
    bool hasBegun() const;

private:
    void perform(const ClaimProtocol::Actions &actions);
    void perform(const ClaimAction &action);
    store::WriteCallback writeCallback();

    std::string key_;
    ClaimProtocol protocol_;
    const PlatformPorts &platform_;
    Callbacks callbacks_;
    http::Timer timer_;
    bool toldSettled_ = false;
};

} // namespace magnolia::agent

#endif
