#include "streamingload.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

namespace magnolia::path
{

namespace
{

constexpr Duration ProbeInterval{50};
constexpr Duration ProbeTimeout{1000};
constexpr Duration FinishLimit{30000};

} // namespace

StreamingLoad::StreamingLoad(Deployment &deployment, Options options) : deployment_(deployment), options_(std::move(options)), health_(deployment.entryCount())
{
    deployment_.loop.onTurn([this] { turn(); });
}

StreamingLoad::~StreamingLoad()
{
    deployment_.loop.onTurn(nullptr);
}

bool StreamingLoad::waitForAnswers(int count, Duration limit)
{
    const int goal = wholeAnswers_ + count;
    return deployment_.loop.runUntil([this, goal] { return wholeAnswers_ >= goal; }, limit);
}

void StreamingLoad::finish()
{
    isFinishing_ = true;
    if (!deployment_.loop.runUntil([this] { return active_.empty(); }, FinishLimit)) {
        faults_.push_back(fmt::format("{} calls have not ended", active_.size()));
    }
}

void StreamingLoad::turn()
{
    const auto ended = std::partition(active_.begin(), active_.end(), [](const ActiveCall &active) { return !active.call->isEnded; });
    std::for_each(ended, active_.end(), [this](const ActiveCall &active) { check(active); });
    active_.erase(ended, active_.end());
    askEntries();
    startCalls();
}

void StreamingLoad::askEntries()
{
    const MonoTime now = MonoClock::now();
    for (std::size_t i = 0; i < health_.size(); ++i) {
        EntryHealth &health = health_[i];
        if (health.probe && health.probe->isEnded) {
            health.isReady = health.probe->status == 200;
            health.probe = nullptr;
        }
        if (!health.probe && now - health.askedAt >= ProbeInterval) {
            CallerRequest request;
            request.method = "GET";
            request.path = "/readyz";
            request.timeout = ProbeTimeout;
            health.askedAt = now;
            health.probe = deployment_.caller.start(deployment_.entry(i).operators.address(), request);
        }
    }
}

void StreamingLoad::startCalls()
{
    while (!isFinishing_ && active_.size() < static_cast<std::size_t>(options_.concurrency)) {
        const auto entry = nextEntry();
        if (!entry) {
            return;
        }
        const std::string marker = fmt::format("load-{}", started_++);
        const std::string address = deployment_.entry(*entry).work.address();
        const CallPtr call = deployment_.caller.start(address, chatRequest(options_.key, options_.model, marker, true));
        active_.push_back({.call = call, .marker = marker, .entry = deployment_.entry(*entry).name});
    }
}

std::optional<std::size_t> StreamingLoad::nextEntry()
{
    for (std::size_t tried = 0; tried < health_.size(); ++tried) {
        const std::size_t index = turn_++ % health_.size();
        if (health_[index].isReady) {
            return index;
        }
    }
    return std::nullopt;
}

void StreamingLoad::check(const ActiveCall &active)
{
    const Call &call = *active.call;
    const bool isOwnAndWhole = call.content() == expectedContent(active.marker, options_.pieces);
    if (call.status == 200 && call.isWhole && call.isDone() && isOwnAndWhole) {
        ++wholeAnswers_;
        return;
    }
    faults_.push_back(fmt::format("{} at {}: status {}, whole {}, failure '{}', body '{}'",
                                  active.marker,
                                  active.entry,
                                  call.status,
                                  call.isWhole,
                                  call.failure,
                                  call.body.substr(0, 600)));
}

} // namespace magnolia::path
