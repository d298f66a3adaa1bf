#include "engine/sseparser.h"

#include <utility>

namespace magnolia::engine
{

SseParser::SseParser(std::size_t maxEventBytes) : maxEventBytes_(maxEventBytes) {}

bool SseParser::feed(std::string_view bytes, const OnEvent &onEvent)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        if (end == std::string_view::npos) {
            line_.append(bytes);
            break;
        }
        line_.append(bytes.substr(0, end));
        bytes.remove_prefix(end + 1);
        const std::string line = std::exchange(line_, {});
        takeLine(line, onEvent);
        if (data_.size() > maxEventBytes_) {
            return false;
        }
    }
    return line_.size() <= maxEventBytes_;
}

void SseParser::takeLine(std::string_view line, const OnEvent &onEvent)
{
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        if (hasData_) {
            hasData_ = false;
            const std::string data = std::exchange(data_, {});
            onEvent(data);
        }
        return;
    }
    constexpr std::string_view Field = "data:";
    if (!line.starts_with(Field)) {
        return;
    }
    line.remove_prefix(Field.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    if (hasData_) {
        data_.push_back('\n');
    }
    hasData_ = true;
    data_.append(line);
}

} // namespace magnolia::engine
