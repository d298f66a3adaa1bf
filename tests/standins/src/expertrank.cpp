#include "expertrank.h"

#include <utility>

namespace magnolia::standins
{

namespace
{

constexpr std::uint64_t TokensOfMostPopular = 64;

} // namespace

ExpertRank::ExpertRank(Options options) : options_(std::move(options)), load_(options_.experts, 0) {}

void ExpertRank::step()
{
    const std::uint64_t next = step_ + 1;
    const bool isHeld = prepared_ && next >= prepared_->holdStep;
    if (epoch_ == 0 || isHeld) {
        return;
    }
    step_ = next;
    if (committed_ && step_ >= committed_->holdStep) {
        mapInUse_ = committed_->map;
        committed_.reset();
    }
    recordUse();
    for (std::size_t expert = 0; expert < load_.size(); ++expert) {
        const std::size_t popularity = (expert + shift_) % load_.size();
        load_[expert] += TokensOfMostPopular / (popularity + 1);
    }
}

void ExpertRank::recordUse()
{
    if (history_.empty() || history_.back().map != mapInUse_ || history_.back().epoch != epoch_) {
        history_.push_back({.fromStep = step_, .map = mapInUse_, .epoch = epoch_});
    }
}

Json ExpertRank::toJson() const
{
    Json prepared = nullptr;
    if (prepared_) {
        prepared = {{"map", prepared_->map}, {"hold_step", prepared_->holdStep}, {"epoch", epoch_}};
    }
    return {{"group", options_.group},
            {"rank", options_.rank},
            {"epoch", epoch_},
            {"map", map_},
            {"pending", committed_.has_value()},
            {"step", step_},
            {"loaded", loaded_},
            {"prepared", prepared},
            {"load", load_}};
}

Json ExpertRank::history() const
{
    Json all = Json::array();
    for (const MapUse &use : history_) {
        all.push_back({{"from_step", use.fromStep}, {"map", use.map}, {"epoch", use.epoch}});
    }
    return all;
}

bool ExpertRank::isPrepared(std::uint64_t map, std::uint64_t epoch) const
{
    return prepared_ && prepared_->map == map && epoch == epoch_;
}

std::optional<std::string> ExpertRank::prepare(std::uint64_t map, std::uint64_t epoch, std::uint64_t holdStep)
{
    if (isPrepared(map, epoch) && prepared_->holdStep == holdStep) {
        return std::nullopt;
    }
    if (epoch != epoch_) {
        return "not the engine's epoch";
    }
    if (prepared_) {
        return "another map is prepared";
    }
    if (map <= map_) {
        return "the map is not newer than the one in force";
    }
    if (!isLoaded(map)) {
        return "map not loaded";
    }
    if (holdStep <= step_) {
        return "the step has passed";
    }
    prepared_ = Prepared{.map = map, .holdStep = holdStep};
    return std::nullopt;
}

void ExpertRank::commit(std::uint64_t map, std::uint64_t epoch)
{
    if (isPrepared(map, epoch)) {
        committed_ = std::exchange(prepared_, std::nullopt);
        map_ = map;
    }
}

void ExpertRank::abort(std::uint64_t map, std::uint64_t epoch)
{
    if (isPrepared(map, epoch)) {
        prepared_.reset();
    }
}

void ExpertRank::join(std::uint64_t map, std::uint64_t epoch, std::uint64_t step)
{
    if (epoch <= epoch_) {
        return;
    }
    loaded_.insert(map);
    epoch_ = epoch;
    map_ = map;
    mapInUse_ = map;
    step_ = step == 0 ? 0 : step - 1;
    prepared_.reset();
    committed_.reset();
}

} // namespace magnolia::standins
