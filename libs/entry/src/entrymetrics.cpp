#include "entrymetrics.h"

namespace magnolia::entry
{

namespace
{

std::string nameOf(manifest::Tier tier)
{
    return tier == manifest::Tier::Paying ? "paying" : "trial";
}

observe::Timing *timingOf(observe::Metrics &metrics, const char *name, const char *help, manifest::Tier tier)
{
    return &metrics.timing(name, help, {{"class", nameOf(tier)}});
}

constexpr const char *FirstTokenName = "magnolia_entry_first_token_seconds";
constexpr const char *FirstTokenHelp = "From a model request's arrival to the first piece of its answer.";
constexpr const char *BetweenTokensName = "magnolia_entry_between_tokens_seconds";
constexpr const char *BetweenTokensHelp = "Between two pieces of one answer.";

} // namespace

EntryMetrics::EntryMetrics(observe::Metrics &metrics)
    : metrics_(metrics)
    , firstToken_{timingOf(metrics, FirstTokenName, FirstTokenHelp, manifest::Tier::Paying),
                  timingOf(metrics, FirstTokenName, FirstTokenHelp, manifest::Tier::Trial)}
    , betweenTokens_{timingOf(metrics, BetweenTokensName, BetweenTokensHelp, manifest::Tier::Paying),
                     timingOf(metrics, BetweenTokensName, BetweenTokensHelp, manifest::Tier::Trial)}
    , inProgress(metrics.gauge("magnolia_entry_requests_in_progress", "Callers' requests that have not ended."))
    , linksUp(metrics.gauge("magnolia_entry_links_up", "Links to agents that are up."))
    , manifestVersion(metrics.gauge("magnolia_entry_manifest_version", "Manifest version in force; 0: none yet."))
    , retries(metrics.counter("magnolia_entry_retries_total", "Attempts after the first one of a request."))
    , resumed(metrics.counter("magnolia_entry_resumed_total", "Attempts that went on with an answer that the caller has a part of."))
    , hangups(metrics.counter("magnolia_entry_hangups_total", "Requests whose caller closed its connection."))
    , slowCallers(metrics.counter("magnolia_entry_slow_callers_total", "Streams cut since the caller did not take them."))
{
}

void EntryMetrics::ended(const manifest::Tier *tier, Verdict verdict, const std::error_code *code)
{
    metrics_
        .counter("magnolia_entry_requests_total",
                 "Requests that were answered.",
                 {{"class", tier == nullptr ? "none" : nameOf(*tier)},
                  {"verdict", std::string(toString(verdict))},
                  {"code", code == nullptr ? "ok" : code->message()}})
        .add();
}

} // namespace magnolia::entry
