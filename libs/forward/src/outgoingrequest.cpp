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
    return !request.body.empty() || method == "POST" || method == "PUT" || method == "PATCH";
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

std::string writeRequest(const Protocol &protocol, const OutgoingRequest &outgoing)
{
    const CallerRequest &request = *outgoing.request;
    std::string message = request.head.method + " " + request.head.target + " HTTP/1.1\r\n";
    headersOf(protocol, outgoing).appendTo(message);
    if (statesLength(request)) {
        message.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    message.append("\r\n").append(request.body);
    return message;
}

} // namespace magnolia::forward
