#ifndef MAGNOLIA_PATH_MIXEDLOAD_H
#define MAGNOLIA_PATH_MIXEDLOAD_H

#include "deployment.h"
#include "promise.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace magnolia::path
{

/**
 * Paying and trial streams and bookings under way all the time, at all entries in turn, while a test makes failures.
 *
 * Unlike StreamingLoad it takes refusals and cut answers as they come; what it keeps is whether they were truthful. A
 * booking is tried again with its key until it is answered, now and then at two entries at once.
 *
 * The load goes on whenever the deployment's loop turns, until finish(); then judge() compares what callers were told with
 * what the stand-ins have counted.
 */
class MixedLoad
{
public:
    struct Options {
        int payingStreams = 8; ///< At once.
        int trialStreams = 4;
        int bookings = 4;
        int pieces = 8; ///< As the engines were started with.
        Duration timeout{5000}; ///< Of each call; sent as its deadline, too.
    };

    MixedLoad(Deployment &deployment, Options options);
    ~MixedLoad();
    MixedLoad(const MixedLoad &) = delete;
    MixedLoad &operator=(const MixedLoad &) = delete;

    /** Starts no more calls and waits for those under way. */
    void finish();

    /** @return how many streams and bookings have been answered whole so far. */
    int answered() const
    {
        return wholeStreams_ + answeredBookings_;
    }
    int wholeStreams() const
    {
        return wholeStreams_;
    }
    int answeredBookings() const
    {
        return answeredBookings_;
    }

    /** @return how often callers met each end, e.g. "200", "503 unavailable not-run", "200 cut off", "no answer". */
    const std::map<std::string, int> &outcomes() const
    {
        return outcomes_;
    }

    /** Asks the stand-ins for their counts. After finish(). */
    std::vector<Promise> judge();

private:
    enum class Kind { PayingStream, TrialStream, Booking };

    /** One of the calls that are open at once. */
    struct Lane {
        Kind kind = Kind::PayingStream;
        std::string marker{};
        std::vector<CallPtr> calls{}; ///< Two for a booking sent at two entries at once.
        int tries = 0;
        MonoTime notBefore{};
    };

    /** What the callers of one marker were told. */
    struct Told {
        bool isBooking = false;
        int notRun = 0;
        int other = 0; ///< Answers, failures and silence that leave open whether it ran.
        int answered = 0; ///< 200
    };

    void turn();
    void begin(Lane &lane);
    void send(Lane &lane);
    void end(Lane &lane);
    void note(const Lane &lane, const Call &call);
    void noteStream(const Lane &lane, const Call &call);
    std::string nextEntry();

    Deployment &deployment_;
    Options options_;
    std::vector<Lane> lanes_;
    std::map<std::string, Told> told_;
    std::map<std::string, int> outcomes_;
    Promise ownAnswer_{"whole-own-answer"};
    Promise verdictGiven_{"refusal-has-verdict"};
    std::size_t turn_ = 0;
    int started_ = 0;
    int wholeStreams_ = 0;
    int answeredBookings_ = 0;
    bool isFinishing_ = false;
};

/** @return the verdict that a caller was told, in the headers or in a stream's last event; empty: none. */
std::string verdictOf(const Call &call);

/** A booking by the paying organisation. */
CallerRequest bookingRequest(const std::string &idempotencyKey, Duration timeout = Duration{10000});

} // namespace magnolia::path

#endif
