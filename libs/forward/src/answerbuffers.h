#ifndef MAGNOLIA_FORWARD_ANSWERBUFFERS_H
#define MAGNOLIA_FORWARD_ANSWERBUFFERS_H

#include "observe/metrics.h"

#include <cstddef>
#include <functional>
#include <unordered_set>

namespace magnolia::forward
{

/**
 * Bounds the memory that answers of one kind take, over all requests of an entry: those that are incomplete, or those that callers have not read.
 *
 * Beyond the bound the largest answer is given up. It is the one most likely to have no end, or a caller that doesn't read: others are small beside the bound.
 * Lives as long as the entry's task, used on its thread.
 *
 * @code
 * AnswerBuffers::Share share(buffers, [this] { onAttemptEnd(AttemptEnd::Endless); });
 * share.resize(body.size()); // may call back
 * @endcode
 */
class AnswerBuffers
{
public:
    struct Options {
        std::size_t memoryLimit = 0; ///< Of the process, in bytes.
        observe::Gauge &heldBytes;
    };

    /** What one request, or one caller, holds. */
    class Share
    {
    public:
        /** @param onGivenUp has to resize the share to less, or release it. May be called from within resize() of any share. */
        Share(AnswerBuffers &buffers, std::function<void()> onGivenUp);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /** Gives answers up while all shares together exceed the bound. */
        void resize(std::size_t bytes);

    private:
        friend class AnswerBuffers;

        AnswerBuffers &buffers_;
        std::function<void()> onGivenUp_;
        std::size_t bytes_ = 0;
    };

    explicit AnswerBuffers(Options options);
    AnswerBuffers(const AnswerBuffers &) = delete;
    AnswerBuffers &operator=(const AnswerBuffers &) = delete;

    /** @return the bound on all shares together, in bytes. */
    std::size_t limit() const
    {
        return limit_;
    }

private:
    void onResized(Share &share, std::size_t bytes);
    void giveUpLargest();

    std::size_t limit_;
    observe::Gauge &heldBytes_;
    std::size_t total_ = 0;
    std::unordered_set<Share *> holding_; ///< The shares that are not empty.
};

} // namespace magnolia::forward

#endif
