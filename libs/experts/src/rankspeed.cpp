#include "experts/rankspeed.h"

#include <algorithm>
#include <cmath>

namespace magnolia::experts
{

RankSpeed::RankSpeed(Options options) : options_(options), rates_(options.ranks, 0.0), speeds_(options.ranks, 1.0) {}

void RankSpeed::observe(Rank rank, double work, Duration busy, Duration interval)
{
    if (rank >= options_.ranks || work <= 0 || busy.count() <= 0) {
        return;
    }
    const double rate = work / static_cast<double>(busy.count());
    const double halfLives = static_cast<double>(interval.count()) / static_cast<double>(options_.halfLife.count());
    const double kept = rates_[rank] > 0 ? std::exp2(-halfLives) : 0;
    rates_[rank] = kept * rates_[rank] + (1 - kept) * rate;
    normalise();
}

std::span<const double> RankSpeed::speeds() const
{
    return speeds_;
}

void RankSpeed::normalise()
{
    double sum = 0;
    std::size_t measured = 0;
    for (const double rate : rates_) {
        sum += rate;
        measured += rate > 0 ? 1 : 0;
    }
    const double mean = sum / static_cast<double>(measured);
    double total = 0;
    for (std::size_t rank = 0; rank < rates_.size(); ++rank) {
        // A rank that has never been measured is taken for an average one.
        speeds_[rank] = rates_[rank] > 0 ? std::max(options_.lowest, rates_[rank] / mean) : 1.0;
        total += speeds_[rank];
    }
    const double scale = static_cast<double>(speeds_.size()) / total;
    for (double &speed : speeds_) {
        speed *= scale;
    }
}

} // namespace magnolia::experts
