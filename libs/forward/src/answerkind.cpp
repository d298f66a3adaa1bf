#include "answerkind.h"

#include "http/retryaftervalue.h"
#include "statuscodes.h"

#include <string_view>

namespace magnolia::forward
{

namespace
{

/** Whether endpoints reject requests with this status. With another one the statement "not run" contradicts the head in which it stands. */
bool isRejectionStatus(int status)
{
    return promisesNotRun(status) || status == StatusBadRequest;
}

AnswerKind classifyRejection(const http::MessageHead &head, const Protocol &protocol, const AnsweringEndpoint &from)
{
    if (head.status == StatusMisdirected) {
        return AnswerKind::AddressTaken;
    }
    const std::string_view atFault = head.headers.value(protocol.endpointAtFault);
    const routing::Endpoint &endpoint = from.endpoint;
    const bool isForNamedPeer = !atFault.empty() && atFault != endpoint.record.address;
    if (head.status == StatusUnavailable && isForNamedPeer) {
        return AnswerKind::GroupDown;
    }
    const bool asksForRest = head.headers.find(http::RetryAfterHeader) != nullptr;
    const bool hasFreeSlots = from.hasCurrentLoad && endpoint.load.running + endpoint.load.waiting < endpoint.record.slots;
    if (head.status != StatusUnavailable || asksForRest || !hasFreeSlots) {
        return AnswerKind::Refused;
    }
    // An endpoint that refuses with free capacity can't run anything at the moment: it alone if others serve, else e.g. because its group is forming.
    return from.doOthersServe ? AnswerKind::Declined : AnswerKind::GroupDown;
}

} // namespace

AnswerKind classifyAnswer(const http::MessageHead &head, bool isNamed, const Protocol &protocol, const AnsweringEndpoint &from)
{
    const bool statesNotRun = head.status == StatusMisdirected || head.headers.find(protocol.notRun) != nullptr;
    if (statesNotRun && isNamed && isRejectionStatus(head.status)) {
        return classifyRejection(head, protocol, from);
    }
    const bool isSuccess = head.status >= StatusOk && head.status < FirstRedirect;
    if (isSuccess && (statesNotRun || head.headers.find(protocol.answerProof) == nullptr)) {
        return AnswerKind::Unproved;
    }
    const bool isFailure = head.status >= FirstServerError || promisesNotRun(head.status);
    return isFailure ? AnswerKind::Failure : AnswerKind::Success;
}

} // namespace magnolia::forward
