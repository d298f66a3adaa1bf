#include "answerkind.h"

#include "http/retryaftervalue.h"
#include "statuscodes.h"

#include <string_view>

namespace magnolia::forward
{

namespace
{

AnswerKind classifyRejection(const http::MessageHead &head, const Protocol &protocol, const routing::Endpoint &endpoint, bool hasCurrentLoad)
{
    if (head.status == StatusMisdirected) {
        return AnswerKind::AddressTaken;
    }
    const std::string_view atFault = head.headers.value(protocol.endpointAtFault);
    const bool isForNamedPeer = !atFault.empty() && atFault != endpoint.record.address;
    // An endpoint that refuses with free capacity can't run anything at the moment, e.g. because its group is forming; unless it asks for rest by itself.
    const bool asksForRest = head.headers.find(http::RetryAfterHeader) != nullptr;
    const bool hasFreeSlots = !asksForRest && hasCurrentLoad && endpoint.load.running + endpoint.load.waiting < endpoint.record.slots;
    return head.status == StatusUnavailable && (isForNamedPeer || hasFreeSlots) ? AnswerKind::GroupDown : AnswerKind::Refused;
}

} // namespace

AnswerKind classifyAnswer(const http::MessageHead &head, const Protocol &protocol, const routing::Endpoint &endpoint, bool hasCurrentLoad)
{
    if (head.status == StatusMisdirected || head.headers.find(protocol.notRun) != nullptr) {
        return classifyRejection(head, protocol, endpoint, hasCurrentLoad);
    }
    const bool isSuccess = head.status >= StatusOk && head.status < FirstRedirect;
    if (isSuccess && head.headers.find(protocol.answerProof) == nullptr) {
        return AnswerKind::Unproved;
    }
    return head.status >= FirstServerError ? AnswerKind::Failure : AnswerKind::Success;
}

} // namespace magnolia::forward
