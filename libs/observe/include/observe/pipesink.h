#ifndef MAGNOLIA_OBSERVE_PIPESINK_H
#define MAGNOLIA_OBSERVE_PIPESINK_H

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>

namespace magnolia::observe
{

/**
 * Writes lines to a pipe or file without ever waiting for its reader.
 *
 * A process whose log collector stands still would else stand still too, with all of its callers. A line that the pipe has
 * no room for is left out and counted, and the count is written before the next line that finds room. Any thread may log.
 *
 * @code
 * configureLogging({.format = LogFormat::Json, .sink = std::make_shared<PipeSink>(STDOUT_FILENO)});
 * @endcode
 */
class PipeSink final : public spdlog::sinks::base_sink<std::mutex>
{
public:
    /** @param fd stays open and is not closed here. */
    explicit PipeSink(int fd) : fd_(fd) {}

    std::uint64_t leftOut() const ///< Lines since the last count was written.
    {
        return leftOut_;
    }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override; // NOLINT(readability-identifier-naming): spdlog's name
    void flush_() override {} // NOLINT(readability-identifier-naming): spdlog's name

private:
    bool hasRoom() const;
    bool put(std::string_view line) const;

    int fd_;
    std::uint64_t leftOut_ = 0;
};

} // namespace magnolia::observe

#endif
