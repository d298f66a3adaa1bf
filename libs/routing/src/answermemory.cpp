#include "routing/answermemory.h"

#include <string>
#include <utility>

namespace magnolia::routing
{

AnswerMemory::AnswerMemory(const Options &options) : options_(options) {}

void AnswerMemory::onAnswered(const CrashCauses &causes, BootTime now)
{
    if (now - generationStart_ >= options_.retention || current_.size() >= options_.maxRemembered) {
        startGeneration(now);
    }
    ServiceAnswers &service = services_[causes.service];
    ++service.total;
    causes.forEach([&](const std::string &fingerprint) {
        Answers &answers = current_[fingerprint];
        answers = {.service = &service, .count = answers.count + 1, .serviceTotal = service.total, .lastAt = now};
    });
}

void AnswerMemory::startGeneration(BootTime now)
{
    previous_ = std::exchange(current_, {});
    generationStart_ = now;
    for (auto &[name, service] : services_) {
        service.atPreviousStart = std::exchange(service.atGenerationStart, service.total);
    }
}

void AnswerMemory::onCrash(std::string_view fingerprint, BootTime dispatchedAt, BootTime now)
{
    for (Generation *generation : {&current_, &previous_}) {
        const auto found = generation->find(fingerprint);
        if (found != generation->end() && dispatchedAt >= found->second.crashedAt) {
            ++found->second.crashesSince;
            found->second.crashedAt = now;
        }
    }
}

bool AnswerMemory::isUnlikelyCause(std::string_view fingerprint, BootTime crashedAt) const
{
    const Answers *current = find(current_, fingerprint);
    const Answers *previous = find(previous_, fingerprint);
    const Answers *latest = current != nullptr ? current : previous;
    if (latest == nullptr) {
        return false;
    }
    const std::uint32_t count = (current == nullptr ? 0 : current->count) + (previous == nullptr ? 0 : previous->count);
    const bool isMissed = latest->crashesSince > 0 && missingAnswers(*latest, count) >= options_.maxMissingAnswers;
    return latest->lastAt >= crashedAt || (latest->crashesSince < options_.maxCrashes && !isMissed);
}

/** @return how many answers to it would have come since the latest one, had its share of the service's answers stayed the same. */
double AnswerMemory::missingAnswers(const Answers &latest, std::uint32_t count) const
{
    const auto remembered = static_cast<double>(latest.serviceTotal - latest.service->atPreviousStart);
    const auto since = static_cast<double>(latest.service->total - latest.serviceTotal);
    return remembered > 0 ? count / remembered * since : 0;
}

const AnswerMemory::Answers *AnswerMemory::find(const Generation &generation, std::string_view fingerprint)
{
    const auto found = generation.find(fingerprint);
    return found == generation.end() ? nullptr : &found->second;
}

} // namespace magnolia::routing
