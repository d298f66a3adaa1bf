#include "fieldreader.h"

#include "cborshape.h"
#include "utf8.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <unordered_set>

namespace magnolia::wire
{

namespace
{

constexpr std::size_t RequestIdBytes = 16;
constexpr unsigned BitsPerByte = 8;

/** Takes the parser's events and keeps the fields of the outermost map; what lies deeper than one level is dropped. */
class FieldCollector
{
public:
    using Json = nlohmann::json;
    using Kind = FieldReader::Kind;
    using Value = FieldReader::Value;

    // The names of these members are given by the parser.
    // NOLINTBEGIN(readability-identifier-naming)
    bool null()
    {
        return add({});
    }

    bool boolean(bool value)
    {
        return add({.kind = Kind::Flag, .number = value ? 1U : 0U, .data = {}});
    }

    bool number_integer(Json::number_integer_t /*value*/)
    {
        return add({}); // comes for negative numbers only, which no field has
    }

    bool number_unsigned(Json::number_unsigned_t value)
    {
        return add({.kind = Kind::Number, .number = value, .data = {}});
    }

    bool number_float(Json::number_float_t /*value*/, const std::string & /*text*/)
    {
        return add({});
    }

    bool string(std::string &value)
    {
        return add({.kind = Kind::Text, .number = 0, .data = std::move(value)});
    }

    bool binary(Json::binary_t &value)
    {
        return add({.kind = Kind::Bytes, .number = 0, .data = std::string(value.begin(), value.end())});
    }

    bool start_object(std::size_t /*size*/)
    {
        return open(Kind::Map);
    }

    bool key(std::string &name)
    {
        if (depth_ == 1) {
            fields.push_back({.name = std::move(name), .value = {}, .names = {}, .members = {}});
        } else if (depth_ == 2) {
            fields.back().names.push_back(std::move(name));
        }
        return true;
    }

    bool end_object()
    {
        --depth_;
        return true;
    }

    bool start_array(std::size_t /*size*/)
    {
        return open(Kind::List);
    }

    bool end_array()
    {
        --depth_;
        return true;
    }

    bool parse_error(std::size_t /*position*/, const std::string & /*token*/, const nlohmann::detail::exception & /*error*/)
    {
        return false;
    }
    // NOLINTEND(readability-identifier-naming)

    std::vector<FieldReader::Field> fields;

private:
    bool add(Value &&value)
    {
        if (depth_ == 0) {
            return false; // a message is a map
        }
        if (depth_ == 1) {
            fields.back().value = std::move(value);
        } else if (depth_ == 2) {
            fields.back().members.push_back(std::move(value));
        }
        return true;
    }

    bool open(Kind kind)
    {
        if (depth_ == 0 && kind != Kind::Map) {
            return false;
        }
        if (depth_ > 0 && !add({.kind = kind, .number = 0, .data = {}})) {
            return false;
        }
        ++depth_;
        return true;
    }

    std::size_t depth_ = 0;
};

bool hasRepeatedName(const std::vector<FieldReader::Field> &fields)
{
    std::unordered_set<std::string_view> seen;
    return std::any_of(fields.begin(), fields.end(), [&seen](const FieldReader::Field &field) { return !seen.insert(field.name).second; });
}

RequestId toRequestId(std::string_view bytes)
{
    RequestId id;
    for (std::size_t i = 0; i < RequestIdBytes; ++i) {
        std::uint64_t &half = i < RequestIdBytes / 2 ? id.high : id.low;
        half = (half << BitsPerByte) | static_cast<std::uint8_t>(bytes[i]);
    }
    return id;
}

} // namespace

FieldReader::FieldReader(std::vector<Field> &&fields) : fields_(std::move(fields)) {}

Result<FieldReader> FieldReader::parse(std::span<const std::uint8_t> frame)
{
    constexpr auto Malformed = "the frame is not one plain CBOR map";
    if (!hasPlainShape(frame)) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, Malformed);
    }
    FieldCollector collector;
    // The parser reports faults by parse_error(); what it might still throw must not leave this library.
    try {
        constexpr bool Strict = true;
        if (!nlohmann::json::sax_parse(frame.begin(), frame.end(), &collector, nlohmann::json::input_format_t::cbor, Strict)) {
            return fail(ErrorCode::BadInput, Verdict::NotRun, Malformed);
        }
    } catch (const std::exception &) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, Malformed);
    }
    if (hasRepeatedName(collector.fields)) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, "a field is given twice");
    }
    return FieldReader(std::move(collector.fields));
}

