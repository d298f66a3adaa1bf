#ifndef MAGNOLIA_GROUP_PASSMODEL_H
#define MAGNOLIA_GROUP_PASSMODEL_H

#include <algorithm>
#include <chrono>

namespace magnolia::group
{

/**
 * Predicts how long the passes of a group take under another expert map.
 *
 * A pass takes its base time, plus the work for the tokens in progress. Experts do a configured share of that work, and all ranks wait for the most loaded one,
 * so this part grows with the load of the map. How much work there is follows from the pass times under the map in use. A value type.
 *
 * @code
 * model.learn(passTime, loadOfCurrentMap); // a few times a second
 * const auto gain = model.predict(loadOfCurrentMap) - model.predict(loadOfNewMap);
 * @endcode
 */
class PassModel
{
public:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /** With the defaults pass times are proportional to the load. */
    struct Options {
        Milliseconds baseTime{0}; ///< Time of a pass regardless of the tokens in progress.
        double expertShare = 1; ///< Fraction of the work per token that experts do, 0 to 1.
    };

    explicit PassModel(Options options) : options_(options) {}

    /** @param load of the most loaded rank as a mean over sets; 1 is an even spread. */
    void learn(Milliseconds passTime, double load)
    {
        const Milliseconds work = std::max(passTime - options_.baseTime, Milliseconds(0)) / relativeWork(load);
        work_ += (work - work_) * (work > work_ ? 1 : SmoothingFactor);
    }

    /** @return the base time while nothing was learnt. */
    Milliseconds predict(double load) const
    {
        return options_.baseTime + work_ * relativeWork(load);
    }

private:
    // Of less work. The load is known sooner than the pass time that it causes, so just after a shift of demand there seems to be less work. More work is
    // learnt at once, since callers come faster than an average would follow.
    static constexpr double SmoothingFactor = 0.1;

    double relativeWork(double load) const
    {
        return 1 - options_.expertShare + options_.expertShare * load;
    }

    Options options_;
    Milliseconds work_{0}; ///< Time of a pass beyond its base time with an even load.
};

} // namespace magnolia::group

#endif
