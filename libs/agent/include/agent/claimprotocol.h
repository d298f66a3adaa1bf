#ifndef MAGNOLIA_AGENT_CLAIMPROTOCOL_H
#define MAGNOLIA_AGENT_CLAIMPROTOCOL_H

#include "agent/claimrecord.h"
#include "base/clock.h"
#include "base/failure.h"
#include "base/random.h"
#include "policy/backoff.h"
#include "store/tablestore.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace magnolia::agent
{

/** Insert the row if there is none; answer by onWrite. */
struct InsertClaim {
    std::string value{};
};

/** Replace the row if it is still at this revision; answer by onWrite. */
struct ReplaceClaim {
    std::uint64_t revision = 0;
    std::string value{};
};

/** Read the row; answer by onRead. */
struct ReadClaim {
};

/** Call onTimer after this time. */
struct WaitForClaim {
    Duration delay{0};
};

/** Send the call to the service now, before anything else is done; answer by onCallEnded. */
struct RunCall {
};

/** Refuse the caller with this. */
struct RefuseCall {
    Failure failure;
};

/** Give the caller the answer of an earlier run. */
struct ReplayAnswer {
    StoredAnswer answer{};
};

using ClaimAction = std::variant<InsertClaim, ReplaceClaim, ReadClaim, WaitForClaim, RunCall, RefuseCall, ReplayAnswer>;

/**
 * One attempt at a call that may not be repeated: decides by the claim row whether it runs.
 *
 * Pure: replies and time come in, actions go out, at most one of the table's at a time. Ends either in RunCall followed
 * by onCallEnded, or in RefuseCall or ReplayAnswer. It may go on afterwards until isSettled(), to record the answer or to
 * free a claim whose call did not run; keep it and carry its actions out until then. One thread calls it.
 *
 * The row goes: none → Claimed by an attempt → Done, or → NotRun → Claimed by another attempt. No other step exists and
 * rows are never removed, so a write that takes effect late finds its condition false.
 *
 * @code
 * ClaimProtocol claim({.attempt = id, .incarnation = incarnation, .digest = digest, .deadline = deadline}, random);
 * perform(claim.start(now));
 * perform(claim.onWrite(outcome, now));
 * @endcode
 */
class ClaimProtocol
{
public:
    struct Options {
        wire::AttemptId attempt{};
        wire::Incarnation incarnation = 0;
        std::string digest{}; ///< See requestDigest().
        MonoTime deadline{}; ///< The call is not begun at or after it.
        std::size_t maxStoredBytes = 65536; ///< A longer body is not kept; its retry is told so.
        std::uint32_t maxRounds = 4; ///< Writes tried before the attempt is refused.
        std::uint32_t maxSettleTries = 200; ///< Recording or freeing is given up after so many failures, a quarter of an hour or more.
        Duration retryAfter{1000}; ///< Told to callers who may retry.
        policy::Backoff::Options backoff{.base = Duration(200), .limit = Duration(10000)};
    };
    using Actions = std::vector<ClaimAction>;

    ClaimProtocol(Options options, Random &random);

    Actions start(MonoTime now);
    Actions onWrite(const Result<store::WriteOutcome> &result, MonoTime now);
    Actions onRead(const Result<std::optional<store::Row>> &result, MonoTime now);
    Actions onTimer();

    /** The call that RunCall began has ended. A failure's verdict says whether the service may have run it. */
    Actions onCallEnded(Result<StoredAnswer> result);

    /** The caller gave up or the deadline passed. A call that has begun goes on, so that a retry finds its answer. */
    Actions giveUp(ErrorCode code);

    /** @return true once the call has been given to the service. */
    bool hasBegun() const;

    /** @return true when no further event is awaited. */
    bool isSettled() const;

private:
    enum class Phase : std::uint8_t {
        Claiming, ///< Nobody knows yet whether this attempt runs.
        Running,
        Settling, ///< The caller has its answer; the row is brought to outcome_.
        Settled,
    };

    Actions onAppliedWhileSettling(const store::WriteOutcome &outcome, MonoTime now);
    Actions judge(const store::Row &row, MonoTime now);
    Actions judgeWhileClaiming(const store::Row &row, const ClaimRecord &record, MonoTime now);
    Actions judgeWhileSettling(const store::Row &row, const ClaimRecord &record);
    Actions onClaimed(MonoTime now);
    Actions tryAgain(ClaimAction action);
    Actions refuse(Failure failure);
    Actions settle(ClaimState outcome);
    Actions writeOutcome();
    Actions waitToSettle();
    Actions whenAbsent();
    std::string encoded(ClaimState state) const;

    Options options_;
    Random &random_;
    policy::Backoff backoff_;
    Phase phase_ = Phase::Claiming;
    std::uint32_t rounds_ = 0;
    bool begun_ = false;
    bool pending_ = false; ///< A reply of the table is awaited.
    bool mayTakeEffect_ = false; ///< A write of ours lost its reply.
    std::optional<std::uint64_t> revision_; ///< Of the row while it is this attempt's claim.
    ClaimState outcome_ = ClaimState::NotRun;
    StoredAnswer answer_{};
};

} // namespace magnolia::agent

#endif
