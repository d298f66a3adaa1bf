#include "answerbuffers.h"

#include <algorithm>
#include <utility>

namespace magnolia::forward
{

namespace
{

// Part of the process's memory for answers of one kind. A buffer that grows takes up to three times its size for a moment.
constexpr std::size_t MemoryDivisor = 8;

} // namespace

AnswerBuffers::AnswerBuffers(Options options) : limit_(options.memoryLimit / MemoryDivisor), heldBytes_(options.heldBytes) {}

void AnswerBuffers::onResized(Share &share, std::size_t bytes)
{
    total_ = total_ - share.bytes_ + bytes;
    share.bytes_ = bytes;
    if (bytes > 0) {
        holding_.insert(&share);
    } else {
        holding_.erase(&share);
    }
    heldBytes_.set(static_cast<double>(total_));
}

void AnswerBuffers::giveUpLargest()
{
    const auto isSmaller = [](const Share *one, const Share *other) { return one->bytes_ < other->bytes_; };
    Share &largest = **std::max_element(holding_.begin(), holding_.end(), isSmaller);
    const auto onGivenUp = largest.onGivenUp_; // Copied, since the call may destroy the share.
    onGivenUp();
}

AnswerBuffers::Share::Share(AnswerBuffers &buffers, std::function<void()> onGivenUp) : buffers_(buffers), onGivenUp_(std::move(onGivenUp)) {}

AnswerBuffers::Share::~Share()
{
    buffers_.onResized(*this, 0);
}

void AnswerBuffers::Share::resize(std::size_t bytes)
{
    if (bytes == bytes_) {
        return;
    }
    AnswerBuffers &buffers = buffers_; // The share may be destroyed by a call below.
    const bool isGrowing = bytes > bytes_;
    buffers.onResized(*this, bytes);
    while (isGrowing && buffers.total_ > buffers.limit_) {
        const std::size_t before = buffers.total_;
        buffers.giveUpLargest();
        if (buffers.total_ >= before) {
            return;
        }
    }
}

} // namespace magnolia::forward
