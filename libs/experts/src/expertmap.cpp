#include "experts/expertmap.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace magnolia::experts
{

namespace
{

using nlohmann::json;

constexpr const char *RanksMember = "ranks";
constexpr const char *LayersMember = "layers";

/**
 * Takes a map's CBOR or JSON as a stream of events. Nesting is checked as it comes: the library's readers recurse, and a
 * payload of a million opening brackets would otherwise exhaust the stack.
 */
class MapReader : public nlohmann::json_sax<json>
{
public:
    // Replicas by layer and expert, as far as read.
    std::vector<std::vector<std::vector<Rank>>> layers;
    std::size_t ranks = 0;

    bool number_unsigned(number_unsigned_t value) override // NOLINT(readability-identifier-naming)
    {
        if (depth_ == RootDepth && key_ == RanksMember && value >= 1 && value <= ExpertMap::MaxRanks) {
            ranks = value;
            return true;
        }
        if (depth_ != ReplicaDepth || value >= ExpertMap::MaxRanks) {
            return false;
        }
        layers.back().back().push_back(static_cast<Rank>(value));
        return layers.back().back().size() <= ExpertMap::MaxRanks;
    }

    bool start_array(std::size_t /*elements*/) override // NOLINT(readability-identifier-naming)
    {
        if (depth_ == 0 || key_ != LayersMember) {
            return false;
        }
        ++depth_;
        if (depth_ == ExpertDepth) {
            layers.emplace_back();
            return layers.size() <= ExpertMap::MaxLayers;
        }
        if (depth_ == ReplicaDepth) {
            layers.back().emplace_back();
            return layers.back().size() <= ExpertMap::MaxExperts;
        }
        return depth_ == LayerDepth;
    }

    bool end_array() override // NOLINT(readability-identifier-naming)
    {
        --depth_;
        return true;
    }

    bool start_object(std::size_t /*elements*/) override // NOLINT(readability-identifier-naming)
    {
        ++depth_;
        return depth_ == RootDepth;
    }

    bool end_object() override // NOLINT(readability-identifier-naming)
    {
        --depth_;
        return true;
    }

    bool key(string_t &name) override
    {
        key_ = name;
        return name == RanksMember || name == LayersMember;
    }

    bool null() override
    {
        return false;
    }
    bool boolean(bool /*value*/) override
    {
        return false;
    }
    bool number_integer(number_integer_t /*value*/) override // NOLINT(readability-identifier-naming)
    {
        return false;
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override // NOLINT(readability-identifier-naming)
    {
        return false;
    }
    bool string(string_t & /*value*/) override
    {
        return false;
    }
    bool binary(binary_t & /*value*/) override
    {
        return false;
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/, const nlohmann::detail::exception & /*error*/) override
    { // NOLINT(readability-identifier-naming)
        return false;
    }

private:
    static constexpr int RootDepth = 1;
    static constexpr int LayerDepth = 2;
    static constexpr int ExpertDepth = 3;
    static constexpr int ReplicaDepth = 4;

    int depth_ = 0;
    std::string key_;
};

json toValue(const ExpertMap &map)
{
    json layers = json::array();
    for (Layer layer = 0; layer < map.shape().layers; ++layer) {
        json experts = json::array();
        for (Expert expert = 0; expert < map.shape().experts; ++expert) {
            const auto replicas = map.replicas(layer, expert);
            experts.push_back(std::vector<Rank>(replicas.begin(), replicas.end()));
        }
        layers.push_back(std::move(experts));
    }
    return {{RanksMember, map.shape().ranks}, {LayersMember, std::move(layers)}};
}

Result<ExpertMap> read(std::string_view data, json::input_format_t format)
{
    if (data.size() > ExpertMap::MaxEncodedBytes) {
        return fail(ErrorCode::TooLarge, Verdict::NotRun, "expert map is too large");
    }
    MapReader reader;
    if (!json::sax_parse(data, &reader, format) || reader.ranks == 0 || reader.layers.empty() || reader.layers.front().empty()) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, "expert map is malformed");
    }
    const std::size_t experts = reader.layers.front().size();
    ExpertMap map({.ranks = static_cast<Rank>(reader.ranks), .layers = static_cast<Layer>(reader.layers.size()), .experts = static_cast<Expert>(experts)});
    for (std::size_t layer = 0; layer < reader.layers.size(); ++layer) {
        if (reader.layers[layer].size() != experts) {
            return fail(ErrorCode::BadInput, Verdict::NotRun, "expert map has layers of different sizes");
        }
        for (std::size_t expert = 0; expert < experts; ++expert) {
            for (const Rank rank : reader.layers[layer][expert]) {
                if (rank >= reader.ranks || !map.add(static_cast<Layer>(layer), static_cast<Expert>(expert), rank)) {
                    return fail(ErrorCode::BadInput, Verdict::NotRun, "expert map names an unknown or doubled rank");
                }
            }
        }
    }
    return map;
}

} // namespace

