#include "OperatorAccess.h"

#include <condition_variable>
#include <memory>
#include <mutex>

namespace shallotdrift {

bool OperatorAccess::runOnCore(const std::function<void()>& function)
{
    auto done = std::make_shared<std::promise<void>>();
    auto future = done->get_future();
    bool posted = core_.post(RunOnCore { [&function, done] {
        function();
        done->set_value();
    } });
    if (!posted)
        return false;
    future.wait();
    return true;
}

void OperatorAccess::readState(const std::function<void(const FleetState&, Offset)>& function)
{
    runOnCore([&] { function(core_.context().state(), core_.context().fold.offset()); });
}

namespace {

    // Verdicts of one submission; outlives the call when the log answers late.
    struct Submission {
        std::mutex mutex;
        std::condition_variable changed;
        std::vector<FoldedRecord> verdicts;
        size_t missing = 0;
    };

} // namespace

std::vector<FoldedRecord> OperatorAccess::submit(std::vector<proto::Record> records, Milliseconds timeout)
{
    auto submission = std::make_shared<Submission>();
    submission->verdicts.resize(records.size());
    submission->missing = records.size();
    bool taken = true;
    bool posted = runOnCore([&] {
        for (size_t i = 0; i < records.size() && taken; ++i) {
            taken = core_.proposals().proposeAs(std::move(records[i]), [submission, i](const FoldedRecord& folded) {
                std::lock_guard lock(submission->mutex);
                submission->verdicts[i] = folded;
                --submission->missing;
                submission->changed.notify_all();
            });
        }
    });
    if (!posted || !taken)
        return {};
    std::unique_lock lock(submission->mutex);
    bool complete = submission->changed.wait_for(lock, timeout, [&] { return submission->missing == 0; });
    return complete ? submission->verdicts : std::vector<FoldedRecord>();
}

void OperatorAccess::fillStatus(proto::StatusReply& reply)
{
    runOnCore([&] {
        const auto& context = core_.context();
        reply.set_entry(context.settings.id);
        reply.set_zone(context.settings.zone);
        reply.set_ready(core_.ready());
        reply.set_state_complete(core_.stateComplete());
        reply.set_platform_reachable(context.outputs.platformReachable());
        Instant now = BootClock::now();
        for (auto& entry : *reply.mutable_entries()) {
            if (entry.entry() == context.settings.id) {
                entry.set_last_heard_ms(0);
                entry.set_folded_offset(context.fold.offset());
                continue;
            }
            auto peer = core_.peers().peers().find(entry.entry());
            if (peer == core_.peers().peers().end()) {
                entry.set_last_heard_ms(-1);
                continue;
            }
            entry.set_last_heard_ms(std::chrono::duration_cast<Milliseconds>(now - peer->second.lastHeard).count());
            entry.set_folded_offset(peer->second.foldedOffset);
        }
        for (const auto& load : core_.requests().load(now)) {
            for (auto& pool : *reply.mutable_pools()) {
                if (pool.pool() != load.pool)
                    continue;
                pool.set_queued(load.queued);
                pool.set_running(load.running);
            }
        }
    });
}

std::vector<std::string> OperatorAccess::localFacts(const std::string& subject)
{
    std::vector<std::string> facts;
    auto space = subject.find(' ');
    auto name = space == std::string::npos ? subject : subject.substr(space + 1);
    runOnCore([&] {
        for (const auto& line : core_.requests().recentRefusals()) {
            if (line.find(name) != std::string::npos)
                facts.push_back(line);
        }
    });
    return facts;
}

} // namespace shallotdrift
