#ifndef MAGNOLIA_OBSERVE_METRICS_H
#define MAGNOLIA_OBSERVE_METRICS_H

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace magnolia::observe
{

/** Label names and values of one series. */
using Labels = std::map<std::string, std::string>;

/** A sum that only grows. */
class Counter
{
public:
    void add(double amount = 1)
    {
        value_ += amount;
    }
    double value() const
    {
        return value_;
    }

private:
    double value_ = 0;
};

/** A value that goes up and down. */
class Gauge
{
public:
    void set(double value)
    {
        value_ = value;
    }
    void add(double amount)
    {
        value_ += amount;
    }
    double value() const
    {
        return value_;
    }

private:
    double value_ = 0;
};

/** Durations, as count and sum since the start and quantiles over the last one to two windows. */
class Timing
{
public:
    using Seconds = std::chrono::duration<double>;

    virtual ~Timing() = default;
    virtual void record(Seconds duration) = 0;

    /** @param quantile one of TimingQuantiles. @return an estimate over the last one to two windows; 0 s with no sample. */
    virtual Seconds quantile(double quantile) const = 0;
    virtual std::size_t count() const = 0;
};

/** Quantiles that each Timing estimates. */
constexpr double TimingQuantiles[] = {0.5, 0.9, 0.95, 0.99};

/**
 * The metrics of one process.
 *
 * Lives as long as the process; all calls are on its loop's thread. Counter, Gauge and Timing references stay valid as
 * long as the Metrics. The number of series under a name is bounded: once it is reached, further label values share one
 * series whose values are all "other", since labels that follow callers (an organisation, a model) would else grow memory
 * and the scrape without bound.
 *
 * @code
 * Counter &refused = metrics.counter("magnolia_refused_total", "Requests refused.", {{"code", "overloaded"}});
 * refused.add();
 * exchange->reply(200, {{"content-type", MetricsContentType}}, metrics.render());
 * @endcode
 */
class Metrics
{
public:
    struct Options {
        std::size_t maxSeriesPerName = 200;
        std::chrono::seconds window{60}; ///< Quantiles look back over one to two of these.
        std::function<MonoTime()> now = MonoClock::now;
    };

    Metrics();
    explicit Metrics(Options options);
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    Counter &counter(std::string_view name, std::string_view help, const Labels &labels = {});
    Gauge &gauge(std::string_view name, std::string_view help, const Labels &labels = {});
    Timing &timing(std::string_view name, std::string_view help, const Labels &labels = {});

    /** @return all of it as Prometheus text, version 0.0.4. Timings are summaries in seconds. */
    std::string render() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

/** Value of the Content-Type header for Metrics::render(). */
constexpr const char *MetricsContentType = "text/plain; version=0.0.4; charset=utf-8";

} // namespace magnolia::observe

#endif
