#include "objectreader.h"

#include "manifest/digest.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cmath>

namespace magnolia::manifest
{

namespace
{

constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxQuotedLength = 80;

bool isAlphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

std::string_view typeName(Json::value_t type)
{
    switch (type) {
    case Json::value_t::object:
        return "a table";
    case Json::value_t::array:
        return "an array";
    case Json::value_t::string:
        return "a string";
    case Json::value_t::boolean:
        return "a boolean";
    case Json::value_t::number_integer:
    case Json::value_t::number_unsigned:
        return "an integer";
    case Json::value_t::number_float:
        return "a number with a fraction";
    case Json::value_t::binary:
        return "a date or time"; // The TOML reader's stand-in for it.
    case Json::value_t::null:
    case Json::value_t::discarded:
        break;
    }
    return "null";
}

// Names come from the document, so an error must not echo a megabyte of it.
std::string inQuotes(std::string_view text)
{
    if (text.size() <= MaxQuotedLength) {
        return fmt::format("\"{}\"", text);
    }
    return fmt::format("a text of {} bytes", text.size());
}

} // namespace

void ProblemList::add(const Pointer &pointer, std::string message)
{
    if (isFull()) {
        return;
    }
    problems_.push_back({.pointer = pointer, .message = std::move(message)});
    if (isFull()) {
        problems_.back().message += " (checking stopped here: too many problems)";
    }
}

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > MaxNameLength || !isAlphanumeric(text.front())) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char c) { return isAlphanumeric(c) || c == '.' || c == '_' || c == '-'; });
}

ObjectReader::ObjectReader(const Json &value, Pointer pointer, ProblemList &problems)
    : value_(value), pointer_(std::move(pointer)), problems_(problems), isObject_(checkType(value, Json::value_t::object, pointer_))
{
}

bool ObjectReader::checkType(const Json &value, Json::value_t type, const Pointer &pointer)
{
    if (value.type() == type) {
        return true;
    }
    problems_.add(pointer, fmt::format("expected {}, found {}", typeName(type), typeName(value.type())));
    return false;
}

const Json *ObjectReader::any(const char *key)
{
    known_.emplace_back(key);
    if (!isObject_) {
        return nullptr;
    }
    const auto entry = value_.find(key);
    return entry == value_.end() ? nullptr : &*entry;
}

const Json *ObjectReader::find(const char *key, Json::value_t type)
{
    const Json *value = any(key);
    if (value == nullptr || !checkType(*value, type, pointer_ / key)) {
        return nullptr;
    }
    return value;
}

ObjectReader &ObjectReader::require(const char *key)
{
    if (isObject_ && !value_.contains(key)) {
        problems_.add(pointer_, fmt::format("key \"{}\" is missing", key));
    }
    return *this;
}

ObjectReader &ObjectReader::name(const char *key, std::string &into)
{
    const Json *value = find(key, Json::value_t::string);
    if (value == nullptr) {
        return *this;
    }
    const auto &text = value->get_ref<const std::string &>();
    if (!isName(text)) {
        problems_.add(pointer_ / key, fmt::format("{} is no name: expected 1 to 64 letters, digits, '.', '_' or '-'", inQuotes(text)));
        return *this;
    }
    into = text;
    return *this;
}

ObjectReader &ObjectReader::names(const char *key, std::vector<std::string> &into, std::string_view alsoAllowed)
{
    const Json *array = find(key, Json::value_t::array);
    if (array == nullptr) {
        return *this;
    }
    for (std::size_t i = 0; i < array->size() && !problems_.isFull(); ++i) {
        const Json &item = (*array)[i];
        const Pointer place = pointer_ / key / i;
        if (!checkType(item, Json::value_t::string, place)) {
            continue;
        }
        const auto &text = item.get_ref<const std::string &>();
        const bool isAllowed = isName(text) || (!alsoAllowed.empty() && text == alsoAllowed);
        if (!isAllowed) {
            problems_.add(place, fmt::format("{} is no name: expected 1 to 64 letters, digits, '.', '_' or '-'", inQuotes(text)));
        } else if (std::find(into.begin(), into.end(), text) != into.end()) {
            problems_.add(place, fmt::format("{} stands here twice", inQuotes(text)));
        } else {
            into.push_back(text);
        }
    }
    return *this;
}

