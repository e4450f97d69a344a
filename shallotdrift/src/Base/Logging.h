#pragma once

#include <memory>
#include <spdlog/spdlog.h>
#include <string>

namespace shallotdrift {

// Logger whose lines start with "<part>: ". All parts share one sink on standard error.
std::shared_ptr<spdlog::logger> logger(const std::string& part);

// Level by spdlog's names: trace, debug, info, warning, error, critical, off.
void setLogLevel(const std::string& level);

} // namespace shallotdrift
