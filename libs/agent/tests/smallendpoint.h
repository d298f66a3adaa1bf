#ifndef MAGNOLIA_AGENT_TESTS_SMALLENDPOINT_H
#define MAGNOLIA_AGENT_TESTS_SMALLENDPOINT_H

#include "http/httpserver.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::agent
{

/** A model engine and a booking service at once, as docs/INTERFACES.md has them, whose answers the test lets go. */
class SmallEndpoint
{
public:
    using Json = nlohmann::json;

    explicit SmallEndpoint(event_base *loop)
        : server_(
            http::HttpServer::listen(loop, {.address = "127.0.0.1:0"}, [this](const std::shared_ptr<http::Exchange> &exchange) { handle(exchange); }).value())
    {
    }

    std::string address() const
    {
        return server_->address();
    }

    /** Gives the next pieces of the oldest open stream. */
    void give(int count)
    {
        Stream &stream = streams_.front();
        for (; count > 0; --count) {
            stream.exchange->sendPiece("data: piece " + std::to_string(stream.next++) + "\n\n");
        }
    }

    void endStream()
    {
        streams_.front().exchange->sendPiece("data: [DONE]\n\n");
        streams_.front().exchange->endStream();
        streams_.erase(streams_.begin());
    }

    std::size_t openStreams() const
    {
        return streams_.size();
    }

    std::map<std::string, std::string> models; ///< Version by name; what it serves.
    std::vector<Json> orders;
    std::map<std::string, int> bookings; ///< Runs by key.
    int hangups = 0;

private:
    struct Stream {
        std::shared_ptr<http::Exchange> exchange;
        int next = 0;
    };

    void handle(const std::shared_ptr<http::Exchange> &exchange)
    {
        if (exchange->path() == "/control/state") {
            exchange->reply(200, {}, state().dump());
        } else if (exchange->path() == "/control/orders") {
            orders.push_back(Json::parse(exchange->body()));
            if (orders.back().at("order") == "load_model") {
                models[orders.back().at("model")] = orders.back().at("version");
            }
            exchange->reply(200, {}, "{}");
        } else if (exchange->path() == "/v1/chat/completions") {
            exchange->onHangup([this] { ++hangups; });
            exchange->beginStream(200, {{"content-type", "text/event-stream"}});
            streams_.push_back({.exchange = exchange, .next = Json::parse(exchange->body()).at("resume_after").get<int>()});
        } else if (exchange->path() == "/health") {
            exchange->reply(200, {}, "");
        } else {
            const std::string key = exchange->headers().at("idempotency-key");
            exchange->reply(200, {{"content-type", "text/plain"}}, "booking " + std::to_string(++bookings[key]) + " of " + key);
        }
    }

    Json state() const
    {
        Json list = Json::array();
        for (const auto &[name, version] : models) {
            list.push_back({{"name", name}, {"version", version}, {"state", "serving"}, {"adapters", Json::array()}});
        }
        return {{"boot", "b1"}, {"role", "any"}, {"fence", 0}, {"models", list}, {"load", {{"running", 0}, {"waiting", 0}}}};
    }

    std::vector<Stream> streams_;
    std::unique_ptr<http::HttpServer> server_;
};

} // namespace magnolia::agent

#endif
