#include "Roles.h"

#include "LoadGenerator.h"

#include <asio/signal_set.hpp>
#include <boost/algorithm/string/split.hpp>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(load_file, "", "load file (JSON): kinds with rates, phases and run times");
DEFINE_string(load_entries, "", "addresses of the entries, IP:port separated by commas");
DEFINE_double(load_seconds, 10, "time in seconds during which requests are sent");
DEFINE_uint64(load_seed, 1, "seed of arrival times, run times and the choice of entries");
DEFINE_uint32(load_patience_ms, 5000, "time in ms beyond a request's timeout until its caller gives up");
DEFINE_string(load_journal, "", "journal file of the answers (JSON lines)");

namespace shallotdrift::standin {

static Result<LoadOptions> readOptions()
{
    LoadOptions options;
    std::vector<std::string> addresses;
    boost::algorithm::split(addresses, FLAGS_load_entries, [](char c) { return c == ','; });
    for (const auto& address : addresses) {
        BOOST_LEAF_AUTO(endpoint, parseAddress(address));
        options.entries.push_back(endpoint);
    }
    options.length = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(FLAGS_load_seconds));
    options.seed = FLAGS_load_seed;
    options.patience = Milliseconds(FLAGS_load_patience_ms);
    return options;
}

static Result<int> runLoad()
{
    BOOST_LEAF_AUTO(kinds, readLoadPlan(FLAGS_load_file));
    BOOST_LEAF_AUTO(options, readOptions());
    Journal journal(FLAGS_load_journal);
    if (!journal.usable())
        return fail(ResultCode::InvalidCommand, "cannot write journal " + FLAGS_load_journal);
    asio::io_context io { 1 };
    LoadGenerator generator(io, kinds, options, journal);
    generator.start();
    // The signal wait alone must not keep the program running once all requests have ended.
    asio::steady_timer end(io, options.length);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](std::error_code error, int) {
        if (error)
            return;
        generator.finish();
        end.cancel();
    });
    std::function<void(std::error_code)> endWhenDone = [&](std::error_code) {
        if (generator.open() == 0) {
            io.stop();
            return;
        }
        end.expires_after(Milliseconds(20));
        end.async_wait(endWhenDone);
    };
    end.async_wait(endWhenDone);
    io.run();
    generator.report().print(std::cout);
    return generator.report().clean() ? 0 : 1;
}

int runLoadRole()
{
    return handleError(runLoad, [](const Error& error) {
        logger("load")->error("{}", error.message);
        return 1;
    });
}

} // namespace shallotdrift::standin
