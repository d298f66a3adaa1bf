#ifndef MAGNOLIA_PATH_STREAMINGLOAD_H
#define MAGNOLIA_PATH_STREAMINGLOAD_H

#include "deployment.h"

#include <cstddef>
#include <string>
#include <vector>

namespace magnolia::path
{

/**
 * Callers who keep a number of streams open through a balancer, and check that each gets the whole answer to its own request.
 *
 * The balancer asks each entry's /readyz often and sends to those that were ready when last asked, as the platform's
 * does. The load goes on whenever the deployment's loop turns, until finish().
 */
class StreamingLoad
{
public:
    struct Options {
        int concurrency = 12;
        std::string key{PayingKey};
        std::string model = "guide";
        int pieces = 8; ///< As the engines were started with.
    };

    StreamingLoad(Deployment &deployment, Options options);
    ~StreamingLoad();
    StreamingLoad(const StreamingLoad &) = delete;
    StreamingLoad &operator=(const StreamingLoad &) = delete;

    /** Waits until so many more answers have come whole; false if they have not within the limit. */
    bool waitForAnswers(int count, Duration limit = Duration{20000});

    /** Starts no more calls and waits for those under way. */
    void finish();

    int wholeAnswers() const
    {
        return wholeAnswers_;
    }

    /** One line for each call that was refused, cut off, lost, or answered with what was not its own. */
    const std::vector<std::string> &faults() const
    {
        return faults_;
    }

private:
    struct ActiveCall {
        CallPtr call;
        std::string marker;
        std::string entry;
    };

    struct EntryHealth {
        bool isReady = false;
        CallPtr probe;
        MonoTime askedAt;
    };

    void turn();
    void askEntries();
    void startCalls();
    void check(const ActiveCall &active);
    std::optional<std::size_t> nextEntry();

    Deployment &deployment_;
    Options options_;
    std::vector<EntryHealth> health_;
    std::vector<ActiveCall> active_;
    std::vector<std::string> faults_;
    std::size_t turn_ = 0;
    int started_ = 0;
    int wholeAnswers_ = 0;
    bool isFinishing_ = false;
};

} // namespace magnolia::path

#endif
