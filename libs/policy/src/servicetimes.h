#ifndef MAGNOLIA_POLICY_SERVICETIMES_H
#define MAGNOLIA_POLICY_SERVICETIMES_H

#include "policy/admissionqueue.h"

namespace magnolia::policy
{

/**
 * Learns how long work of one class holds a slot, from work that has finished. All times are seconds.
 *
 * First token: a line over prompt tokens, fitted to decayed sums. The rest: output tokens times the time per token, each
 * a decayed mean, so that a change of the endpoint's pace is learned sooner than one of the answers' length.
 */
class ServiceTimes
{
public:
    ServiceTimes(double initialFirstToken, double initialTotal);

    void learn(const ServiceSample &sample, std::uint32_t promptTokens);

    /** @param elapsed first start to end, with all preemptions in between. */
    void learnElapsed(double elapsed, std::uint32_t promptTokens);

    double firstToken(std::uint32_t promptTokens) const; ///< Start to first token.
    double total(std::uint32_t promptTokens) const; ///< Start to end.
    double longTotal(std::uint32_t promptTokens) const; ///< First start to end of all but the longest few in a hundred.
    double deviation() const; ///< Mean deviation of the elapsed time from total().
    double meanFirstToken() const;
    double meanTotal() const;

private:
    double initialFirstToken_;
    double initialTotal_;
    // Decayed sums of the fit: count, prompt tokens, first-token time, and their products.
    double count_ = 0;
    double sumPrompt_ = 0;
    double sumFirst_ = 0;
    double sumPromptSquared_ = 0;
    double sumPromptFirst_ = 0;
    double tokenTime_ = 0;
    double outputTokens_ = 0;
    double deviation_ = 0; ///< Decayed mean of how far the elapsed time was off the total.
    double rest_ = 0; ///< Of work without tokens.
    bool hasTokens_ = false;
    bool hasRest_ = false;
};

} // namespace magnolia::policy

#endif
