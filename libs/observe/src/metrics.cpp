#include "observe/metrics.h"

#include "timingwindow.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <cassert>
#include <sstream>
#include <utility>
#include <variant>

namespace magnolia::observe
{

namespace
{

constexpr const char *OtherValue = "other";

using Series = std::variant<Counter, Gauge, WindowedTiming>;

struct Family {
    std::string help;
    std::map<Labels, Series> series;
};

Labels withOtherValues(Labels labels)
{
    for (auto &[name, value] : labels) {
        value = OtherValue;
    }
    return labels;
}

prometheus::MetricType typeOf(const Series &series)
{
    if (std::holds_alternative<Counter>(series)) {
        return prometheus::MetricType::Counter;
    }
    if (std::holds_alternative<Gauge>(series)) {
        return prometheus::MetricType::Gauge;
    }
    return prometheus::MetricType::Summary;
}

void writeValue(prometheus::ClientMetric &metric, const Counter &counter)
{
    metric.counter.value = counter.value();
}

void writeValue(prometheus::ClientMetric &metric, const Gauge &gauge)
{
    metric.gauge.value = gauge.value();
}

void writeValue(prometheus::ClientMetric &metric, const WindowedTiming &timing)
{
    metric.summary.sample_count = timing.count();
    metric.summary.sample_sum = timing.sum();
    for (const double quantile : TimingQuantiles) {
        metric.summary.quantile.push_back({.quantile = quantile, .value = timing.quantile(quantile).count()});
    }
}

prometheus::ClientMetric toClientMetric(const Labels &labels, const Series &series)
{
    prometheus::ClientMetric metric;
    for (const auto &[name, value] : labels) {
        metric.label.push_back({.name = name, .value = value});
    }
    std::visit([&metric](const auto &kind) { writeValue(metric, kind); }, series);
    return metric;
}

} // namespace

class Metrics::Impl
{
public:
    explicit Impl(Options options) : options_(std::move(options)) {}

    template<typename Kind>
    Kind &series(std::string_view name, std::string_view help, const Labels &labels)
    {
        Family &family = families_.try_emplace(std::string(name), Family{.help = std::string(help), .series = {}}).first->second;
        auto found = family.series.find(labels);
        if (found == family.series.end()) {
            const bool isFull = family.series.size() >= options_.maxSeriesPerName;
            found = family.series.try_emplace(isFull ? withOtherValues(labels) : labels, create<Kind>()).first;
        }
        assert(std::holds_alternative<Kind>(found->second) && "one name, one kind of metric");
        return std::get<Kind>(found->second);
    }

    std::string render() const
    {
        std::vector<prometheus::MetricFamily> families;
        for (const auto &[name, family] : families_) {
            prometheus::MetricFamily out{.name = name, .help = family.help, .type = typeOf(family.series.begin()->second), .metric = {}};
            for (const auto &[labels, series] : family.series) {
                out.metric.push_back(toClientMetric(labels, series));
            }
            families.push_back(std::move(out));
        }
        std::ostringstream text;
        prometheus::TextSerializer().Serialize(text, families);
        return text.str();
    }

private:
    template<typename Kind>
    Series create() const
    {
        if constexpr (std::is_same_v<Kind, WindowedTiming>) {
            return WindowedTiming(options_.window, options_.now);
        } else {
            return Kind();
        }
    }

    Options options_;
    std::map<std::string, Family> families_;
};

Metrics::Metrics() : Metrics(Options{}) {}

Metrics::Metrics(Options options) : impl_(std::make_unique<Impl>(std::move(options))) {}

Metrics::~Metrics() = default;

Counter &Metrics::counter(std::string_view name, std::string_view help, const Labels &labels)
{
    return impl_->series<Counter>(name, help, labels);
}

Gauge &Metrics::gauge(std::string_view name, std::string_view help, const Labels &labels)
{
    return impl_->series<Gauge>(name, help, labels);
}

Timing &Metrics::timing(std::string_view name, std::string_view help, const Labels &labels)
{
    return impl_->series<WindowedTiming>(name, help, labels);
}

std::string Metrics::render() const
{
    return impl_->render();
}

} // namespace magnolia::observe
