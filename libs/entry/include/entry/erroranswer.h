#ifndef MAGNOLIA_ENTRY_ERRORANSWER_H
#define MAGNOLIA_ENTRY_ERRORANSWER_H

#include "base/failure.h"
#include "base/requestid.h"
#include "http/httpclient.h"

#include <string>
#include <string_view>

namespace magnolia::entry
{

/** An answer to a caller that is made here. */
struct HttpAnswer {
    int status = 0;
    http::Headers headers;
    std::string body;
};

/** @return the code whose JSON name this is; Internal if there is none. */
ErrorCode errorCodeNamed(std::string_view name);

/** @return the HTTP status for a failure, as docs/INTERFACES.md lists them. */
int httpStatusOf(const Failure &failure);

/** @return X-Request-Id and X-Verdict. */
http::Headers answerHeaders(const RequestId &id, Verdict verdict);

/** @return the JSON error object. */
std::string errorObject(const Failure &failure, const RequestId &id);

/** @return the whole answer: status, X-Request-Id, X-Verdict, Retry-After and the JSON error object. */
HttpAnswer errorAnswer(const Failure &failure, const RequestId &id);

} // namespace magnolia::entry

#endif
