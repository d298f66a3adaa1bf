#include "tomltext.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <charconv>

namespace magnolia::manifest
{

struct TomlText::Document {
    toml::table table;
    Json value;
};

namespace
{

Json toJsonValue(const toml::node &node)
{
    if (const toml::table *table = node.as_table()) {
        Json object = Json::object();
        for (const auto &[key, child] : *table) {
            object[std::string(key.str())] = toJsonValue(child);
        }
        return object;
    }
    if (const toml::array *array = node.as_array()) {
        Json list = Json::array();
        for (const toml::node &child : *array) {
            list.push_back(toJsonValue(child));
        }
        return list;
    }
    if (const auto *text = node.as_string()) {
        return text->get();
    }
    if (const auto *integer = node.as_integer()) {
        return integer->get();
    }
    if (const auto *number = node.as_floating_point()) {
        return number->get();
    }
    if (const auto *boolean = node.as_boolean()) {
        return boolean->get();
    }
    // Dates and times have no place in a manifest; binary stands for them until the reader reports them.
    return Json::binary({});
}

std::size_t depthOf(const toml::node &node)
{
    std::size_t deepest = 0;
    if (const toml::table *table = node.as_table()) {
        for (const auto &[key, child] : *table) {
            deepest = std::max(deepest, depthOf(child));
        }
        return deepest + 1;
    }
    if (const toml::array *array = node.as_array()) {
        for (const toml::node &child : *array) {
            deepest = std::max(deepest, depthOf(child));
        }
        return deepest + 1;
    }
    return 0;
}

const toml::node *childOf(const toml::node &node, const std::string &token)
{
    if (const toml::table *table = node.as_table()) {
        return table->get(token);
    }
    if (const toml::array *array = node.as_array()) {
        std::size_t index = 0;
        const auto [end, error] = std::from_chars(token.data(), token.data() + token.size(), index);
        return error == std::errc() ? array->get(index) : nullptr;
    }
    return nullptr;
}

// Outermost first.
std::vector<std::string> tokensOf(Pointer pointer)
{
    std::vector<std::string> tokens;
    while (!pointer.empty()) {
        tokens.push_back(pointer.back());
        pointer.pop_back();
    }
    return {tokens.rbegin(), tokens.rend()};
}

} // namespace

TomlText::TomlText(std::unique_ptr<Document> document) : document_(std::move(document)) {}

TomlText::~TomlText() = default;
TomlText::TomlText(TomlText &&) noexcept = default;
TomlText &TomlText::operator=(TomlText &&) noexcept = default;

tl::expected<TomlText, SyntaxError> TomlText::parse(std::string_view text, std::size_t maxDepth)
{
    auto document = std::make_unique<Document>();
    try {
        // The parser itself bounds the depth of its recursion.
        document->table = toml::parse(text);
    } catch (const toml::parse_error &error) {
        const toml::source_position &begin = error.source().begin;
        return tl::unexpected(SyntaxError{.line = begin.line, .column = begin.column, .message = std::string(error.description())});
    }
    if (depthOf(document->table) > maxDepth) {
        return tl::unexpected(SyntaxError{.line = 1, .column = 1, .message = fmt::format("nested deeper than {} levels", maxDepth)});
    }
    document->value = toJsonValue(document->table);
    return TomlText(std::move(document));
}

const Json &TomlText::value() const
{
    return document_->value;
}

TomlText::Position TomlText::positionOf(const Pointer &pointer) const
{
    const toml::node *node = &document_->table;
    Position position;
    for (const std::string &token : tokensOf(pointer)) {
        node = childOf(*node, token);
        if (node == nullptr) {
            break;
        }
        const toml::source_position &begin = node->source().begin;
        if (begin.line != 0) {
            position = {.line = begin.line, .column = begin.column};
        }
    }
    return position;
}

} // namespace magnolia::manifest
