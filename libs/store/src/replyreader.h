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

/** @return the key or name with all but unreserved characters percent-encoded, '/' too. */
std::string percentEncoded(std::string_view text);

/**
 * Reads a JSON object that the platform answered.
 *
 * @return a ProtocolError with MayHaveRun if it is anything else, or is nested deeper than any answer of the platform.
 */
Result<Json> readObject(std::string_view body);

/** @return the row in `{"value": "...", "revision": N}`; nothing if it is anything else. */
std::optional<Row> readRow(const Json &fields);

/** @return the failure for an answer that is not an expected one. Even a 503 doesn't prove that a write had no effect. */
Failure unexpectedAnswer(const http::Response &response);

/** @return the failure for an answer whose fields are missing or of the wrong type. */
Failure malformedAnswer();

} // namespace magnolia::store

#endif
