#include "experts/popularity.h"

#include <cmath>
#include <numeric>

namespace magnolia::experts
{

Popularity::Popularity(Options options)
    : options_(options)
    , shares_(options.layers, std::vector<double>(options.experts, options.experts == 0 ? 0 : 1.0 / options.experts))
    , observed_(options.layers, false)
{
}

void Popularity::observe(Layer layer, std::span<const double> tokens, Duration interval)
{
    const double total = std::accumulate(tokens.begin(), tokens.end(), 0.0);
    if (total <= 0 || tokens.size() != options_.experts) {
        return;
    }
    // Shares rather than counts are averaged, so that a quiet night does not weigh less than a busy day.
    const double kept = observed_[layer] ? std::exp2(-static_cast<double>(interval.count()) / static_cast<double>(options_.halfLife.count())) : 0;
    for (std::size_t expert = 0; expert < tokens.size(); ++expert) {
        shares_[layer][expert] = kept * shares_[layer][expert] + (1 - kept) * tokens[expert] / total;
    }
    observed_[layer] = true;
}

std::span<const double> Popularity::shares(Layer layer) const
{
    return shares_[layer];
}

} // namespace magnolia::experts
