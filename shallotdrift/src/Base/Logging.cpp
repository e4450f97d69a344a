#include "Logging.h"

#include <mutex>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace shallotdrift {

static constexpr char linePattern[] = "%Y-%m-%dT%H:%M:%S.%e %L %n: %v";
static constexpr size_t queueCapacity = 4096;
// Longest time that a line stays in the output buffer. Flushing after each line would cost one system call per line.
static constexpr std::chrono::seconds flushInterval { 1 };

static bool& asyncStdout()
{
    static bool value = false;
    return value;
}

static std::shared_ptr<spdlog::logger> makeLogger(const std::string& component)
{
    if (asyncStdout()) {
        static const auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
        auto created = std::make_shared<spdlog::async_logger>(
            component, sink, spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
        created->flush_on(spdlog::level::warn);
        return created;
    }
    static const auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    auto created = std::make_shared<spdlog::logger>(component, sink);
    created->flush_on(spdlog::level::info);
    return created;
}

std::shared_ptr<spdlog::logger> logger(const std::string& component)
{
    static std::mutex mutex;
    std::lock_guard lock(mutex);
    if (auto existing = spdlog::get(component))
        return existing;
    auto created = makeLogger(component);
    created->set_level(spdlog::get_level());
    created->set_pattern(linePattern);
    spdlog::register_logger(created);
    return created;
}

void useAsyncStdoutLog()
{
    asyncStdout() = true;
    spdlog::init_thread_pool(queueCapacity, 1);
    spdlog::flush_every(flushInterval);
}

void shutDownLog() { spdlog::shutdown(); }

void setLogLevel(const std::string& level) { spdlog::set_level(spdlog::level::from_str(level)); }

} // namespace shallotdrift
