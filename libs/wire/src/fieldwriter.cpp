#include "fieldwriter.h"

#include "utf8.h"

namespace magnolia::wire
{

namespace
{

constexpr std::size_t RequestIdBytes = 16;
constexpr unsigned BitsPerByte = 8;

std::vector<std::uint8_t> toBytes(std::string_view text)
{
    return {text.begin(), text.end()};
}

std::vector<std::uint8_t> toBytes(const RequestId &id)
{
    std::vector<std::uint8_t> bytes;
    bytes.reserve(RequestIdBytes);
    for (const std::uint64_t half : {id.high, id.low}) {
        for (unsigned shift = 64; shift > 0; shift -= BitsPerByte) {
            bytes.push_back(static_cast<std::uint8_t>(half >> (shift - BitsPerByte)));
        }
    }
    return bytes;
}

} // namespace

FieldWriter::FieldWriter(std::uint8_t type) : fields_(Json::object())
{
    put(TypeField, type);
}

void FieldWriter::put(std::string_view name, Json &&value)
{
    // The names of a message's fields differ, so the search for an equal one that operator[] makes is not needed.
    fields_.get_ref<Json::object_t &>().emplace_back(std::string(name), std::move(value));
}

void FieldWriter::putNumber(std::string_view name, std::uint64_t value, Presence presence)
{
    if (value != 0 || presence == Presence::Required) {
        put(name, value);
    }
}

void FieldWriter::text(std::string_view name, const std::string &value, Presence presence)
{
    if (!value.empty() || presence == Presence::Required) {
        put(name, withValidUtf8(value));
    }
}

void FieldWriter::bytes(std::string_view name, const std::string &value, Presence presence)
{
    if (!value.empty() || presence == Presence::Required) {
        put(name, Json::binary(toBytes(value)));
    }
}

void FieldWriter::flag(std::string_view name, bool value, Presence presence)
{
    if (value || presence == Presence::Required) {
        put(name, value);
    }
}

void FieldWriter::duration(std::string_view name, Duration value, Presence presence)
{
    const Duration clamped = std::clamp(value, Duration::zero(), MaxDuration);
    putNumber(name, static_cast<std::uint64_t>(clamped.count()), presence);
}

void FieldWriter::requestId(std::string_view name, const RequestId &value)
{
    put(name, Json::binary(toBytes(value)));
}

void FieldWriter::texts(std::string_view name, const std::vector<std::string> &value)
{
    if (value.empty()) {
        return;
    }
    Json list = Json::array();
    for (const std::string &text : value) {
        list.push_back(withValidUtf8(text));
    }
    put(name, std::move(list));
}

void FieldWriter::byteMap(std::string_view name, const std::map<std::string, std::string> &value)
{
    if (value.empty()) {
        return;
    }
    Json map = Json::object();
    for (const auto &[key, data] : value) {
        map[withValidUtf8(key)] = Json::binary(toBytes(data));
    }
    put(name, std::move(map));
}

void FieldWriter::bytes32(std::string_view name, const Bytes32 &value)
{
    put(name, Json::binary({value.begin(), value.end()}));
}

std::vector<std::uint8_t> FieldWriter::finish() const
{
    return Json::to_cbor(fields_);
}

} // namespace magnolia::wire
