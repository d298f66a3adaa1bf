#ifndef MAGNOLIA_ENTRY_COMPLETION_H
#define MAGNOLIA_ENTRY_COMPLETION_H

#include <memory>
#include <string>
#include <string_view>

namespace magnolia::entry
{

/** @return true for a "chat.completion.chunk" object; what an engine says instead, as a rule, is an error. */
bool isCompletionPiece(std::string_view data);

/**
 * Puts the pieces of a streamed chat completion together to the whole form of the OpenAI API.
 *
 * One for each request that did not ask for a stream; not thread-safe.
 *
 * @code
 * Completion completion;
 * completion.add(chunk.data);
 * exchange->reply(200, headers, completion.toJson());
 * @endcode
 */
class Completion
{
public:
    Completion();
    ~Completion();
    Completion(const Completion &) = delete;
    Completion &operator=(const Completion &) = delete;

    /** @param data of one server-sent event. @return false if it is no "chat.completion.chunk" object. */
    bool add(std::string_view data);

    /** @return the "chat.completion" object as JSON. */
    std::string toJson() const;

private:
    struct Data;
    std::unique_ptr<Data> data_;
};

} // namespace magnolia::entry

#endif
