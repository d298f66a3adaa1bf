#include "operatorsapi.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace magnolia::agent
{

namespace
{

using Json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;
constexpr int StatusUnauthorised = 401;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;

const http::Headers JsonHeaders = {{"content-type", "application/json"}};

void refuse(http::Exchange &exchange, int status, ErrorCode code, const std::string &message)
{
    const Json error = {{"error", {{"code", make_error_code(code).message()}, {"message", message}, {"verdict", toString(Verdict::NotRun)}}}};
    exchange.reply(status, JsonHeaders, error.dump());
}

} // namespace

Result<std::unique_ptr<OperatorsApi>>
OperatorsApi::listen(event_base *loop, const http::HttpServer::Options &options, observe::Secret key, observe::Metrics &metrics, Ports ports)
{
    std::unique_ptr<OperatorsApi> api(new OperatorsApi(std::move(key), metrics, std::move(ports)));
    auto server = http::HttpServer::listen(loop, options, [self = api.get()](const std::shared_ptr<http::Exchange> &exchange) { self->handle(*exchange); });
    if (!server) {
        return tl::unexpected(server.error());
    }
    api->server_ = std::move(*server);
    return api;
}

OperatorsApi::OperatorsApi(observe::Secret key, observe::Metrics &metrics, Ports ports) : key_(std::move(key)), metrics_(metrics), ports_(std::move(ports)) {}

std::string OperatorsApi::address() const
{
    return server_->address();
}

void OperatorsApi::handle(http::Exchange &exchange)
{
    const std::string_view path = exchange.path();
    const bool isGet = exchange.method() == "GET";
    if (isGet && path == "/healthz") {
        exchange.reply(StatusOk, {}, "ok\n");
    } else if (isGet && path == "/readyz") {
        const std::string reason = ports_.notReadyReason();
        if (reason.empty()) {
            exchange.reply(StatusOk, JsonHeaders, Json({{"ready", true}}).dump());
        } else {
            exchange.reply(StatusUnavailable, JsonHeaders, Json({{"ready", false}, {"reason", reason}}).dump());
        }
    } else if (isGet && path == "/metrics") {
        ports_.beforeMetrics();
        exchange.reply(StatusOk, {{"content-type", observe::MetricsContentType}}, metrics_.render());
    } else if (isGet && path == "/status") {
        exchange.reply(StatusOk, JsonHeaders, ports_.status());
    } else if (exchange.method() == "POST" && path == "/drain") {
        drain(exchange);
    } else {
        refuse(exchange, StatusNotFound, ErrorCode::NotFound, "no such path");
    }
}

void OperatorsApi::drain(http::Exchange &exchange)
{
    constexpr std::string_view Scheme = "Bearer ";
    const auto header = exchange.headers().find("authorization");
    const std::string_view value = header == exchange.headers().end() ? std::string_view{} : std::string_view(header->second);
    if (!value.starts_with(Scheme) || key_.empty() || !key_.matches(value.substr(Scheme.size()))) {
        refuse(exchange, StatusUnauthorised, ErrorCode::Unauthorised, "the operators' key is needed");
        return;
    }
    exchange.reply(StatusAccepted, JsonHeaders, Json({{"leaving", true}}).dump());
    ports_.drain();
}

} // namespace magnolia::agent
