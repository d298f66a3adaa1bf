#ifndef MAGNOLIA_WIRE_UTF8_H
#define MAGNOLIA_WIRE_UTF8_H

#include <string>

namespace magnolia::wire
{

bool isValidUtf8(const std::string &text);

/** @return the text with U+FFFD in place of each invalid sequence. */
std::string withValidUtf8(const std::string &text);

} // namespace magnolia::wire

#endif
