#include "Logging.h"

#include <mutex>
#include <spdlog/sinks/stdout_sinks.h>

namespace shallotdrift {

std::shared_ptr<spdlog::logger> logger(const std::string& part)
{
    static std::mutex mutex;
    static const auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    std::lock_guard lock(mutex);
    if (auto existing = spdlog::get(part))
        return existing;
    auto created = std::make_shared<spdlog::logger>(part, sink);
    created->set_level(spdlog::get_level());
    created->set_pattern("%Y-%m-%dT%H:%M:%S.%e %L %n: %v");
    created->flush_on(spdlog::level::info);
    spdlog::register_logger(created);
    return created;
}

void setLogLevel(const std::string& level) { spdlog::set_level(spdlog::level::from_str(level)); }

} // namespace shallotdrift
