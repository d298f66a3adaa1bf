#include "utf8.h"

#include <nlohmann/json.hpp>
#include <websocketpp/utf8_validator.hpp>

namespace magnolia::wire
{

bool isValidUtf8(const std::string &text)
{
    return websocketpp::utf8_validator::validate(text);
}

std::string withValidUtf8(const std::string &text)
{
    if (isValidUtf8(text)) {
        return text;
    }
    using Json = nlohmann::json;
    const std::string quoted = Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
    return Json::parse(quoted).get<std::string>();
}

} // namespace magnolia::wire
