#ifndef MAGNOLIA_FORWARD_ANSWERKIND_H
#define MAGNOLIA_FORWARD_ANSWERKIND_H

#include "forward/protocol.h"
#include "http/messageparser.h"
#include "routing/endpointtable.h"

#include <cstdint>

namespace magnolia::forward
{

/** What a complete answer that is not a stream means for the request. */
enum class AnswerKind : std::uint8_t {
    AddressTaken, ///< Not run: another endpoint has the address.
    GroupDown, ///< Not run: the endpoint's group can't run anything at the moment.
    Refused, ///< Not run, e.g. because the endpoint is full.
    Unproved, ///< A success without proof, which must not be relayed.
    Failure, ///< It may have run, and failed.
    Success,
};

/**
 * @param endpoint that answered; its load is up to date.
 * @param hasCurrentLoad the answer reported the endpoint's load.
 */
AnswerKind classifyAnswer(const http::MessageHead &head, const Protocol &protocol, const routing::Endpoint &endpoint, bool hasCurrentLoad);

/** @return true if the answer proves that the request did not run and never will. */
constexpr bool isNotRun(AnswerKind kind)
{
    return kind == AnswerKind::AddressTaken || kind == AnswerKind::GroupDown || kind == AnswerKind::Refused;
}

} // namespace magnolia::forward

#endif
