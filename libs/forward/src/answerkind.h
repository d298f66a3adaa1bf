#ifndef MAGNOLIA_FORWARD_ANSWERKIND_H
#define MAGNOLIA_FORWARD_ANSWERKIND_H

#include "forward/protocol.h"
#include "http/messageparser.h"
#include "routing/endpointtable.h"

#include <cstdint>

namespace magnolia::forward
{

/** What an answer means for the request, by its head: a stream's when it begins, any other one's when it is complete. */
enum class AnswerKind : std::uint8_t {
    AddressTaken, ///< Not run: another endpoint has the address.
    GroupDown, ///< Not run: the endpoint's group can't run anything at the moment.
    Declined, ///< Not run, although the endpoint has free slots and others of its service serve.
    Refused, ///< Not run, e.g. because the endpoint is full.
    Unproved, ///< A success without proof, or one that states that the request did not run; it must not be relayed.
    Failure, ///< It may have run, and failed.
    Success,
};

/** The endpoint that answered, and what is known of its service. */
struct AnsweringEndpoint {
    const routing::Endpoint &endpoint; ///< Its load is up to date.
    bool hasCurrentLoad = false; ///< The answer reported the endpoint's load.
    bool doOthersServe = false; ///< Another endpoint of the service began a successful answer just before.
};

/** @param isNamed whether the answer has the id of the request. Otherwise it can't prove that the request did not run. */
AnswerKind classifyAnswer(const http::MessageHead &head, bool isNamed, const Protocol &protocol, const AnsweringEndpoint &from);

/** @return true if the answer proves that the request did not run and never will. */
constexpr bool isNotRun(AnswerKind kind)
{
    return kind == AnswerKind::AddressTaken || kind == AnswerKind::GroupDown || kind == AnswerKind::Declined || kind == AnswerKind::Refused;
}

} // namespace magnolia::forward

#endif
