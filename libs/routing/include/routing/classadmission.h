#ifndef MAGNOLIA_ROUTING_CLASSADMISSION_H
#define MAGNOLIA_ROUTING_CLASSADMISSION_H

#include "base/clock.h"
#include "base/random.h"
#include "routing/decayedcount.h"
#include "routing/endpointtable.h"
#include "routing/routetable.h"
#include "routing/routingconfig.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::routing
{

/**
 * Decides which streams of one service begin, wait or are rejected when its endpoints have too few slots for all.
 *
 * Streams of one priority form a class. Each class but the most urgent one leaves some of this instance's share of the slots free, more the less urgent it
 * is, so that an urgent stream finds a free slot. Slots that become free go to the most urgent class that waits; within a class to the organisation that
 * was admitted least in the last seconds, and within an organisation to callers that return after a rejection. A stream whose turn would come too late is
 * rejected at once, with a time to return that spreads the rejected callers over the slots that become free for their class. A class that is admitted far
 * less often than the mean is treated as the most urgent one until it is not. Lives as long as the service's queue. No I/O, and time is passed in. Not
 * thread-safe.
 *
 * @code
 * const auto decision = admission.request({.priority = 2, .organisation = "a", .since = now, .until = latest}, room, now);
 * if (decision.verdict == ClassAdmission::Verdict::Wait) { callbacks.emplace(decision.ticket, std::move(onSlot)); }
 * @endcode
 */
class ClassAdmission
{
public:
    struct Options {
        double reservePerClass = 0.08; ///< Fraction of the slots that each class leaves free for each class that is more urgent.
        Duration halfLife{2000}; ///< Of the counts that rates are computed from; streams last one to two seconds.
        Duration reportHalfLife{500}; ///< Of the load reports' weights.
        double idleUtilisation = 0.75; ///< Below this fraction of a class's bound in use everywhere, an instance may exceed its share.
        double maxExcess = 1.5; ///< Largest multiple of its share.
        double starvedFraction = 0.35; ///< Of the mean share of streams that are admitted; a class below it is starved.
        double minAsked = 4; ///< Streams below which nothing is concluded about a class.
        Duration minReturn{1000}; ///< Shortest time until a rejected caller is asked to return.
    };

    explicit ClassAdmission(Options options) : options_(options) {}

    /** @param classes which priorities the service's streams can have. */
    void setClasses(PrioritySet classes)
    {
        classes_ = classes;
    }

    /** Whether streams of different urgency compete for the service; if not, this class decides nothing. */
    bool isEnabled() const
    {
        return classes_.count() > 1;
    }

    struct Stream {
        Priority priority = LowestPriority;
        std::string_view organisation{}; ///< Empty if the route needs no key.
        bool isReturn = false; ///< Its caller was rejected before.
        BootTime since{}; ///< When it arrived.
        BootTime until{}; ///< When it stops waiting.
    };

    /** What the instance may use of the service now. */
    struct Room {
        std::size_t inProgress = 0; ///< Streams of this instance.
        double slots = 0; ///< This instance's share of the endpoints' slots.
        std::optional<double> limit{}; ///< See ConcurrencyLimit.
        bool hasOpening = true; ///< An endpoint accepts another stream.
    };

    enum class Verdict : std::uint8_t {
        Admit,
        Wait,
        Reject, ///< Its turn would come after Stream::until.
    };
    using Ticket = std::uint64_t;

    struct Decision {
        Verdict verdict = Verdict::Admit;
        Ticket ticket = 0; ///< Of a waiting stream.
        BootClock::duration predictedWait{0};
    };

    Decision request(const Stream &stream, const Room &room, BootTime now);

    /** Admits the next waiting stream if there is room for it. */
    std::optional<Ticket> takeNext(const Room &room, BootTime now);

    /** Removes a waiting stream whose turn would come too late. */
    std::optional<Ticket> takeHopeless(const Room &room, BootTime now);

    /** A waiting stream has ended. */
    void cancel(Ticket ticket);

    bool hasWaiting() const;

    /** A stream in progress ended, so that its slot is free. */
    void onEnded(BootTime now)
    {
        ended_.add(now, options_.halfLife);
    }

    void onLoadReport(const LoadReport &report, BootTime now);

    /**
     * Books a time to return for a rejected caller. @param timeLeft until the caller's deadline.
     */
    Duration bookReturn(Priority priority, BootClock::duration timeLeft, BootTime now, Random &random);

    /** @return the fraction of the endpoints' slots in use, with requests that wait there; nothing if no report is recent. */
    std::optional<double> utilisation(BootTime now) const;

    BootClock::duration reportAge(BootTime now) const
    {
        return now - reportedAt_;
    }

    /** @return the number of streams in progress at which a class is no longer admitted by its share. */
    double boundOf(Priority priority, const Room &room, BootTime now) const;

private:
    struct Waiting {
        Ticket ticket = 0;
        std::string organisation;
        bool isReturn = false;
        BootTime since;
        BootTime until;
    };
    struct Class {
        DecayedCount asked;
        DecayedCount admitted;
        TextMap<DecayedCount> admittedOf; ///< By organisation; bounded.
        std::vector<Waiting> waiting; ///< Bounded.
        BootTime nextReturn;
    };

    std::size_t rankOf(Priority priority, BootTime now) const;
    bool isStarved(const Class &state, BootTime now) const;
    bool hasRoom(Priority priority, const Room &room, BootTime now) const;
    double freeRate(Priority priority, BootTime now) const;
    BootClock::duration predictWait(Priority priority, std::size_t ahead, const Room &room, BootTime now) const;
    std::size_t waitingBefore(Priority priority, BootTime now) const;
    double admittedOf(const Class &state, std::string_view organisation, BootTime now) const;
    bool goesBefore(const Class &state, const Waiting &first, const Waiting &second, BootTime now) const;
    void countAdmitted(Class &state, std::string_view organisation, BootTime now);
    void forgetIdle(Class &state, BootTime now) const;

    Options options_;
    PrioritySet classes_;
    std::array<Class, LowestPriority + 1> states_;
    DecayedCount ended_;
    Ticket lastTicket_ = 0;
    double weightedUtilisation_ = 0; ///< As of reportedAt_.
    double reportWeight_ = 0;
    BootTime reportedAt_;
};

} // namespace magnolia::routing

#endif
