#ifndef MAGNOLIA_ROUTING_FINGERPRINT_H
#define MAGNOLIA_ROUTING_FINGERPRINT_H

#include <string>
#include <string_view>

namespace magnolia::routing
{

/** What two attempts have in common if they ask the same; ids and times of an attempt are no part of it. */
struct RequestIdentity {
    std::string_view method{};
    std::string_view host{};
    std::string_view target{}; ///< Path and query.
    std::string_view organisation{}; ///< Empty on public routes.
    std::string_view body{};
};

/** @return 32 hexadecimal digits, the same at every instance; nobody can make another organisation's request look like theirs. */
std::string fingerprintOf(const RequestIdentity &identity);

} // namespace magnolia::routing

#endif
