#include "reader.h"

#include <spdlog/fmt/fmt.h>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace magnolia::settings
{

namespace
{

constexpr std::size_t MinSecretLength = 16;
constexpr int MaxPort = 65535;

bool isIpNumber(const std::string &host, int family)
{
    in6_addr parsed{};
    return ::inet_pton(family, host.c_str(), &parsed) == 1;
}

std::optional<int> parsePort(std::string_view text)
{
    int port = -1;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    const bool isWhole = error == std::errc() && end == text.data() + text.size();
    if (!isWhole || port < 0 || port > MaxPort) {
        return std::nullopt;
    }
    return port;
}

// "1.2.3.4:80" or "[::1]:80"
bool isAddress(const std::string &text, AddressUse use)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    const auto port = parsePort(std::string_view(text).substr(colon + 1));
    if (!port || (*port == 0 && use == AddressUse::Connect)) {
        return false;
    }
    const std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return isIpNumber(host.substr(1, host.size() - 2), AF_INET6);
    }
    return isIpNumber(host, AF_INET);
}

std::string_view expectedAddress(AddressUse use)
{
    return use == AddressUse::Listen ? "an IP number and a port, such as \"127.0.0.1:8080\"; port 0 picks a free one"
                                     : "an IP number and a port, such as \"127.0.0.1:8080\"";
}

} // namespace

ProblemList::ProblemList(std::string_view file) : file_(file) {}

void ProblemList::add(const toml::source_region &source, std::string message)
{
    // A table that the file does not mention has no place; its absence is told at the file's beginning.
    const auto line = std::max<std::uint32_t>(source.begin.line, 1);
    const auto column = std::max<std::uint32_t>(source.begin.column, 1);
    problems_.push_back({.file = file_, .line = line, .column = column, .message = std::move(message)});
}

bool ProblemList::empty() const
{
    return problems_.empty();
}

std::vector<Problem> ProblemList::take()
{
    std::stable_sort(problems_.begin(), problems_.end(), [](const Problem &left, const Problem &right) {
        return std::pair(left.line, left.column) < std::pair(right.line, right.column);
    });
    return std::move(problems_);
}

TableReader::TableReader(const toml::table &table, std::string name, ProblemList &problems) : table_(table), name_(std::move(name)), problems_(problems) {}

void TableReader::readText(std::string_view key, std::string &out, Presence presence)
{
    const toml::node *node = find(key, presence);
    if (node == nullptr) {
        return;
    }
    const auto text = node->value_exact<std::string>();
    if (!text || (text->empty() && presence == Presence::Required)) {
        reportWrong(*node, key, presence == Presence::Required ? "a text that is not empty" : "a text");
        return;
    }
    out = *text;
}

void TableReader::readAddress(std::string_view key, std::string &out, AddressUse use, Presence presence)
{
    const toml::node *node = find(key, presence);
    if (node == nullptr) {
        return;
    }
    const auto text = node->value_exact<std::string>();
    if (!text || !isAddress(*text, use)) {
        reportWrong(*node, key, expectedAddress(use));
        return;
    }
    out = *text;
}

void TableReader::readAddresses(std::string_view key, std::vector<std::string> &out)
{
    const toml::node *node = find(key, Presence::Optional);
    if (node == nullptr) {
        return;
    }
    const toml::array *array = node->as_array();
    if (array == nullptr) {
        reportWrong(*node, key, "an array of addresses");
        return;
    }
    for (const toml::node &element : *array) {
        const auto text = element.value_exact<std::string>();
        if (text && isAddress(*text, AddressUse::Connect)) {
            out.push_back(*text);
        } else {
            reportWrong(element, key, expectedAddress(AddressUse::Connect));
        }
    }
}

void TableReader::readSecret(std::string_view key, observe::Secret &out, Presence presence)
{
    const toml::node *node = find(key, presence);
    if (node == nullptr) {
        return;
    }
    const auto text = node->value_exact<std::string>();
    if (!text || text->size() < MinSecretLength) {
        // The value itself is never part of the message.
        reportWrong(*node, key, fmt::format("a text of at least {} characters", MinSecretLength));
        return;
    }
    out = observe::Secret(*text);
}

void TableReader::readDuration(std::string_view key, Duration &out, Range<std::int64_t> milliseconds)
{
    std::int64_t value = 0;
    if (readInteger(key, value, milliseconds, " milliseconds")) {
        out = Duration(value);
    }
}

void TableReader::readSize(std::string_view key, std::size_t &out, Range<std::int64_t> range)
{
    std::int64_t value = 0;
    if (readInteger(key, value, range, "")) {
        out = static_cast<std::size_t>(value);
    }
}

void TableReader::readRatio(std::string_view key, double &out)
{
    readNumber(key, out, {.least = 0, .most = 1});
}

void TableReader::readNumber(std::string_view key, double &out, Range<double> range)
{
    const toml::node *node = find(key, Presence::Optional);
    if (node == nullptr) {
        return;
    }
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    // Written so that NaN, which TOML allows, fails too.
    if (!value || !(*value >= range.least && *value <= range.most)) {
        reportWrong(*node, key, fmt::format("a number from {} to {}", range.least, range.most));
        return;
    }
    out = *value;
}

void TableReader::readFlag(std::string_view key, bool &out)
{
    const toml::node *node = find(key, Presence::Optional);
    if (node == nullptr) {
        return;
    }
    const auto value = node->value_exact<bool>();
    if (!value) {
        reportWrong(*node, key, "true or false");
        return;
    }
    out = *value;
}

void TableReader::reportAt(std::string_view key, std::string message)
{
    const toml::node *node = table_.get(key);
    problems_.add(node == nullptr ? table_.source() : node->source(), std::move(message));
}

void TableReader::finish()
{
    for (const auto &[key, node] : table_) {
        if (known_.contains(key.str())) {
            continue;
        }
        const std::vector<std::string> names(known_.begin(), known_.end());
        problems_.add(key.source(), fmt::format("unknown key '{}'; expected one of {}", fullName(key.str()), quotedList(names)));
    }
}

const toml::node *TableReader::find(std::string_view key, Presence presence)
{
    known_.emplace(key);
    const toml::node *node = table_.get(key);
    if (node == nullptr && presence == Presence::Required) {
        problems_.add(table_.source(), fmt::format("missing key '{}'", fullName(key)));
    }
    return node;
}

bool TableReader::readInteger(std::string_view key, std::int64_t &out, Range<std::int64_t> range, std::string_view unit)
{
    const toml::node *node = find(key, Presence::Optional);
    if (node == nullptr) {
        return false;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < range.least || *value > range.most) {
        reportWrong(*node, key, fmt::format("a whole number from {} to {}{}", range.least, range.most, unit));
        return false;
    }
    out = *value;
    return true;
}

void TableReader::reportWrong(const toml::node &node, std::string_view key, std::string_view expected)
{
    problems_.add(node.source(), fmt::format("'{}' must be {}", fullName(key), expected));
}

std::string TableReader::fullName(std::string_view key) const
{
    return name_.empty() ? std::string(key) : fmt::format("{}.{}", name_, key);
}

std::string TableReader::quotedList(const std::vector<std::string> &names)
{
    std::string list;
    for (const std::string &name : names) {
        list += (list.empty() ? "'" : ", '") + name + "'";
    }
    return list;
}

} // namespace magnolia::settings
