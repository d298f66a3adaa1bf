#include "servicetimes.h"

#include <algorithm>
#include <cmath>

namespace magnolia::policy
{

namespace
{

constexpr double FitDecay = 0.99; ///< Weight of a sample after each further one: some 100 samples count.
constexpr double PaceGain = 0.1;
constexpr double LengthGain = 0.03;
/** As for retransmission timers, with one more, since the lengths of answers have a long tail; with the mean alone a third of them was cut short. */
constexpr double DeviationsForLong = 5;
/** Samples' worth of trust in the initial values, so that the first one alone does not turn the estimate. */
constexpr double PriorSamples = 2;

double seconds(MonoClock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void learnMean(double &mean, double value, double gain, bool first)
{
    mean = first ? value : mean + gain * (value - mean);
}

} // namespace

ServiceTimes::ServiceTimes(double initialFirstToken, double initialTotal)
    : initialFirstToken_(initialFirstToken), initialTotal_(std::max(initialTotal, initialFirstToken))
{
}

void ServiceTimes::learn(const ServiceSample &sample, std::uint32_t promptTokens)
{
    if (!sample.valid) {
        return;
    }
    const double first = std::max(0.0, seconds(sample.firstToken));
    const double rest = std::max(0.0, seconds(sample.total) - first);
    const double prompt = promptTokens;
    count_ = count_ * FitDecay + 1;
    sumPrompt_ = sumPrompt_ * FitDecay + prompt;
    sumFirst_ = sumFirst_ * FitDecay + first;
    sumPromptSquared_ = sumPromptSquared_ * FitDecay + prompt * prompt;
    sumPromptFirst_ = sumPromptFirst_ * FitDecay + prompt * first;
    if (sample.outputTokens > 0) {
        learnMean(tokenTime_, rest / sample.outputTokens, PaceGain, !hasTokens_);
        learnMean(outputTokens_, sample.outputTokens, LengthGain, !hasTokens_);
        hasTokens_ = true;
    } else {
        learnMean(rest_, rest, LengthGain, !hasRest_);
        hasRest_ = true;
    }
}

void ServiceTimes::learnElapsed(double elapsed, std::uint32_t promptTokens)
{
    deviation_ += LengthGain * (std::abs(elapsed - total(promptTokens)) - deviation_);
}

double ServiceTimes::meanFirstToken() const
{
    return (sumFirst_ + PriorSamples * initialFirstToken_) / (count_ + PriorSamples);
}

double ServiceTimes::firstToken(std::uint32_t promptTokens) const
{
    const double mean = meanFirstToken();
    if (count_ < PriorSamples) {
        return mean;
    }
    const double meanPrompt = sumPrompt_ / count_;
    const double variance = sumPromptSquared_ / count_ - meanPrompt * meanPrompt;
    if (variance < 1) {
        return mean;
    }
    const double covariance = sumPromptFirst_ / count_ - meanPrompt * sumFirst_ / count_;
    const double slope = std::max(0.0, covariance / variance);
    return std::max(0.0, mean + slope * (promptTokens - meanPrompt));
}

double ServiceTimes::total(std::uint32_t promptTokens) const
{
    if (hasTokens_) {
        return firstToken(promptTokens) + tokenTime_ * outputTokens_;
    }
    if (hasRest_) {
        return firstToken(promptTokens) + rest_;
    }
    return firstToken(promptTokens) + initialTotal_ - initialFirstToken_;
}

double ServiceTimes::longTotal(std::uint32_t promptTokens) const
{
    return total(promptTokens) + DeviationsForLong * deviation_;
}

double ServiceTimes::deviation() const
{
    return deviation_;
}

double ServiceTimes::meanTotal() const
{
    return total(0) - firstToken(0) + meanFirstToken();
}

} // namespace magnolia::policy
