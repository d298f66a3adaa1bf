#ifndef MAGNOLIA_STORE_REPLYREADER_H
#define MAGNOLIA_STORE_REPLYREADER_H

#include "base/failure.h"
#include "http/httpclient.h"
#include "store/tablestore.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace magnolia::store
{

using Json = nlohmann::json;

/** Percent-encodes all but unreserved characters; '/' is encoded too. */
std::string percentEncoded(std::string_view text);

/**
 * Parses the platform's answer as a JSON object.
 *
 * @return a ProtocolError with MayHaveRun if it is not an object, or is nested deeper than any valid answer.
 */
Result<Json> readObject(std::string_view body);

/** Parses a row `{"value": "...", "revision": N}`. @return nullopt if a member is missing or of the wrong type. */
std::optional<Row> readRow(const Json &fields);

/** @return the failure for an unexpected status. Its verdict is always MayHaveRun, as even a 503 does not prove that a write had no effect. */
Failure unexpectedStatus(const http::Response &response);

/** @return the failure for an answer whose fields are missing or of the wrong type. */
Failure malformedBody();

} // namespace magnolia::store

#endif
