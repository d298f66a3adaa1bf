#include "ctl/daemons.h"

#include "ctl/await.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace magnolia::ctl
{

namespace
{

using Json = nlohmann::json;
constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;
constexpr int StatusNotFound = 404;
constexpr int StatusMethodNotAllowed = 405;

template<typename T>
T valueOr(const Json &object, const char *key, T fallback)
{
    const auto entry = object.find(key);
    if (entry == object.end()) {
        return fallback;
    }
    try {
        return entry->get<T>();
    } catch (const Json::exception &) {
        return fallback;
    }
}

} // namespace

struct Daemons::Daemon {
    std::string address;
    std::unique_ptr<http::HttpClient> client;
};

Daemons::Daemons(event_base *loop, settings::DaemonsSettings settings) : loop_(loop), settings_(std::move(settings))
{
    for (const std::string &address : settings_.addresses) {
        add(address);
    }
}

Daemons::~Daemons() = default;

void Daemons::add(const std::string &address)
{
    const bool isKnown = std::any_of(daemons_.begin(), daemons_.end(), [&address](const auto &daemon) { return daemon->address == address; });
    if (isKnown || address.empty()) {
        return;
    }
    auto daemon = std::make_unique<Daemon>();
    daemon->address = address;
    daemon->client = std::make_unique<http::HttpClient>(loop_, http::HttpClient::Options{.address = address, .connectTimeout = settings_.timeout});
    daemons_.push_back(std::move(daemon));
}

std::vector<DaemonReport> Daemons::reports()
{
    std::vector<DaemonReport> reports(daemons_.size());
    std::size_t waiting = daemons_.size();
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        reports[i].address = daemons_[i]->address;
        http::HttpClient::Request request;
        request.path = "/status";
        request.timeout = settings_.timeout;
        daemons_[i]->client->send(std::move(request), [&waiting, &report = reports[i]](Result<http::Response> response) {
            if (response && response->status == StatusOk) {
                report = readReport(report.address, response->body);
            }
            --waiting;
        });
    }
    while (waiting > 0) {
        event_base_loop(loop_, EVLOOP_ONCE);
    }
    return reports;
}

Result<void> Daemons::drain(const std::string &address)
{
    add(address);
    const auto daemon = std::find_if(daemons_.begin(), daemons_.end(), [&address](const auto &candidate) { return candidate->address == address; });
    auto response = await<Result<http::Response>>(loop_, [this, &daemon](auto done) {
        http::HttpClient::Request request;
        request.method = "POST";
        request.path = "/drain";
        request.headers = {{"authorization", "Bearer " + settings_.key.expose()}};
        request.timeout = settings_.timeout;
        (*daemon)->client->send(std::move(request), std::move(done));
    });
    if (!response) {
        return tl::unexpected(std::move(response.error()));
    }
    if (response->status != StatusOk && response->status != StatusAccepted) {
        return fail(ErrorCode::EndpointError, Verdict::NotRun, fmt::format("{} answered {}: {}", address, response->status, response->body));
    }
    return {};
}

Result<std::string> Daemons::explain(const std::string &question)
{
    Failure last{.code = ErrorCode::NotFound, .verdict = Verdict::NotRun, .detail = "no daemon of the settings is an entry", .retryAfter = {}};
    for (const auto &daemon : daemons_) {
        auto response = await<Result<http::Response>>(loop_, [this, &daemon, &question](auto done) {
            http::HttpClient::Request request;
            request.method = "POST";
            request.path = "/explain";
            request.headers = {{"content-type", "application/json"}};
            if (!settings_.key.empty()) {
                request.headers.emplace("authorization", "Bearer " + settings_.key.expose());
            }
            request.body = question;
            request.timeout = settings_.timeout;
            daemon->client->send(std::move(request), std::move(done));
        });
        if (!response) {
            last = std::move(response.error());
        } else if (response->status == StatusOk) {
            return std::move(response->body);
        } else if (response->status != StatusNotFound && response->status != StatusMethodNotAllowed) {
            return fail(ErrorCode::EndpointError, Verdict::NotRun, fmt::format("{} answered {}: {}", daemon->address, response->status, response->body));
        }
    }
    return tl::unexpected(std::move(last));
}

DaemonReport readReport(const std::string &address, std::string_view body)
{
    DaemonReport report;
    report.address = address;
    const Json status = Json::parse(body, nullptr, false);
    if (!status.is_object()) {
        return report;
    }
    report.answered = true;
    report.text = status.dump();
    report.program = valueOr(status, "program", std::string());
    report.instance = valueOr(status, "instance", address);
    report.dataCentre = valueOr(status, "data_centre", std::string());
    report.leaving = valueOr(status, "leaving", false);
    const Json manifest = valueOr(status, "manifest", Json::object());
    if (manifest.is_object()) {
        report.manifestVersion = valueOr(manifest, "version", std::uint64_t{0});
        report.manifestRoot = valueOr(manifest, "root", std::string());
    }
    return report;
}

} // namespace magnolia::ctl
