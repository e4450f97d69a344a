#pragma once

#include <memory>
#include <spdlog/spdlog.h>
#include <string>

namespace shallotdrift {

// Returns the logger of a component, and creates it on the first call. Its lines have the form
// "<time> <level> <component>: <text>". All loggers share one sink: standard error or, after useAsyncStdoutLog(),
// standard output.
std::shared_ptr<spdlog::logger> logger(const std::string& component);

// Loggers that are created after this call write to standard output from a separate thread. A full queue drops its
// oldest lines, so that no caller blocks on the log. Has no effect on loggers that exist already.
void useAsyncStdoutLog();
// Writes out the queued lines before the process exits. Nothing may be logged afterwards.
void shutDownLog();

// Sets the lowest level that is logged, by spdlog's names: trace, debug, info, warning, error, critical, off.
void setLogLevel(const std::string& level);

} // namespace shallotdrift
