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
    switchIfDue();
    const bool isHeld = prepared_ && step_ >= prepared_->holdStep;
    if (isHeld) {
        return;
    }
    for (std::size_t expert = 0; expert < load_.size(); ++expert) {
        const std::size_t popularity = (expert + shift_) % load_.size();
        load_[expert] += TokensOfMostPopular / (popularity + 1);
    }
    ++step_;
}

void ExpertRank::switchIfDue()
{
    if (!prepared_ || !prepared_->isCommitted || step_ < prepared_->holdStep) {
        return;
    }
    map_ = prepared_->map;
    prepared_.reset();
    history_.push_back({.fromStep = step_, .map = map_});
}

Json ExpertRank::toJson() const
{
    Json prepared = nullptr;
    if (prepared_) {
        prepared = {{"map", prepared_->map}, {"hold_step", prepared_->holdStep}, {"epoch", prepared_->epoch}};
    }
    return {{"group", options_.group},
            {"rank", options_.rank},
            {"epoch", epoch_},
            {"map", map_},
            {"step", step_},
            {"loaded", loaded_},
            {"prepared", prepared},
            {"load", load_}};
}

Json ExpertRank::history() const
{
    Json all = Json::array();
    for (const MapUse &use : history_) {
        all.push_back({{"from_step", use.fromStep}, {"map", use.map}});
    }
    return all;
}

std::optional<std::string> ExpertRank::prepare(std::uint64_t map, std::uint64_t epoch, std::uint64_t holdStep)
{
    if (prepared_ && prepared_->map == map && prepared_->epoch == epoch && prepared_->holdStep == holdStep) {
        return std::nullopt;
    }
    if (epoch < epoch_) {
        return "old epoch";
    }
    if (prepared_ && prepared_->epoch == epoch) {
        return "another map is prepared";
    }
    if (!loaded_.contains(map)) {
        return "map not loaded";
    }
    if (holdStep <= step_) {
        return "the step has passed";
    }
    epoch_ = epoch;
    prepared_ = Prepared{.map = map, .epoch = epoch, .holdStep = holdStep, .isCommitted = false};
    return std::nullopt;
}

std::optional<std::string> ExpertRank::commit(std::uint64_t map, std::uint64_t epoch)
{
    if (prepared_ && prepared_->map == map && prepared_->epoch == epoch) {
        prepared_->isCommitted = true;
        return std::nullopt;
    }
    const bool isDone = map_ == map && epoch_ == epoch;
    return isDone ? std::nullopt : std::optional<std::string>("not prepared");
}

std::optional<std::string> ExpertRank::abort(std::uint64_t map, std::uint64_t epoch)
{
    const bool isPrepared = prepared_ && prepared_->map == map && prepared_->epoch == epoch;
    if (isPrepared && prepared_->isCommitted) {
        return "already committed";
    }
    if (isPrepared) {
        prepared_.reset();
    }
    return std::nullopt;
}

} // namespace magnolia::standins
