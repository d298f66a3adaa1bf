#ifndef MAGNOLIA_ROUTING_ANSWERMEMORY_H
#define MAGNOLIA_ROUTING_ANSWERMEMORY_H

#include "base/clock.h"
#include "routing/crashcauses.h"
#include "routing/routetable.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace magnolia::routing
{

/**
 * Remembers which requests and parts of prompts endpoints have answered completely of late.
 *
 * What has just been answered is hardly what crashes endpoints, although several of them may crash while they run it. A release of the endpoints may
 * have made it harmful, however. It is no longer trusted after a number of crashes one after the other without an answer in between, or after a single
 * one if its service has meanwhile answered so many other requests that several with it should have been among them. Memory is bounded by two
 * generations, of which the older one is dropped. Not thread-safe.
 *
 * @code
 * memory.onAnswered(causes, now);
 * if (!memory.isUnlikelyCause(fingerprint, crashedAt)) { report(fingerprint); }
 * @endcode
 */
class AnswerMemory
{
public:
    struct Options {
        Duration retention{60000}; ///< Answers are remembered for this time at least, unless there are too many.
        std::size_t maxRemembered = 20000; ///< In each of two generations.
        std::uint32_t maxCrashes = 4; ///< Crashes one after the other after which it is no longer trusted.
        double maxMissingAnswers = 4; ///< Expected answers that did not come, after which a single crash suffices.
    };

    explicit AnswerMemory(const Options &options);

    /** A request was answered completely. */
    void onAnswered(const CrashCauses &causes, BootTime now);

    /** An endpoint crashed that was running it. Crashes of concurrent attempts count once. */
    void onCrash(std::string_view fingerprint, BootTime dispatchedAt, BootTime now);

    /** Whether a crash at the given time says nothing about it, because it was answered since or shortly before. */
    bool isUnlikelyCause(std::string_view fingerprint, BootTime crashedAt) const;

private:
    struct ServiceAnswers {
        std::uint64_t total = 0;
        std::uint64_t atGenerationStart = 0; ///< Value of total when the current generation began.
        std::uint64_t atPreviousStart = 0; ///< The same for the preceding generation.
    };

    struct Answers {
        ServiceAnswers *service = nullptr; ///< Of the latest answer.
        std::uint32_t count = 0; ///< In this generation.
        std::uint64_t serviceTotal = 0; ///< All answers of the service up to the latest one.
        BootTime lastAt{};
        std::uint32_t crashesSince = 0; ///< Crashes since lastAt, one after the other.
        BootTime crashedAt{};
    };

    using Generation = TextMap<Answers>; ///< By fingerprint.

    void startGeneration(BootTime now);
    double missingAnswers(const Answers &latest, std::uint32_t count) const;
    static const Answers *find(const Generation &generation, std::string_view fingerprint);

    Options options_;
    TextMap<ServiceAnswers> services_;
    Generation current_;
    Generation previous_;
    BootTime generationStart_;
};

} // namespace magnolia::routing

#endif
