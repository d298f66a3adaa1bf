#include "process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <utility>

namespace magnolia::path
{

namespace
{

constexpr int SignalExitBase = 128;
constexpr int ExecFailed = 127;
constexpr mode_t LogMode = 0644;

// Runs in the child between fork and exec, so only calls that are safe there.
[[noreturn]] void becomeProgram(const char *program, char *const *arguments, int log)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execv(program, arguments);
    ::_exit(ExecFailed);
}

} // namespace

Process::Process(const Options &options)
{
    std::vector<std::string> texts = options.arguments;
    texts.insert(texts.begin(), options.program);
    std::vector<char *> arguments;
    arguments.reserve(texts.size() + 1);
    for (std::string &text : texts) {
        arguments.push_back(text.data());
    }
    arguments.push_back(nullptr);
    const int log = ::open(options.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LogMode);
    pid_ = ::fork();
    if (pid_ == 0) {
        becomeProgram(options.program.c_str(), arguments.data(), log);
    }
    ::close(log);
    if (pid_ < 0) {
        throw std::runtime_error("cannot start " + options.program);
    }
}

Process::Process(Process &&other) noexcept : pid_(std::exchange(other.pid_, -1)), exitCode_(other.exitCode_) {}

Process::~Process()
{
    if (pid_ < 0 || exitCode_) {
        return;
    }
    kill();
    ::waitpid(pid_, nullptr, 0);
}

void Process::signal(int number) const
{
    // Never by the id of a process that has been waited for: it may be somebody else's by now.
    if (pid_ > 0 && !exitCode_) {
        ::kill(pid_, number);
    }
}

void Process::terminate() const
{
    signal(SIGTERM);
}

void Process::kill() const
{
    signal(SIGKILL);
}

void Process::freeze() const
{
    signal(SIGSTOP);
}

void Process::thaw() const
{
    signal(SIGCONT);
}

bool Process::isRunning()
{
    reap();
    return !exitCode_;
}

std::optional<int> Process::exitCode()
{
    reap();
    return exitCode_;
}

void Process::reap()
{
    int status = 0;
    if (exitCode_ || ::waitpid(pid_, &status, WNOHANG) != pid_) {
        return;
    }
    exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : SignalExitBase + WTERMSIG(status);
}

} // namespace magnolia::path
