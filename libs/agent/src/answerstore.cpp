#include "agent/answerstore.h"

#include <algorithm>

namespace magnolia::agent
{

namespace
{

/** What an answer costs beside its chunks. */
constexpr std::size_t AnswerOverhead = 256;
constexpr std::size_t ChunkOverhead = 32;

} // namespace

AnswerStore::AnswerStore(const Options &options) : options_(options) {}

void AnswerStore::begin(const wire::AttemptId &id, std::uint32_t firstChunk)
{
    answers_.emplace(id, Answer{.firstChunk = firstChunk, .chunks = {}, .bytes = AnswerOverhead, .finish = {}, .endedAt = {}});
}

std::uint32_t AnswerStore::append(const wire::AttemptId &id, std::string_view data)
{
    Answer &answer = answers_[id];
    answer.chunks.emplace_back(data);
    answer.bytes += data.size() + ChunkOverhead;
    return answer.firstChunk + static_cast<std::uint32_t>(answer.chunks.size()) - 1;
}

std::uint32_t AnswerStore::nextChunk(const wire::AttemptId &id) const
{
    const auto found = answers_.find(id);
    return found == answers_.end() ? 0 : found->second.firstChunk + static_cast<std::uint32_t>(found->second.chunks.size());
}

void AnswerStore::finish(const wire::Finish &finish, MonoTime now)
{
    Answer &answer = answers_[finish.id];
    if (answer.finish) {
        return;
    }
    answer.finish = finish;
    answer.endedAt = now;
    ended_.push_back(finish.id);
    endedBytes_ += answer.bytes;
    while (endedBytes_ > options_.maxEndedBytes && !ended_.empty()) {
        dropOldest();
    }
}

bool AnswerStore::has(const wire::AttemptId &id) const
{
    return answers_.contains(id);
}

std::vector<wire::Message> AnswerStore::from(const wire::AttemptId &id, std::uint32_t chunk) const
{
    std::vector<wire::Message> messages;
    const auto found = answers_.find(id);
    if (found == answers_.end()) {
        return messages;
    }
    const Answer &answer = found->second;
    const std::uint32_t begin = std::max(chunk, answer.firstChunk);
    for (std::size_t i = begin - answer.firstChunk; i < answer.chunks.size(); ++i) {
        messages.emplace_back(wire::Chunk{.id = id, .index = answer.firstChunk + static_cast<std::uint32_t>(i), .data = answer.chunks[i]});
    }
    if (answer.finish) {
        messages.emplace_back(*answer.finish);
    }
    return messages;
}

void AnswerStore::expire(MonoTime now)
{
    while (!ended_.empty() && now - answers_.at(ended_.front()).endedAt >= options_.keep) {
        dropOldest();
    }
}

std::size_t AnswerStore::endedBytes() const
{
    return endedBytes_;
}

void AnswerStore::dropOldest()
{
    const auto found = answers_.find(ended_.front());
    endedBytes_ -= found->second.bytes;
    answers_.erase(found);
    ended_.pop_front();
}

} // namespace magnolia::agent
