#include "experts/skew.h"

#include <algorithm>
#include <numeric>

namespace magnolia::experts
{

std::vector<double> predictedTimes(const ExpertMap &map, Layer layer, const Demand &demand)
{
    std::vector<double> times(map.shape().ranks, 0.0);
    for (Expert expert = 0; expert < map.shape().experts; ++expert) {
        const auto replicas = map.replicas(layer, expert);
        for (const Rank rank : replicas) {
            times[rank] += demand.shares[layer][expert] / static_cast<double>(replicas.size());
        }
    }
    for (std::size_t rank = 0; rank < times.size(); ++rank) {
        times[rank] /= demand.speeds[rank];
    }
    return times;
}

double predictedSkew(const ExpertMap &map, const Demand &demand)
{
    double slowest = 0;
    double mean = 0;
    for (Layer layer = 0; layer < map.shape().layers; ++layer) {
        const auto times = predictedTimes(map, layer, demand);
        slowest += *std::max_element(times.begin(), times.end());
        mean += std::accumulate(times.begin(), times.end(), 0.0) / static_cast<double>(times.size());
    }
    return mean > 0 ? slowest / mean : 1.0;
}

} // namespace magnolia::experts
