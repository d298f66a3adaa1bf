#include "observe/pipesink.h"

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <string>

namespace magnolia::observe
{

// A pipe that is ready for writing takes this many bytes without waiting (POSIX); a longer line is cut there.
constexpr std::size_t LongestLine = PIPE_BUF;

bool PipeSink::hasRoom() const
{
    pollfd waited{.fd = fd_, .events = POLLOUT, .revents = 0};
    return poll(&waited, 1, 0) == 1 && (waited.revents & POLLOUT) != 0;
}

bool PipeSink::put(std::string_view line) const
{
    if (!hasRoom()) {
        return false;
    }
    return write(fd_, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

void PipeSink::sink_it_(const spdlog::details::log_msg &message)
{
    spdlog::memory_buf_t buffer;
    formatter_->format(message, buffer);
    std::string line(buffer.data(), buffer.size());
    if (line.size() > LongestLine) {
        line.resize(LongestLine - 1);
        line.push_back('\n');
    }
    if (leftOut_ > 0) {
        spdlog::memory_buf_t notice;
        const std::string text = "Lines were left out since the log's reader was slow count=" + std::to_string(leftOut_);
        formatter_->format(spdlog::details::log_msg("log", spdlog::level::warn, text), notice);
        if (!put({notice.data(), notice.size()})) {
            ++leftOut_;
            return;
        }
        leftOut_ = 0;
    }
    if (!put(line)) {
        ++leftOut_;
    }
}

} // namespace magnolia::observe
