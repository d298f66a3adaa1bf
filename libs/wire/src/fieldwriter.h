#ifndef MAGNOLIA_WIRE_FIELDWRITER_H
#define MAGNOLIA_WIRE_FIELDWRITER_H

#include "base/clock.h"
#include "base/requestid.h"
#include "field.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::wire
{

/** Writes the fields of one message as a CBOR map. Has the same members as FieldReader, so that each message's fields are listed once. */
class FieldWriter
{
public:
    explicit FieldWriter(std::uint8_t type);

    void text(std::string_view name, const std::string &value, Presence presence);
    void bytes(std::string_view name, const std::string &value, Presence presence);
    void flag(std::string_view name, bool value, Presence presence);
    void duration(std::string_view name, Duration value, Presence presence);
    void requestId(std::string_view name, const RequestId &value);
    void texts(std::string_view name, const std::vector<std::string> &value);
    void byteMap(std::string_view name, const std::map<std::string, std::string> &value);
    void bytes32(std::string_view name, const Bytes32 &value);

    template<std::unsigned_integral T>
    void number(std::string_view name, T value, Presence presence, Range<T> range = {})
    {
        putNumber(name, std::clamp(value, range.lowest, range.highest), presence);
    }

    template<typename T>
    void choice(std::string_view name, T value, T last)
    {
        putNumber(name, static_cast<std::uint64_t>(std::min(value, last)), Presence::Required);
    }

    std::vector<std::uint8_t> finish() const;

private:
    using Json = nlohmann::ordered_json;

    void put(std::string_view name, Json &&value);
    void putNumber(std::string_view name, std::uint64_t value, Presence presence);

    Json fields_;
};

} // namespace magnolia::wire

#endif
