#ifndef MAGNOLIA_WIRE_FIELDREADER_H
#define MAGNOLIA_WIRE_FIELDREADER_H

#include "base/clock.h"
#include "base/failure.h"
#include "base/requestid.h"
#include "field.h"

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::wire
{

/**
 * Reads the fields of one message from a CBOR map.
 *
 * The first fault is kept and later reads do nothing, so that a message is read without a test after each field.
 */
class FieldReader
{
public:
    enum class Kind : std::uint8_t {
        Number,
        Flag,
        Text,
        Bytes,
        List,
        Map,
        Other, ///< A kind that no field has.
    };

    struct Value {
        Kind kind = Kind::Other;
        std::uint64_t number = 0;
        std::string data;
    };

    struct Field {
        std::string name;
        Value value;
        std::vector<std::string> names; ///< Of a map's members.
        std::vector<Value> members; ///< Of a list or map.
    };

    static Result<FieldReader> parse(std::span<const std::uint8_t> frame);

    /** @return the message's type; 0 if it has none. */
    std::uint8_t type() const;

    void text(std::string_view name, std::string &value, Presence presence);
    void bytes(std::string_view name, std::string &value, Presence presence);
    void flag(std::string_view name, bool &value, Presence presence);
    void duration(std::string_view name, Duration &value, Presence presence);
    void requestId(std::string_view name, RequestId &value);
    void texts(std::string_view name, std::vector<std::string> &value);
    void byteMap(std::string_view name, std::map<std::string, std::string> &value);
    void bytes32(std::string_view name, Bytes32 &value);

    template<std::unsigned_integral T>
    void number(std::string_view name, T &value, Presence presence, Range<T> range = {})
    {
        value = static_cast<T>(takeNumber(name, presence, range.lowest, range.highest).value_or(0));
    }

    template<typename T>
    void choice(std::string_view name, T &value, T last)
    {
        value = static_cast<T>(takeNumber(name, Presence::Required, 0, static_cast<std::uint64_t>(last)).value_or(0));
    }

    /** @return the first fault as a sentence; empty if there was none. */
    const std::string &fault() const
    {
        return fault_;
    }

private:
    explicit FieldReader(std::vector<Field> &&fields);

    Field *find(std::string_view name);
    Field *take(std::string_view name, Kind kind, Presence presence);
    std::optional<std::uint64_t> takeNumber(std::string_view name, Presence presence, std::uint64_t lowest, std::uint64_t highest);
    void report(std::string_view name, std::string_view what);

    std::vector<Field> fields_;
    std::string fault_;
};

} // namespace magnolia::wire

#endif
