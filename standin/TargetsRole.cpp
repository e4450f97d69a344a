#include "Roles.h"

#include "TargetHost.h"

#include <asio/signal_set.hpp>
#include <gflags/gflags.h>

DEFINE_string(targets_fleet, "", "fleet JSON file");
DEFINE_string(targets_zone, "", "hosts the instances of this zone only; empty: of all zones");
DEFINE_string(targets_journal, "", "journal file of runs, refusals and marks (JSON lines)");
DEFINE_uint32(targets_reboot_ms, 500, "time in ms that a reboot takes");

namespace shallotdrift::standin {

static Result<void> addInstances(TargetHost& host)
{
    BOOST_LEAF_AUTO(fleet, readFleetFile(FLAGS_targets_fleet));
    for (const auto& instance : fleet) {
        if (instance.role == "target" && (FLAGS_targets_zone.empty() || instance.zone == FLAGS_targets_zone))
            BOOST_LEAF_CHECK(host.add(instance));
    }
    return {};
}

static Result<int> runTargets()
{
    asio::io_context io { 1 };
    Journal journal(FLAGS_targets_journal);
    if (!journal.usable())
        return fail(ResultCode::InvalidCommand, "cannot write journal " + FLAGS_targets_journal);
    TargetHost host(io, journal, Milliseconds(FLAGS_targets_reboot_ms));
    BOOST_LEAF_CHECK(addInstances(host));
    logger("targets")->info("hosting {} instances", host.size());
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](std::error_code, int) { io.stop(); });
    io.run();
    return 0;
}

int runTargetsRole()
{
    return handleError(runTargets, [](const Error& error) {
        logger("targets")->error("{}", error.message);
        return 1;
    });
}

} // namespace shallotdrift::standin
