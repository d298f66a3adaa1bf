#ifndef MAGNOLIA_OBSERVE_LOG_H
#define MAGNOLIA_OBSERVE_LOG_H

#include "observe/secret.h"

#include <spdlog/spdlog.h>

#include <cstdint>
#include <memory>
#include <string_view>

/** Logs: short sentences, each with the fixed prefix of the part that says it. */
namespace magnolia::observe
{

enum class LogFormat : std::uint8_t {
    Text, ///< "2026-12-02T18:40:00.123Z info  link: peer agent-1 is up"
    Json, ///< One object a line: time, level, part, message, and a member for each "name=value" at the message's end.
};

struct LogOptions {
    spdlog::level::level_enum level = spdlog::level::info;
    LogFormat format = LogFormat::Text;
    spdlog::sink_ptr sink; ///< Where lines go; null: standard error. Tests set their own.
};

/** Sets level, format and target of all loggers, also of those handed out before. Call it once, early in main(). */
void configureLogging(const LogOptions &options);

/**
 * @param prefix name of the part, e.g. "link", "admission".
 * @return the logger of that part; the same one for the same prefix. It may be used from any thread.
 */
std::shared_ptr<spdlog::logger> logger(std::string_view prefix);

/** From now on this secret's text is replaced by "[secret]" in every line, wherever it came from (a URL, a peer's error). */
void hideFromLogs(const Secret &secret);

} // namespace magnolia::observe

#endif
