#include "endpointprobe.h"

#include "observe/log.h"

#include <utility>

namespace magnolia::forward
{

namespace
{

// A lost opening packet is sent again after a second; a successor at the same address takes about as long to start.
constexpr Duration AnswerTime{1500};

// Endpoints keep idle connections for some seconds.
constexpr Duration KeepTime{2000};

} // namespace

std::string_view toString(EndpointFate fate)
{
    switch (fate) {
    case EndpointFate::Ended:
        return "ended";
    case EndpointFate::Lives:
        return "lives";
    case EndpointFate::Unknown:
        return "unknown";
    }
    return "unknown";
}

EndpointProbe::EndpointProbe(event_base *loop, EndpointConnections &connections) : loop_(loop), connections_(connections) {}

void EndpointProbe::ask(const routing::EndpointPointer &endpoint, std::function<void(EndpointFate)> done)
{
    const std::string &id = endpoint->record.id;
    if (const auto found = questions_.find(id); found != questions_.end()) {
        found->second->waiting.push_back(std::move(done));
        return;
    }
    auto question = std::make_unique<Question>(loop_, [this, id] { timedOut(std::string(id)); });
    question->endpoint = endpoint;
    question->waiting.push_back(std::move(done));
    dial(id, *question);
    questions_.emplace(id, std::move(question));
}

void EndpointProbe::dial(const std::string &id, Question &question)
{
    const auto address = http::SocketAddress::parse(question.endpoint->record.address);
    bool isRefused = false;
    question.connection = address ? http::Connection::dial(loop_, *address, &isRefused) : nullptr;
    if (question.connection == nullptr || question.connection->isConnected()) {
        const EndpointFate otherwise = isRefused ? EndpointFate::Ended : EndpointFate::Unknown;
        question.fate = question.connection != nullptr ? EndpointFate::Lives : otherwise;
        question.timer.start(Duration(0));
        return;
    }
    question.timer.start(AnswerTime);
    // Copies of the id, since settling replaces the callback that is running.
    question.connection->setCallbacks({
        .onConnected = [this, id] { settle(std::string(id), EndpointFate::Lives); },
        .onEnd = [this, id](http::ConnectionEnd) { settle(std::string(id), EndpointFate::Ended); },
    });
}

void EndpointProbe::timedOut(const std::string &id)
{
    const auto found = questions_.find(id);
    if (found != questions_.end()) {
        settle(id, found->second->fate);
    }
}

void EndpointProbe::settle(const std::string &id, EndpointFate fate)
{
    const auto found = questions_.find(id);
    if (found == questions_.end()) {
        return;
    }
    const std::unique_ptr<Question> question = std::move(found->second);
    questions_.erase(found);
    const std::shared_ptr<http::Connection> connection = question->connection;
    if (fate == EndpointFate::Lives && question->endpoint->acceptsRequests()) {
        connections_.keep(id, connection, KeepTime);
    } else if (connection != nullptr) {
        connection->setCallbacks({});
        connection->close();
    }
    observe::logger("endpoints")->info("Probed after a connection broke id={} address={} fate={}", id, question->endpoint->record.address, toString(fate));
    for (const auto &done : question->waiting) {
        done(fate);
    }
}

} // namespace magnolia::forward
