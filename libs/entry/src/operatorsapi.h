#ifndef MAGNOLIA_ENTRY_OPERATORSAPI_H
#define MAGNOLIA_ENTRY_OPERATORSAPI_H

#include "agentpool.h"
#include "entry/erroranswer.h"
#include "http/httpserver.h"
#include "manifest/manifestfollower.h"
#include "placement.h"

#include <string>
#include <string_view>
#include <vector>

namespace magnolia::entry
{

/** What GET /status tells. */
struct StatusFacts {
    std::string_view instance;
    std::string_view dataCentre;
    bool isLeaving = false;
    std::size_t inProgress = 0;
    const manifest::FollowerStatus &manifest;
    const AgentPool &pool;
};

std::string statusBody(const StatusFacts &facts);

/** @param reason why it is not ready; empty: it is. */
HttpAnswer readyAnswer(std::string_view reason);

/** Answers POST /explain: {"organisation", "model", "service", "path"}. */
HttpAnswer explainAnswer(std::string_view body, const manifest::ManifestIndex::Pointer &index, Placement &placement, MonoTime now);

} // namespace magnolia::entry

#endif
