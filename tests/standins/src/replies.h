#ifndef MAGNOLIA_STANDINS_REPLIES_H
#define MAGNOLIA_STANDINS_REPLIES_H

#include "http/httpserver.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace magnolia::standins
{

using Json = nlohmann::json;

void replyJson(http::Exchange &exchange, int status, const Json &body, http::Headers headers = {});

/** Answers `{"error": {"message": ...}}`. */
void replyError(http::Exchange &exchange, int status, std::string_view message);

/** @return the body if it is a JSON object; otherwise nothing, and the exchange has been answered 400. */
std::optional<Json> readJson(http::Exchange &exchange);

/** @return the value of a header, or an empty text. */
std::string headerOf(const http::Exchange &exchange, const std::string &name);

/** @return the value of a query parameter, decoded; empty if there is none. */
std::string queryOf(const http::Exchange &exchange, const std::string &name);

/** @return the text with its percent-encoding undone. */
std::string percentDecoded(std::string_view text);

/**
 * Sets the fields of a fault object that a request names.
 *
 * Answers the faults in force, or 400 if a field is unknown or has another type; then nothing is changed.
 */
template<typename Faults>
void updateFaults(http::Exchange &exchange, Faults &faults)
{
    const auto changes = readJson(exchange);
    if (!changes) {
        return;
    }
    Json merged = faults;
    for (const auto &[name, value] : changes->items()) {
        if (!merged.contains(name)) {
            replyError(exchange, 400, "no such fault: " + name);
            return;
        }
        merged[name] = value;
    }
    try {
        faults = merged.get<Faults>();
    } catch (const Json::exception &error) {
        replyError(exchange, 400, error.what());
        return;
    }
    replyJson(exchange, 200, faults);
}

} // namespace magnolia::standins

#endif
