#ifndef MAGNOLIA_FORWARD_HEALTHCHECK_H
#define MAGNOLIA_FORWARD_HEALTHCHECK_H

#include "forward/protocol.h"
#include "forwardmetrics.h"
#include "http/httpclient.h"
#include "http/timer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

struct event_base;

namespace magnolia::forward
{

/**
 * Asks endpoints whether they are healthy, each time on a connection of its own.
 *
 * An endpoint is healthy if it answers with 200 and names itself by its id: its address may have been given to another one. Owned by the task, used on its
 * loop; what its options refer to outlives it.
 *
 * @code
 * checks.ask({.id = "e1", .address = "10.0.0.9:80", .path = "/health"}, [](bool isHealthy) { ... });
 * @endcode
 */
class HealthCheck
{
public:
    struct Options {
        event_base *loop = nullptr;
        const Protocol &protocol;
        ForwardMetrics &metrics;
    };

    explicit HealthCheck(const Options &options);
    HealthCheck(const HealthCheck &) = delete;
    HealthCheck &operator=(const HealthCheck &) = delete;

    struct Subject {
        std::string id{};
        std::string address{}; ///< "IP:PORT"
        std::string path{}; ///< On which endpoints of its service state their health. Empty: they don't, so the result is false.
        Duration delay{0}; ///< Before it is asked.
    };

    /** @param done called once, never from within this call; not called if this is destroyed first. */
    void ask(Subject subject, std::function<void(bool isHealthy)> done);

private:
    struct Question {
        Subject subject;
        std::unique_ptr<http::Timer> delay;
        std::unique_ptr<http::HttpClient> client;
        std::function<void(bool)> done;
        bool isHealthy = false;
        bool isAnswered = false;
    };

    void send(std::uint64_t number);
    void onAnswer(std::uint64_t number, const Result<http::Response> &answer);
    void onAnswered(std::uint64_t number, bool isHealthy);
    void report();

    Options options_;
    std::unordered_map<std::uint64_t, Question> questions_; ///< By number.
    std::uint64_t lastNumber_ = 0;
    http::Timer reportTimer_; ///< Clients must not be destroyed from within their callbacks.
};

} // namespace magnolia::forward

#endif