ObjectReader &ObjectReader::digests(const char *key, std::vector<std::string> &into)
{
    const Json *array = find(key, Json::value_t::array);
    if (array == nullptr) {
        return *this;
    }
    into.reserve(array->size());
    for (std::size_t i = 0; i < array->size() && !problems_.isFull(); ++i) {
        const Json &item = (*array)[i];
        const Pointer place = pointer_ / key / i;
        if (!checkType(item, Json::value_t::string, place)) {
            continue;
        }
        const auto &text = item.get_ref<const std::string &>();
        if (Digest::parse(text)) {
            into.push_back(text);
        } else {
            // Not quoted: somebody may have put the key itself here.
            problems_.add(place, fmt::format("expected a SHA-256 as 64 lower-case hexadecimal digits, found {} bytes of another form", text.size()));
        }
    }
    return *this;
}

ObjectReader &ObjectReader::boolean(const char *key, bool &into)
{
    if (const Json *value = find(key, Json::value_t::boolean)) {
        into = value->get<bool>();
    }
    return *this;
}

ObjectReader &ObjectReader::integer(const char *key, std::uint64_t &into, std::uint64_t least, std::uint64_t most)
{
    const Json *value = any(key);
    if (value == nullptr) {
        return *this;
    }
    if (!value->is_number_integer()) {
        problems_.add(pointer_ / key, fmt::format("expected an integer, found {}", typeName(value->type())));
        return *this;
    }
    const bool isNegative = !value->is_number_unsigned() && value->get<std::int64_t>() < 0;
    if (isNegative || value->get<std::uint64_t>() < least || value->get<std::uint64_t>() > most) {
        problems_.add(pointer_ / key, fmt::format("{} is out of range: expected {} to {}", value->dump(), least, most));
        return *this;
    }
    into = value->get<std::uint64_t>();
    return *this;
}

ObjectReader &ObjectReader::integer(const char *key, std::uint32_t &into, std::uint32_t least, std::uint32_t most)
{
    std::uint64_t wide = into;
    integer(key, wide, std::uint64_t{least}, std::uint64_t{most});
    into = static_cast<std::uint32_t>(wide);
    return *this;
}

ObjectReader &ObjectReader::number(const char *key, double &into, double least, double most)
{
    const Json *value = any(key);
    if (value == nullptr) {
        return *this;
    }
    if (!value->is_number()) {
        problems_.add(pointer_ / key, fmt::format("expected a number, found {}", typeName(value->type())));
        return *this;
    }
    const auto number = value->get<double>();
    if (!std::isfinite(number) || number < least || number > most) {
        problems_.add(pointer_ / key, fmt::format("{} is out of range: expected {} to {}", number, least, most));
        return *this;
    }
    into = number;
    return *this;
}

std::size_t ObjectReader::word(const char *key, const std::vector<std::string_view> &words, std::size_t absent)
{
    const Json *value = find(key, Json::value_t::string);
    if (value == nullptr) {
        return absent;
    }
    const auto &text = value->get_ref<const std::string &>();
    const auto found = std::find(words.begin(), words.end(), text);
    if (found == words.end()) {
        problems_.add(pointer_ / key, fmt::format("{} is not one of {}", inQuotes(text), fmt::join(words, ", ")));
        return absent;
    }
    return static_cast<std::size_t>(found - words.begin());
}

ObjectReader &ObjectReader::words(const char *key, std::vector<std::string> &into, const std::vector<std::string_view> &allowed)
{
    const Json *array = find(key, Json::value_t::array);
    if (array == nullptr) {
        return *this;
    }
    for (std::size_t i = 0; i < array->size() && !problems_.isFull(); ++i) {
        const Json &item = (*array)[i];
        const Pointer place = pointer_ / key / i;
        if (!checkType(item, Json::value_t::string, place)) {
            continue;
        }
        const auto &text = item.get_ref<const std::string &>();
        if (std::find(allowed.begin(), allowed.end(), text) == allowed.end()) {
            problems_.add(place, fmt::format("{} is not one of {}", inQuotes(text), fmt::join(allowed, ", ")));
        } else if (std::find(into.begin(), into.end(), text) != into.end()) {
            problems_.add(place, fmt::format("{} stands here twice", inQuotes(text)));
        } else {
            into.push_back(text);
        }
    }
    return *this;
}

void ObjectReader::finish()
{
    if (!isObject_) {
        return;
    }
    for (const auto &entry : value_.items()) {
        const std::string_view key = entry.key();
        if (std::find(known_.begin(), known_.end(), key) == known_.end()) {
            problems_.add(pointer_ / entry.key(), fmt::format("unknown key {}; known here: {}", inQuotes(key), fmt::join(known_, ", ")));
        }
    }
}

} // namespace magnolia::manifest
