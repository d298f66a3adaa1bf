#include "healthcheck.h"

#include "http/headerlist.h"
#include "observe/log.h"
#include "statuscodes.h"

#include <string>
#include <utility>
#include <vector>

namespace magnolia::forward
{

namespace
{

constexpr Duration CheckTimeout{500}; ///< An endpoint may answer only once it has a free slot.
constexpr std::size_t MaxAnswerBytes = 64U << 10U; ///< Only the head of the answer is of interest.

} // namespace

HealthCheck::HealthCheck(const Options &options) : options_(options), reportTimer_(options.loop, [this] { report(); }) {}

void HealthCheck::ask(Subject subject, std::function<void(bool isHealthy)> done)
{
    const std::uint64_t number = ++lastNumber_;
    Question &question = questions_[number];
    question.done = std::move(done);
    question.subject = std::move(subject);
    if (question.subject.path.empty()) {
        onAnswered(number, false);
        return;
    }
    question.delay = std::make_unique<http::Timer>(options_.loop, [this, number] { send(number); });
    question.delay->start(question.subject.delay);
}

void HealthCheck::send(std::uint64_t number)
{
    Question &question = questions_.at(number);
    options_.metrics.healthChecks.add();
    question.client = std::make_unique<http::HttpClient>(
        options_.loop,
        http::HttpClient::Options{.address = question.subject.address, .maxConnections = 1, .connectTimeout = CheckTimeout, .maxBodyBytes = MaxAnswerBytes});
    question.client->send({.path = question.subject.path, .timeout = CheckTimeout},
                          [this, number](const Result<http::Response> &answer) { onAnswer(number, answer); });
}

void HealthCheck::onAnswer(std::uint64_t number, const Result<http::Response> &answer)
{
    const std::string &id = questions_.at(number).subject.id;
    bool isHealthy = false;
    if (answer) {
        http::HeaderList headers;
        for (const auto &[name, value] : answer->headers) {
            headers.add(name, value);
        }
        isHealthy = answer->status == StatusOk && headers.value(options_.protocol.endpointId) == id;
    }
    const int status = answer ? answer->status : 0;
    observe::logger("endpoints")
        ->info("Endpoint asked for its health id={} healthy={} status={} cause={}", id, isHealthy, status, answer ? "" : answer.error().detail);
    onAnswered(number, isHealthy);
}

void HealthCheck::onAnswered(std::uint64_t number, bool isHealthy)
{
    Question &question = questions_.at(number);
    question.isAnswered = true;
    question.isHealthy = isHealthy;
    reportTimer_.start(Duration(0));
}

void HealthCheck::report()
{
    std::vector<Question> answered;
    for (auto entry = questions_.begin(); entry != questions_.end();) {
        if (entry->second.isAnswered) {
            answered.push_back(std::move(entry->second));
            entry = questions_.erase(entry);
        } else {
            ++entry;
        }
    }
    for (const Question &question : answered) {
        question.done(question.isHealthy);
    }
}

} // namespace magnolia::forward
