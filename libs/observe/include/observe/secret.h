#ifndef MAGNOLIA_OBSERVE_SECRET_H
#define MAGNOLIA_OBSERVE_SECRET_H

#include <spdlog/fmt/fmt.h>

#include <ostream>
#include <string>
#include <string_view>

namespace magnolia::observe
{

/**
 * A key or password that prints as "[secret]" wherever it is logged.
 *
 * A value type; any thread may use its own copy. The text is had only by expose(), so that a search for that name finds
 * every place where a secret leaves its wrapper.
 *
 * @code
 * const Secret key("k3y");
 * logger("operators")->info("key is {}", key); // "key is [secret]"
 * @endcode
 */
class Secret
{
public:
    Secret() = default;
    explicit Secret(std::string text);

    const std::string &expose() const;
    bool empty() const;

    /** Compares in a time that depends on the lengths only, so that a guess learns nothing from how long it took. */
    bool matches(std::string_view candidate) const;

private:
    std::string text_;
};

/** What is printed in place of a secret. */
constexpr std::string_view HiddenText = "[secret]";

inline std::ostream &operator<<(std::ostream &out, const Secret &)
{
    return out << HiddenText;
}

} // namespace magnolia::observe

template<>
struct fmt::formatter<magnolia::observe::Secret> : fmt::formatter<std::string_view> {
    template<typename Context>
    auto format(const magnolia::observe::Secret &, Context &context) const
    {
        return fmt::formatter<std::string_view>::format(magnolia::observe::HiddenText, context);
    }
};

#endif
