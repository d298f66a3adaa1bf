#ifndef MAGNOLIA_MANIFEST_TOMLTEXT_H
#define MAGNOLIA_MANIFEST_TOMLTEXT_H

#include "jsontext.h"

#include <memory>
#include <string>
#include <string_view>

namespace magnolia::manifest
{

/** A TOML document as JSON values, which still knows where each value stood. */
class TomlText
{
public:
    static tl::expected<TomlText, SyntaxError> parse(std::string_view text, std::size_t maxDepth);
    ~TomlText();
    TomlText(TomlText &&) noexcept;
    TomlText &operator=(TomlText &&) noexcept;

    const Json &value() const;

    struct Position {
        std::size_t line = 1;
        std::size_t column = 1;
    };
    /** @return where the value stands, or the nearest one around it. */
    Position positionOf(const Pointer &pointer) const;

private:
    struct Document;
    explicit TomlText(std::unique_ptr<Document> document);
    std::unique_ptr<Document> document_;
};

} // namespace magnolia::manifest

#endif
