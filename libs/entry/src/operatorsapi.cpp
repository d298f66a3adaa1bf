#include "operatorsapi.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace magnolia::entry
{

namespace
{

using Json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

std::string print(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpAnswer jsonAnswer(int status, const Json &json)
{
    return {.status = status, .headers = {{"content-type", "application/json"}}, .body = print(json)};
}

HttpAnswer refusal(ErrorCode code, std::string detail)
{
    return errorAnswer({.code = code, .verdict = Verdict::NotRun, .detail = std::move(detail), .retryAfter = {}}, RequestId{});
}

Json linkOf(const Agent &agent)
{
    Json link{{"agent", agent.at.name},
              {"endpoint", agent.at.endpoint},
              {"address", agent.at.address},
              {"up", agent.isUp()},
              {"incarnation", agent.incarnation},
              {"in_flight", agent.ownInFlight},
              {"leaving", agent.isLeaving()}};
    if (agent.report) {
        link["manifest_version"] = agent.report->manifestVersion;
    }
    return link;
}

Json endpointOf(const Agent &agent)
{
    const wire::LoadReport &report = *agent.report;
    return {{"endpoint", agent.at.endpoint},
            {"serving", report.serving},
            {"leaving", report.leaving},
            {"loaded", report.loaded},
            {"running", report.running},
            {"queued_paying", report.queuedPaying},
            {"queued_trial", report.queuedTrial},
            {"limit", report.limit},
            {"wait_paying_ms", report.waitPaying.count()},
            {"wait_trial_ms", report.waitTrial.count()}};
}

/** A text field of the request; empty if it is absent or of another type. */
std::string field(const Json &request, const char *name)
{
    const auto found = request.find(name);
    return found != request.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

} // namespace

std::string statusBody(const StatusFacts &facts)
{
    Json links = Json::array();
    Json endpoints = Json::array();
    for (const auto &[name, agent] : facts.pool.agents()) {
        links.push_back(linkOf(*agent));
        if (agent->report) {
            endpoints.push_back(endpointOf(*agent));
        }
    }
    return print({{"program", "magnolia-entry"},
                  {"instance", facts.instance},
                  {"data_centre", facts.dataCentre},
                  {"version", MAGNOLIA_VERSION},
                  {"manifest",
                   {{"version", facts.manifest.version},
                    {"root", facts.manifest.root},
                    {"wanted_version", facts.manifest.wantedVersion},
                    {"isolated", facts.manifest.isolated},
                    {"store_reachable", facts.manifest.storeReachable}}},
                  {"incarnation", 0},
                  {"leaving", facts.isLeaving},
                  {"in_progress", facts.inProgress},
                  {"links", std::move(links)},
                  {"endpoints", std::move(endpoints)}});
}

HttpAnswer readyAnswer(std::string_view reason)
{
    if (reason.empty()) {
        return jsonAnswer(StatusOk, {{"ready", true}});
    }
    return jsonAnswer(StatusUnavailable, {{"ready", false}, {"reason", reason}});
}

HttpAnswer explainAnswer(std::string_view body, const manifest::ManifestIndex::Pointer &index, Placement &placement, MonoTime now)
{
    const Json request = Json::parse(body, nullptr, false);
    if (!request.is_object()) {
        return refusal(ErrorCode::BadInput, "the body must be a JSON object with \"organisation\" and \"model\" or \"service\"");
    }
    if (index == nullptr) {
        return refusal(ErrorCode::Unavailable, "no manifest is in force yet");
    }
    const manifest::Organisation *organisation = index->organisation(field(request, "organisation"));
    if (organisation == nullptr) {
        return refusal(ErrorCode::NotFound, "no such organisation");
    }
    const std::string model = field(request, "model");
    const std::string service = field(request, "service");
    if (model.empty() == service.empty()) {
        return refusal(ErrorCode::BadInput, "give either \"model\" or \"service\"");
    }
    Wanted wanted;
    std::optional<std::uint64_t> prefix;
    if (!model.empty()) {
        const auto target = index->resolveModel(*organisation, model);
        if (!target) {
            return errorAnswer(target.error(), RequestId{});
        }
        const auto name = manifest::ModelName::parse(model).value_or(manifest::ModelName{});
        wanted = {.model = name.model, .adapter = name.adapter, .version = name.version, .service = {}};
    } else {
        const auto target = index->resolveService(*organisation, service);
        if (!target) {
            return errorAnswer(target.error(), RequestId{});
        }
        wanted.service = service;
    }
    Json candidates = Json::array();
    for (const Explanation &line : placement.explain(wanted, prefix, now)) {
        Json entry{{"agent", line.agent}, {"endpoint", line.endpoint}, {"candidate", line.isCandidate}, {"reason", line.reason}};
        entry["score"] = line.isCandidate ? Json(line.score) : Json();
        candidates.push_back(std::move(entry));
    }
    return jsonAnswer(StatusOk,
                      {{"manifest_version", index->version()},
                       {"class", organisation->tier == manifest::Tier::Paying ? "paying" : "trial"},
                       {"candidates", std::move(candidates)}});
}

} // namespace magnolia::entry
