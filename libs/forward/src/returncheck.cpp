#include "returncheck.h"

#include <utility>

namespace magnolia::forward
{

namespace
{

// An endpoint that has asked for rest takes no more than a few requests.
constexpr int MaxQuestions = 2;

} // namespace

ReturnCheck::ReturnCheck(Options options, std::function<void()> onHealthy)
    : options_(std::move(options)), onHealthy_(std::move(onHealthy)), timer_(options_.loop, [this] { ask(); }), self_(std::make_shared<ReturnCheck *>(this))
{
    ask();
}

void ReturnCheck::ask()
{
    ++asked_;
    options_.task.askHealth(options_.endpoint, [self = std::weak_ptr(self_)](bool isHealthy) {
        if (const auto check = self.lock()) {
            (*check)->onAnswer(isHealthy);
        }
    });
}

void ReturnCheck::onAnswer(bool isHealthy)
{
    if (isHealthy) {
        const auto onHealthy = std::move(onHealthy_); // It may destroy this.
        onHealthy();
    } else if (asked_ < MaxQuestions) {
        timer_.start(options_.interval);
    }
}

} // namespace magnolia::forward
