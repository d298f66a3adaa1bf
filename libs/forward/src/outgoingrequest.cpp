#include "outgoingrequest.h"

#include <algorithm>

namespace magnolia::forward
{

namespace
{

/** The request needs a Content-Length; some methods do even if the body is empty (RFC 9110, 8.6). */
bool statesLength(const CallerRequest &request)
{
    const std::string &method = request.head.method;
    return !request.bodyBytes().empty() || method == "POST" || method == "PUT" || method == "PATCH";
}

http::HeaderList headersOf(const Protocol &protocol, const OutgoingRequest &outgoing)
{
    http::HeaderList headers = outgoing.request->head.headers;
    headers.removeHopByHop();
    headers.remove(protocol.apiKey);
    headers.remove(protocol.organisation);
    headers.remove(protocol.notRun);
    headers.remove("expect");
    headers.set(protocol.deadline, std::to_string(std::max<Duration::rep>(outgoing.timeLeft.count(), 1)));
    headers.set(protocol.expectedInstance, std::string(outgoing.expectedInstance));
    if (!outgoing.organisation.empty()) {
        headers.set(protocol.organisation, std::string(outgoing.organisation));
    }
    if (outgoing.priority) {
        headers.set(protocol.priority, std::to_string(*outgoing.priority));
    }
    if (outgoing.lastEventId) {
        headers.set(protocol.lastEventId, std::to_string(*outgoing.lastEventId));
    }
    if (!outgoing.traceparent.empty()) {
        headers.set("traceparent", outgoing.traceparent);
    }
    return headers;
}

} // namespace

std::string writeRequestHead(const Protocol &protocol, const OutgoingRequest &outgoing)
{
    const CallerRequest &request = *outgoing.request;
    std::string head = request.head.method + " " + request.head.target + " HTTP/1.1\r\n";
    headersOf(protocol, outgoing).appendTo(head);
    if (statesLength(request)) {
        head.append("Content-Length: ").append(std::to_string(request.bodyBytes().size())).append("\r\n");
    }
    head.append("\r\n");
    return head;
}

} // namespace magnolia::forward
