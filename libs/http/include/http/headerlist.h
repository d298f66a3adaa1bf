#ifndef MAGNOLIA_HTTP_HEADERLIST_H
#define MAGNOLIA_HTTP_HEADERLIST_H

#include <string>
#include <string_view>
#include <vector>

namespace magnolia::http
{

/** One header as it was received: its name's case is kept. */
struct HeaderField {
    std::string name;
    std::string value;
};

/** @return true if both are the same but for the case of ASCII letters. */
bool equalsIgnoringCase(std::string_view one, std::string_view other);

/**
 * The headers of a message in the order received, for messages that are passed on.
 *
 * Unlike the map Headers it keeps order, case and repeated fields. A value type.
 *
 * @code
 * HeaderList headers;
 * headers.set("Deadline", "800");
 * if (const std::string *value = headers.find("deadline")) { ... }
 * @endcode
 */
class HeaderList
{
public:
    void add(std::string name, std::string value);

    /** Replaces all fields of that name by one. */
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);

    /** @return the first field of that name, in any case; null if there is none. Valid until the list changes. */
    const std::string *find(std::string_view name) const;

    /** @return its value, empty if there is none. */
    std::string_view value(std::string_view name) const;

    /** Removes whatever concerns one connection only: Connection, the fields that it names, and the framing. */
    void removeHopByHop();

    /** Appends the fields as lines to a message's head. */
    void appendTo(std::string &head) const;

    const std::vector<HeaderField> &fields() const
    {
        return fields_;
    }
    std::vector<HeaderField> &fields()
    {
        return fields_;
    }
    void clear()
    {
        fields_.clear();
    }

private:
    std::vector<HeaderField> fields_;
};

} // namespace magnolia::http

#endif
