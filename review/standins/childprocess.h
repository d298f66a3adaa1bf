#ifndef MAGNOLIA_REVIEW_CHILDPROCESS_H
#define MAGNOLIA_REVIEW_CHILDPROCESS_H

#include <fcntl.h>
#include <signal.h> // NOLINT(modernize-deprecated-headers): kill() is not in <csignal>.
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <string>
#include <vector>

namespace magnolia::review
{

/** A process that a case started, ended at the latest with this object or with the case's own process. */
class ChildProcess
{
public:
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile)
    {
        std::vector<std::string> texts{program};
        texts.insert(texts.end(), arguments.begin(), arguments.end());
        std::vector<char *> pointers;
        pointers.reserve(texts.size() + 1);
        for (std::string &text : texts) {
            pointers.push_back(text.data());
        }
        pointers.push_back(nullptr);
        constexpr mode_t LogMode = 0644;
        const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LogMode);
        pid_ = ::fork();
        if (pid_ == 0) {
            constexpr int ExecFailed = 127;
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            ::execv(pointers.front(), pointers.data());
            ::_exit(ExecFailed);
        }
        ::close(log);
    }
    ~ChildProcess()
    {
        kill();
    }
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void signal(int number) const
    {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }

    /** Kills it and waits for its end. */
    void kill()
    {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }

    bool isRunning()
    {
        if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
            pid_ = -1;
        }
        return pid_ > 0;
    }

    /** @return its anonymous memory, without files and libraries, in kB. */
    std::size_t anonymousKb() const
    {
        std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
        std::string word;
        while (status >> word) {
            if (word == "RssAnon:") {
                std::size_t amount = 0;
                status >> amount;
                return amount;
            }
        }
        return 0;
    }

private:
    pid_t pid_ = -1;
};

} // namespace magnolia::review

#endif
