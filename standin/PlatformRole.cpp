#include "PlatformServer.h"
#include "Roles.h"

#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <sstream>

DEFINE_string(platform_listen, "127.0.0.1:7700", "address of the platform stand-in");
DEFINE_string(platform_fleet, "", "JSON file with the instances of the fleet");
DEFINE_uint64(platform_retention_entries, 100000, "log entries that are kept");
DEFINE_uint64(platform_retention_ms, 3600000, "time for which log entries are kept");
DEFINE_uint32(platform_appends_per_second, 300, "appends above this are answered with 429");
DEFINE_uint64(platform_list_lag_ms, 1000, "lag of the instance list");
DEFINE_uint64(platform_usage_lag_ms, 2000, "lag of reported task usage");
DEFINE_uint64(platform_threads, 400, "server threads; each open connection holds one");

namespace shallotdrift::standin {

static PlatformServerOptions optionsFromFlags()
{
    PlatformServerOptions options;
    auto colon = FLAGS_platform_listen.rfind(':');
    options.host = FLAGS_platform_listen.substr(0, colon);
    options.port = colon == std::string::npos ? 0 : std::atoi(FLAGS_platform_listen.c_str() + colon + 1);
    options.threads = FLAGS_platform_threads;
    options.listLag = Milliseconds(FLAGS_platform_list_lag_ms);
    options.usageLag = Milliseconds(FLAGS_platform_usage_lag_ms);
    options.log.retentionEntries = FLAGS_platform_retention_entries;
    options.log.retention = Milliseconds(FLAGS_platform_retention_ms);
    options.log.appendsPerSecond = FLAGS_platform_appends_per_second;
    return options;
}

static void loadFleet(PlatformFleet& fleet)
{
    if (FLAGS_platform_fleet.empty())
        return fleet.load("[]");
    std::ifstream file(FLAGS_platform_fleet);
    if (!file)
        throw std::runtime_error("cannot read " + FLAGS_platform_fleet);
    std::ostringstream text;
    text << file.rdbuf();
    fleet.load(text.str());
}

int runPlatformRole()
{
    auto log = logger("platform");
    // Blocked before the threads start, so that only the wait below takes the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    PlatformServer server(optionsFromFlags());
    try {
        loadFleet(server.fleet());
    } catch (const std::exception& error) {
        log->error("fleet file: {}", error.what());
        return 2;
    }
    if (!server.start()) {
        log->error("cannot listen on {}", FLAGS_platform_listen);
        return 1;
    }
    log->info("listening on {}", FLAGS_platform_listen);
    int received = 0;
    sigwait(&signals, &received);
    server.stop();
    return 0;
}

} // namespace shallotdrift::standin
