#include "observe/log.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/chrono.h>
#include <spdlog/formatter.h>
#include <spdlog/sinks/dist_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <mutex>
#include <string>
#include <vector>

namespace magnolia::observe
{

namespace
{

/** Texts that must never reach a log. */
class HiddenTexts
{
public:
    void add(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        texts_.push_back(text);
    }

    void replaceIn(std::string &line) const
    {
        const std::lock_guard lock(mutex_);
        for (const std::string &text : texts_) {
            replaceAll(line, text);
        }
    }

private:
    static void replaceAll(std::string &line, const std::string &text)
    {
        std::size_t at = line.find(text);
        while (at != std::string::npos) {
            line.replace(at, text.size(), HiddenText);
            at = line.find(text, at + HiddenText.size());
        }
    }

    mutable std::mutex mutex_;
    std::vector<std::string> texts_;
};

HiddenTexts &hiddenTexts()
{
    static HiddenTexts texts;
    return texts;
}

std::string utcTime(std::chrono::system_clock::time_point time)
{
    const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(time);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(time - seconds).count();
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)), millis);
}

// A peer's text with a line break in it could forge a line of ours.
void replaceControlCharacters(std::string &text)
{
    constexpr unsigned char FirstPrintable = 0x20;
    for (char &character : text) {
        if (static_cast<unsigned char>(character) < FirstPrintable) {
            character = ' ';
        }
    }
}

bool isFieldName(std::string_view text)
{
    const auto isNameLetter = [](char letter) { return (letter >= 'a' && letter <= 'z') || letter == '_'; };
    return !text.empty() && std::all_of(text.begin(), text.end(), isNameLetter);
}

/** Position of the blank before the next " name=" at or behind a position; npos if there is none. */
std::size_t nextField(std::string_view sentence, std::size_t from)
{
    for (std::size_t blank = sentence.find(' ', from); blank != std::string_view::npos; blank = sentence.find(' ', blank + 1)) {
        const std::size_t equals = sentence.find('=', blank + 1);
        if (equals == std::string_view::npos) {
            return equals;
        }
        if (isFieldName(sentence.substr(blank + 1, equals - blank - 1))) {
            return blank;
        }
    }
    return std::string_view::npos;
}

nlohmann::ordered_json fieldValue(std::string_view text)
{
    std::int64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (!text.empty() && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size()) {
        return number;
    }
    if (text == "true" || text == "false") {
        return text == "true";
    }
    return std::string(text);
}

/**
 * Moves the "name=value" pairs that end a sentence into members of their own, so that lines can be searched by them. The
 * first of a name wins: text from outside stands in the last value, and can't replace what stands before it.
 */
void putFields(nlohmann::ordered_json &line, std::string_view sentence)
{
    std::size_t at = nextField(sentence, 0);
    line["message"] = std::string(sentence.substr(0, at));
    while (at != std::string_view::npos) {
        const std::size_t equals = sentence.find('=', at);
        const std::size_t next = nextField(sentence, equals);
        const std::string name(sentence.substr(at + 1, equals - at - 1));
        if (!line.contains(name)) {
            line[name] = fieldValue(sentence.substr(equals + 1, next == std::string_view::npos ? next : next - equals - 1));
        }
        at = next;
    }
}

class LineFormatter final : public spdlog::formatter
{
public:
    explicit LineFormatter(LogFormat format) : format_(format) {}

    void format(const spdlog::details::log_msg &message, spdlog::memory_buf_t &out) override
    {
        std::string sentence(message.payload.data(), message.payload.size());
        hiddenTexts().replaceIn(sentence);
        const std::string line = format_ == LogFormat::Json ? jsonLine(message, sentence) : textLine(message, std::move(sentence));
        out.append(line.data(), line.data() + line.size());
    }

    std::unique_ptr<spdlog::formatter> clone() const override
    {
        return std::make_unique<LineFormatter>(format_);
    }

private:
    static std::string levelName(const spdlog::details::log_msg &message)
    {
        const auto name = spdlog::level::to_string_view(message.level);
        return {name.data(), name.size()};
    }

    static std::string part(const spdlog::details::log_msg &message)
    {
        return {message.logger_name.data(), message.logger_name.size()};
    }

    static std::string textLine(const spdlog::details::log_msg &message, std::string sentence)
    {
        replaceControlCharacters(sentence);
        return fmt::format("{} {:<7} {}: {}\n", utcTime(message.time), levelName(message), part(message), sentence);
    }

    static std::string jsonLine(const spdlog::details::log_msg &message, const std::string &sentence)
    {
        nlohmann::ordered_json line;
        line["time"] = utcTime(message.time);
        line["level"] = levelName(message);
        line["part"] = part(message);
        putFields(line, sentence);
        // A peer's text need not be UTF-8, and dump() would throw on it.
        return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
    }

    LogFormat format_;
};

// All loggers share this one sink, so that configureLogging() also reaches those handed out before.
const std::shared_ptr<spdlog::sinks::dist_sink_mt> &sharedSink()
{
    static const auto sink = [] {
        auto created = std::make_shared<spdlog::sinks::dist_sink_mt>();
        created->add_sink(std::make_shared<spdlog::sinks::stderr_sink_mt>());
        created->set_formatter(std::make_unique<LineFormatter>(LogFormat::Text));
        return created;
    }();
    return sink;
}

} // namespace

void configureLogging(const LogOptions &options)
{
    const spdlog::sink_ptr target = options.sink ? options.sink : std::make_shared<spdlog::sinks::stderr_sink_mt>();
    sharedSink()->set_sinks({target});
    sharedSink()->set_formatter(std::make_unique<LineFormatter>(options.format));
    spdlog::set_level(options.level);
}

std::shared_ptr<spdlog::logger> logger(std::string_view prefix)
{
    // Two threads may ask for the same new prefix; the registry throws on a name that it has.
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    const std::string name(prefix);
    if (auto known = spdlog::get(name)) {
        return known;
    }
    auto created = std::make_shared<spdlog::logger>(name, sharedSink());
    // Not initialize_logger(), which would put spdlog's own formatter on the shared sink.
    created->set_level(spdlog::get_level());
    created->flush_on(spdlog::level::warn);
    spdlog::register_logger(created);
    return created;
}

void hideFromLogs(const Secret &secret)
{
    if (!secret.empty()) {
        hiddenTexts().add(secret.expose());
    }
}

} // namespace magnolia::observe
