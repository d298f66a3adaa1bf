#ifndef MAGNOLIA_FORWARD_TESTS_STATEMENTFIXTURE_H
#define MAGNOLIA_FORWARD_TESTS_STATEMENTFIXTURE_H

#include "forwardfixture.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::forward
{

constexpr Duration LoadInterval{20};

/** An entry with endpoints that answer with whatever status and headers a test sets, and that note when requests arrive. */
struct StatementFixture : ForwardFixture {
    struct Endpoint {
        RawPeer *peer = nullptr;
        int status = 200;
        std::string headers; ///< Further header lines of each answer.
        std::vector<MonoTime> arrivals; ///< Of requests; liveness checks are counted apart.
        int checks = 0;

        int arrivedSince(MonoTime since) const
        {
            return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(), [since](MonoTime at) { return at >= since; }));
        }
    };

    StatementFixture() : ForwardFixture("/live")
    {
        putRoutes();
    }

    Endpoint &addStatingEndpoint()
    {
        statingEndpoints.push_back(std::make_unique<Endpoint>());
        Endpoint &endpoint = *statingEndpoints.back();
        endpoint.peer = &addEndpoint([&endpoint](int) { return scriptedAnswer(endpoint); });
        return endpoint;
    }

    static RawPeer::Answer scriptedAnswer(Endpoint &endpoint)
    {
        if (endpoint.peer->lastRequest().starts_with("GET /live")) {
            ++endpoint.checks;
            return {.bytes = "HTTP/1.1 200 OK\r\n" + endpoint.headers + "Content-Length: 0\r\n\r\n"};
        }
        endpoint.arrivals.push_back(MonoClock::now());
        return {.bytes = endpoint.status == 200 ? wholeAnswer(200, "r1", "body", endpoint.headers) : rejectionAnswer(endpoint.status, "r1", endpoint.headers)};
    }

    /** Sends a request each LoadInterval. */
    void runLoad(Duration time, const std::string &routeName = "repeatable")
    {
        for (Duration left = time; left.count() > 0; left -= LoadInterval) {
            addCaller(request(routeName, "GET", "Connection: close\r\n"));
            runFor(LoadInterval);
        }
    }

    /** Sends requests until one has arrived at the endpoint. */
    void runUntilArrival(const Endpoint &endpoint)
    {
        const std::size_t before = endpoint.arrivals.size();
        for (int request = 0; request < 100 && endpoint.arrivals.size() == before; ++request) {
            runLoad(LoadInterval);
        }
        BOOST_REQUIRE(endpoint.arrivals.size() > before);
    }

    /** The platform's entry of the endpoint with this number from 1 on. @param incarnation start time of its run. */
    routing::EndpointRecord record(std::size_t number, StatedIncarnation incarnation = {}) const
    {
        return {.id = "e" + std::to_string(number),
                .service = "s",
                .address = statingEndpoints.at(number - 1)->peer->address(),
                .dataCentre = "north",
                .slots = 4,
                .incarnation = incarnation};
    }

    std::size_t answeredCallers(std::string_view statusLine) const
    {
        return static_cast<std::size_t>(
            std::count_if(callers.begin(), callers.end(), [&](const auto &caller) { return caller->received().starts_with(statusLine); }));
    }

    std::vector<std::unique_ptr<Endpoint>> statingEndpoints;
};

} // namespace magnolia::forward

#endif