ExpertMap::ExpertMap(Shape shape) : shape_(shape), replicas_(static_cast<std::size_t>(shape.layers) * shape.experts) {}

ExpertMap ExpertMap::roundRobin(Shape shape, std::uint32_t slotsPerRank)
{
    ExpertMap map(shape);
    const std::size_t slots = static_cast<std::size_t>(shape.ranks) * slotsPerRank;
    const std::size_t useful = std::min(slots, static_cast<std::size_t>(shape.ranks) * shape.experts);
    for (Layer layer = 0; layer < shape.layers; ++layer) {
        for (std::size_t slot = 0; slot < useful; ++slot) {
            const auto expert = static_cast<Expert>(slot % shape.experts);
            auto rank = static_cast<Rank>(slot % shape.ranks);
            while (!map.add(layer, expert, rank)) {
                rank = static_cast<Rank>((rank + 1) % shape.ranks);
            }
        }
    }
    return map;
}

const ExpertMap::Shape &ExpertMap::shape() const
{
    return shape_;
}

std::span<const Rank> ExpertMap::replicas(Layer layer, Expert expert) const
{
    return replicas_[indexOf(layer, expert)];
}

bool ExpertMap::holds(Layer layer, Expert expert, Rank rank) const
{
    const auto &ranks = replicas_[indexOf(layer, expert)];
    return std::binary_search(ranks.begin(), ranks.end(), rank);
}

bool ExpertMap::add(Layer layer, Expert expert, Rank rank)
{
    auto &ranks = replicas_[indexOf(layer, expert)];
    const auto place = std::lower_bound(ranks.begin(), ranks.end(), rank);
    if (place != ranks.end() && *place == rank) {
        return false;
    }
    ranks.insert(place, rank);
    return true;
}

bool ExpertMap::remove(Layer layer, Expert expert, Rank rank)
{
    auto &ranks = replicas_[indexOf(layer, expert)];
    const auto place = std::lower_bound(ranks.begin(), ranks.end(), rank);
    if (place == ranks.end() || *place != rank) {
        return false;
    }
    ranks.erase(place);
    return true;
}

std::vector<Expert> ExpertMap::expertsOf(Layer layer, Rank rank) const
{
    std::vector<Expert> experts;
    for (Expert expert = 0; expert < shape_.experts; ++expert) {
        if (holds(layer, expert, rank)) {
            experts.push_back(expert);
        }
    }
    return experts;
}

bool ExpertMap::isComplete() const
{
    return std::none_of(replicas_.begin(), replicas_.end(), [](const auto &ranks) { return ranks.empty(); });
}

std::size_t ExpertMap::replicasMissingFrom(const ExpertMap &other) const
{
    std::size_t missing = 0;
    for (Layer layer = 0; layer < shape_.layers; ++layer) {
        for (Expert expert = 0; expert < shape_.experts; ++expert) {
            for (const Rank rank : replicas(layer, expert)) {
                missing += other.holds(layer, expert, rank) ? 0 : 1;
            }
        }
    }
    return missing;
}

std::string ExpertMap::encode() const
{
    std::string bytes;
    json::to_cbor(toValue(*this), bytes);
    return bytes;
}

std::string ExpertMap::toJson() const
{
    return toValue(*this).dump();
}

Result<ExpertMap> ExpertMap::decode(std::string_view cbor)
{
    return read(cbor, json::input_format_t::cbor);
}

Result<ExpertMap> ExpertMap::fromJson(std::string_view text)
{
    return read(text, json::input_format_t::json);
}

std::size_t ExpertMap::indexOf(Layer layer, Expert expert) const
{
    return static_cast<std::size_t>(layer) * shape_.experts + expert;
}

} // namespace magnolia::experts
