#include "http/headerlist.h"

#include <algorithm>
#include <array>
#include <utility>

namespace magnolia::http
{

namespace
{

/** RFC 9110, 7.6.1, and the framing that each hop chooses for itself. */
constexpr std::array<std::string_view, 10> HopByHop{"connection",
                                                    "keep-alive",
                                                    "proxy-connection",
                                                    "proxy-authenticate",
                                                    "proxy-authorization",
                                                    "te",
                                                    "trailer",
                                                    "transfer-encoding",
                                                    "upgrade",
                                                    "content-length"};

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Blank = " \t";
    const std::size_t first = text.find_first_not_of(Blank);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Blank) - first + 1);
}

} // namespace

bool equalsIgnoringCase(std::string_view one, std::string_view other)
{
    return std::equal(one.begin(), one.end(), other.begin(), other.end(), [](char a, char b) { return lower(a) == lower(b); });
}

void HeaderList::add(std::string name, std::string value)
{
    fields_.push_back({.name = std::move(name), .value = std::move(value)});
}

void HeaderList::set(std::string_view name, std::string value)
{
    remove(name);
    add(std::string(name), std::move(value));
}

void HeaderList::remove(std::string_view name)
{
    std::erase_if(fields_, [name](const HeaderField &field) { return equalsIgnoringCase(field.name, name); });
}

const std::string *HeaderList::find(std::string_view name) const
{
    const auto found = std::find_if(fields_.begin(), fields_.end(), [name](const HeaderField &field) { return equalsIgnoringCase(field.name, name); });
    return found == fields_.end() ? nullptr : &found->value;
}

std::string_view HeaderList::value(std::string_view name) const
{
    const std::string *found = find(name);
    return found == nullptr ? std::string_view() : std::string_view(*found);
}

void HeaderList::removeHopByHop()
{
    std::vector<std::string> named;
    for (const HeaderField &field : fields_) {
        if (!equalsIgnoringCase(field.name, "connection")) {
            continue;
        }
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const std::size_t comma = rest.find(',');
            named.emplace_back(trimmed(rest.substr(0, comma)));
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        }
    }
    std::erase_if(fields_, [&named](const HeaderField &field) {
        const auto isField = [&field](std::string_view name) { return equalsIgnoringCase(name, field.name); };
        return std::any_of(HopByHop.begin(), HopByHop.end(), isField) || std::any_of(named.begin(), named.end(), isField);
    });
}

void HeaderList::appendTo(std::string &head) const
{
    for (const HeaderField &field : fields_) {
        head.append(field.name).append(": ").append(field.value).append("\r\n");
    }
}

} // namespace magnolia::http
