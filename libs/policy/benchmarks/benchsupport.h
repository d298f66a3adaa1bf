#ifndef MAGNOLIA_POLICY_BENCHSUPPORT_H
#define MAGNOLIA_POLICY_BENCHSUPPORT_H

#include "base/clock.h"
#include "base/random.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <span>
#include <string_view>
#include <vector>

namespace magnolia::bench
{

/** What every measuring program takes on its command line. */
struct BenchOptions {
    bool quick = false; ///< A shorter run of the same measurement.
};

/** Reads --quick and --help; ends the program on --help or an unknown option. */
BenchOptions parseOptions(int argc, char **argv);

enum class GoalKind : std::uint8_t {
    AtMost,
    AtLeast,
};

/** One figure with what it is held against. */
struct Figure {
    std::string_view name;
    double value = 0;
    std::string_view unit;
    double baseline = 0; ///< The same figure for the baseline that the program names.
    double goal = 0;
    GoalKind kind = GoalKind::AtMost;
};

/** Prints "RESULT name value unit baseline goal met|short". */
void report(const Figure &figure);

/** Runs callbacks in the order of their time; those of one time in the order in which they were set. */
class EventLoop
{
public:
    MonoTime now() const;
    void at(MonoTime time, std::function<void()> action);
    void after(double delaySeconds, std::function<void()> action);
    void runUntil(MonoTime end);

private:
    struct Event {
        MonoTime time;
        std::uint64_t order = 0;
        std::function<void()> action;
    };
    struct IsLater {
        bool operator()(const Event &left, const Event &right) const;
    };

    std::priority_queue<Event, std::vector<Event>, IsLater> events_;
    MonoTime now_ = MonoTime{} + std::chrono::hours(1);
    std::uint64_t order_ = 0;
};

double toSeconds(MonoClock::duration duration);
MonoClock::duration fromSeconds(double value);

double exponential(double mean, Random &random);

/** Log-normal with the given mean; about two thirds of the values lie within a factor of two. */
double lengthy(double mean, Random &random);

/** @param share between 0 and 1. @return the value below which that share of the samples lies; 0 without any. */
double percentile(std::span<const double> samples, double share);
double mean(std::span<const double> samples);

/** Draws ranks 0 to size - 1 with Zipf's popularity. */
class Zipf
{
public:
    Zipf(std::size_t size, double exponent);
    std::size_t draw(Random &random) const;

private:
    std::vector<double> cumulative_;
};

} // namespace magnolia::bench

#endif
