#ifndef MAGNOLIA_AGENT_ANSWERSTORE_H
#define MAGNOLIA_AGENT_ANSWERSTORE_H

#include "base/clock.h"
#include "wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::agent
{

/**
 * The answers of running and just ended attempts, kept so that a link that breaks in mid-stream loses nothing: the entry
 * asks for the rest over a fresh link. Bounded in time and bytes after an attempt's end. Pure; one thread calls it.
 *
 * @code
 * store.begin(id, dispatch.resumeAfter);
 * store.append(id, data);
 * store.finish(finish, now);
 * for (const wire::Message &message : store.from(id, attach.fromChunk)) { link.send(message); }
 * @endcode
 */
class AnswerStore
{
public:
    struct Options {
        Duration keep{30000}; ///< How long an ended attempt's answer can be asked for.
        std::size_t maxEndedBytes = 64U << 20U; ///< Of all ended ones together; the oldest make room.
    };

    explicit AnswerStore(const Options &options);

    /** @param firstChunk index of the first chunk that will come. */
    void begin(const wire::AttemptId &id, std::uint32_t firstChunk);

    /** @return the index of the chunk. */
    std::uint32_t append(const wire::AttemptId &id, std::string_view data);

    /** @return the index after the last chunk; 0 if the attempt is not here. */
    std::uint32_t nextChunk(const wire::AttemptId &id) const;

    void finish(const wire::Finish &finish, MonoTime now);

    bool has(const wire::AttemptId &id) const;

    /** @return the chunks from that index on, and the Finish if there is one. */
    std::vector<wire::Message> from(const wire::AttemptId &id, std::uint32_t chunk) const;

    /** Forgets what was kept long enough. */
    void expire(MonoTime now);

    std::size_t endedBytes() const;

private:
    struct Answer {
        std::uint32_t firstChunk = 0;
        std::vector<std::string> chunks;
        std::size_t bytes = 0;
        std::optional<wire::Finish> finish;
        MonoTime endedAt;
    };

    void dropOldest();

    Options options_;
    std::map<wire::AttemptId, Answer> answers_;
    std::list<wire::AttemptId> ended_; ///< In the order of their ends.
    std::size_t endedBytes_ = 0;
};

} // namespace magnolia::agent

#endif
