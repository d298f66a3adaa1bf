#ifndef MAGNOLIA_FORWARD_TESTS_RECORDINGTASK_H
#define MAGNOLIA_FORWARD_TESTS_RECORDINGTASK_H

#include "forward/forwardtask.h"

#include <algorithm>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace magnolia::forward
{

/** Records the updates that it receives as short texts: "routes 7", "endpoint a", "gone a", "evacuated north". */
class RecordingTask final : public forward::ForwardTask
{
public:
    void putRoutes(routing::RouteTable::Pointer table) override
    {
        updates.push_back("routes " + std::to_string(table->version()));
    }
    void confirmRoutes(BootTime /*asOf*/) override
    {
        ++confirmations;
    }
    void setInstanceCount(std::size_t /*instances*/) override {}
    void setInstances(Instances /*instances*/) override {}
    void onFirstListComplete() override
    {
        ++firstLists;
    }
    void putEndpoint(const routing::EndpointRecord &record) override
    {
        updates.push_back((record.isLeaving ? "leaving " : "endpoint ") + record.id);
    }
    void removeEndpoint(std::string_view id) override
    {
        updates.push_back("gone " + std::string(id));
    }
    void askHealth(const routing::EndpointRecord &endpoint, std::function<void(bool isHealthy)> done) override
    {
        updates.push_back("health of " + endpoint.id);
        healthQuestions.push_back(std::move(done));
    }
    void putEvacuations(const routing::Evacuations &evacuations) override
    {
        std::string names;
        for (const std::string &dataCentre : evacuations.dataCentres) {
            names += " " + dataCentre;
        }
        updates.push_back("evacuated" + names);
        evacuated = evacuations;
    }
    void setCrashReportPublisher(CrashReportPublisher sharing) override
    {
        crashSharing = std::move(sharing);
    }
    void putCrashReport(const routing::CrashReport &report) override
    {
        updates.push_back("crash " + report.fingerprint + " " + std::to_string(report.ordinal));
        crashReports.push_back(report);
    }
    void withdrawCrashReport(std::string_view fingerprint, std::uint32_t ordinal) override
    {
        updates.push_back("no crash " + std::string(fingerprint) + " " + std::to_string(ordinal));
    }
    void drain() override {}
    std::string callersAddress() const override
    {
        return {};
    }
    std::string readyAddress() const override
    {
        return {};
    }

    bool hasReceived(const std::string &update) const
    {
        return std::find(updates.begin(), updates.end(), update) != updates.end();
    }

    std::vector<std::string> updates;
    routing::Evacuations evacuated; ///< The last ones received.
    std::vector<std::function<void(bool isHealthy)>> healthQuestions; ///< Unanswered, in order.
    int confirmations = 0;
    int firstLists = 0;
    CrashReportPublisher crashSharing;
    std::vector<routing::CrashReport> crashReports;
};

} // namespace magnolia::forward

#endif
