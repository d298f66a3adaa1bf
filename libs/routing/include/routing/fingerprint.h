#ifndef MAGNOLIA_ROUTING_FINGERPRINT_H
#define MAGNOLIA_ROUTING_FINGERPRINT_H

#include <string>
#include <string_view>

namespace magnolia::routing
{

/** The parts of a request that identify it across attempts and retries; request ids and timestamps are not among them. */
struct RequestIdentity {
    std::string_view method{};
    std::string_view host{};
    std::string_view target{}; ///< Path and query.
    std::string_view organisation{}; ///< Empty on public routes.
    std::string_view body{};
};

/** @return 32 hexadecimal digits, the same on every instance. A caller cannot make a request that has the fingerprint of another organisation's. */
std::string fingerprintOf(const RequestIdentity &identity);

} // namespace magnolia::routing

#endif
