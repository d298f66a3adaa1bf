#ifndef MAGNOLIA_PATH_PROCESS_H
#define MAGNOLIA_PATH_PROCESS_H

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace magnolia::path
{

/**
 * One process that a test started, ended at the latest with this object.
 *
 * If the test program itself is killed, the kernel ends its processes: nothing is left behind.
 */
class Process
{
public:
    struct Options {
        std::string program; ///< Path of the executable.
        std::vector<std::string> arguments;
        std::string logFile; ///< Standard output and error are appended here.
    };

    explicit Process(const Options &options);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&) = delete;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    void terminate() const; ///< SIGTERM: a planned stop.
    void kill() const; ///< SIGKILL
    void freeze() const; ///< SIGSTOP
    void thaw() const; ///< SIGCONT

    bool isRunning();

    /** @return the exit code, or 128 and the signal's number; nothing while it runs. */
    std::optional<int> exitCode();

private:
    void reap();

    pid_t pid_ = -1;
    std::optional<int> exitCode_;
};

} // namespace magnolia::path

#endif
