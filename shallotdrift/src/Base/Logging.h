#pragma once

#include <memory>
#include <spdlog/spdlog.h>
#include <string>

namespace shallotdrift {

// Logger whose lines start with "<part>: ". All parts share one sink on standard error.
std::shared_ptr<spdlog::logger> logger(const std::string& component);

// From now on new loggers write to standard output on a thread of its own. A full buffer drops the oldest lines, so
// that nothing waits for the log. To be called before the first logger() of the parts concerned.
void useAsyncStdoutLog();
// Writes out what is buffered, before the process ends.
void shutDownLog();

// Level by spdlog's names: trace, debug, info, warning, error, critical, off.
void setLogLevel(const std::string& level);

} // namespace shallotdrift
