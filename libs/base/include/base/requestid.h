#ifndef MAGNOLIA_BASE_REQUESTID_H
#define MAGNOLIA_BASE_REQUESTID_H

#include "base/random.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia
{

/**
 * 128 random bits that name one request of one caller, minted by the entry.
 *
 * A value type; any thread may use its own copy. Answers are matched to requests by this id, never by order.
 */
struct RequestId {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    static RequestId mint(Random &random);

    /** @param text 32 lower-case hexadecimal digits. @return nothing if it is anything else. */
    static std::optional<RequestId> parse(std::string_view text);

    /** @return 32 lower-case hexadecimal digits. */
    std::string toString() const;

    auto operator<=>(const RequestId &) const = default; // NOLINT(modernize-use-nullptr): wrong for a defaulted comparison
};

} // namespace magnolia

template<>
struct std::hash<magnolia::RequestId> {
    std::size_t operator()(const magnolia::RequestId &id) const noexcept
    {
        // The bits are random already.
        return id.high ^ id.low;
    }
};

#endif