std::uint8_t FieldReader::type() const
{
    for (const Field &field : fields_) {
        if (field.name == TypeField && field.value.kind == Kind::Number && field.value.number <= std::numeric_limits<std::uint8_t>::max()) {
            return static_cast<std::uint8_t>(field.value.number);
        }
    }
    return 0;
}

void FieldReader::report(std::string_view name, std::string_view what)
{
    if (fault_.empty()) {
        fault_ = "field " + std::string(name) + " " + std::string(what);
    }
}

FieldReader::Field *FieldReader::find(std::string_view name)
{
    const auto found = std::find_if(fields_.begin(), fields_.end(), [name](const Field &field) { return field.name == name; });
    return found == fields_.end() ? nullptr : &*found;
}

FieldReader::Field *FieldReader::take(std::string_view name, Kind kind, Presence presence)
{
    if (!fault_.empty()) {
        return nullptr;
    }
    Field *field = find(name);
    if (field == nullptr) {
        if (presence == Presence::Required) {
            report(name, "is missing");
        }
        return nullptr;
    }
    if (field->value.kind != kind) {
        report(name, "has the wrong type");
        return nullptr;
    }
    return field;
}

std::optional<std::uint64_t> FieldReader::takeNumber(std::string_view name, Presence presence, std::uint64_t lowest, std::uint64_t highest)
{
    const Field *field = take(name, Kind::Number, presence);
    if (field == nullptr) {
        return std::nullopt;
    }
    if (field->value.number < lowest || field->value.number > highest) {
        report(name, "is out of range");
        return std::nullopt;
    }
    return field->value.number;
}

void FieldReader::text(std::string_view name, std::string &value, Presence presence)
{
    Field *field = take(name, Kind::Text, presence);
    if (field == nullptr) {
        return;
    }
    if (!isValidUtf8(field->value.data)) {
        report(name, "is not valid UTF-8");
        return;
    }
    value = std::move(field->value.data);
}

void FieldReader::bytes(std::string_view name, std::string &value, Presence presence)
{
    if (Field *field = take(name, Kind::Bytes, presence)) {
        value = std::move(field->value.data);
    }
}

void FieldReader::flag(std::string_view name, bool &value, Presence presence)
{
    const Field *field = take(name, Kind::Flag, presence);
    value = field != nullptr && field->value.number != 0;
}

void FieldReader::duration(std::string_view name, Duration &value, Presence presence)
{
    value = Duration(takeNumber(name, presence, 0, MaxDuration.count()).value_or(0));
}

void FieldReader::requestId(std::string_view name, RequestId &value)
{
    const Field *field = take(name, Kind::Bytes, Presence::Required);
    if (field == nullptr) {
        return;
    }
    if (field->value.data.size() != RequestIdBytes) {
        report(name, "is not 16 bytes long");
        return;
    }
    value = toRequestId(field->value.data);
}

void FieldReader::texts(std::string_view name, std::vector<std::string> &value)
{
    Field *field = take(name, Kind::List, Presence::Optional);
    if (field == nullptr) {
        return;
    }
    for (Value &member : field->members) {
        if (member.kind != Kind::Text || !isValidUtf8(member.data)) {
            report(name, "holds something else than texts");
            return;
        }
        value.push_back(std::move(member.data));
    }
}

void FieldReader::byteMap(std::string_view name, std::map<std::string, std::string> &value)
{
    Field *field = take(name, Kind::Map, Presence::Optional);
    if (field == nullptr) {
        return;
    }
    for (std::size_t i = 0; i < field->members.size(); ++i) {
        Value &member = field->members[i];
        if (member.kind != Kind::Bytes || !isValidUtf8(field->names[i])) {
            report(name, "holds something else than byte strings by name");
            return;
        }
        if (!value.emplace(std::move(field->names[i]), std::move(member.data)).second) {
            report(name, "holds a name twice");
            return;
        }
    }
}

void FieldReader::bytes32(std::string_view name, Bytes32 &value)
{
    const Field *field = take(name, Kind::Bytes, Presence::Required);
    if (field == nullptr) {
        return;
    }
    if (field->value.data.size() != value.size()) {
        report(name, "has the wrong length");
        return;
    }
    std::copy(field->value.data.begin(), field->value.data.end(), value.begin());
}

} // namespace magnolia::wire
