#include "claimrun.h"

#include <utility>

namespace magnolia::agent
{

ClaimRun::ClaimRun(event_base *loop, std::string key, ClaimProtocol::Options options, Random &random, const PlatformPorts &platform, Callbacks callbacks)
    : key_(std::move(key)), protocol_(std::move(options), random), platform_(platform), callbacks_(std::move(callbacks)), timer_(loop, [this] {
        perform(protocol_.onTimer());
    })
{
}

void ClaimRun::start()
{
    perform(protocol_.start(MonoClock::now()));
}

void ClaimRun::callEnded(Result<StoredAnswer> result)
{
    perform(protocol_.onCallEnded(std::move(result)));
}

void ClaimRun::giveUp(ErrorCode code)
{
    perform(protocol_.giveUp(code));
}

bool ClaimRun::hasBegun() const
{
    return protocol_.hasBegun();
}

void ClaimRun::perform(const ClaimProtocol::Actions &actions)
{
    // A callback may drop the last other holder.
    const auto self = shared_from_this();
    for (const ClaimAction &action : actions) {
        perform(action);
    }
    if (protocol_.isSettled() && !toldSettled_) {
        toldSettled_ = true;
        callbacks_.settled();
    }
}

void ClaimRun::perform(const ClaimAction &action)
{
    if (const auto *insert = std::get_if<InsertClaim>(&action)) {
        platform_.insert(key_, insert->value, writeCallback());
    } else if (const auto *replace = std::get_if<ReplaceClaim>(&action)) {
        platform_.replace(key_, replace->revision, replace->value, writeCallback());
    } else if (std::holds_alternative<ReadClaim>(action)) {
        platform_.read(key_, [self = weak_from_this()](const Result<std::optional<store::Row>> &result) {
            if (const auto run = self.lock()) {
                run->perform(run->protocol_.onRead(result, MonoClock::now()));
            }
        });
    } else if (const auto *wait = std::get_if<WaitForClaim>(&action)) {
        timer_.start(wait->delay);
    } else if (std::holds_alternative<RunCall>(action)) {
        callbacks_.run();
    } else if (const auto *refuse = std::get_if<RefuseCall>(&action)) {
        callbacks_.refuse(refuse->failure);
    } else if (const auto *replay = std::get_if<ReplayAnswer>(&action)) {
        callbacks_.replay(replay->answer);
    }
}

store::WriteCallback ClaimRun::writeCallback()
{
    return [self = weak_from_this()](const Result<store::WriteOutcome> &result) {
        if (const auto run = self.lock()) {
            run->perform(run->protocol_.onWrite(result, MonoClock::now()));
        }
    };
}

} // namespace magnolia::agent
