#include "WorkerStandIn.h"

#include "platform/src/ProtocolNames.h"

#include <algorithm>

namespace shallotdrift::standin {

namespace names = platform::names;
using nlohmann::json;

static constexpr double clockRate = 0.99; // a worker's clock may be up to 2% slow
static constexpr int64_t defaultWorkMilliseconds = 200;
static constexpr int64_t milliCoresPerTask = 1000; // not part of a start order; the tests use tasks of one core
static constexpr unsigned otherIncarnationStatus = 421; // HTTP 421 Misdirected Request

WorkerStandIn::WorkerStandIn(std::string id, int64_t milliCores, RunStatistics& statistics)
    : id_(std::move(id))
    , milliCores_(milliCores)
    , statistics_(statistics)
{
}

int64_t WorkerStandIn::clock(Instant now) const
{
    return static_cast<int64_t>(clockRate * std::chrono::duration<double, std::milli>(now - bootInstant_).count());
}

HttpResponse WorkerStandIn::report(Instant now) const
{
    auto running = json::array();
    for (const auto& [task, run] : runs_) {
        auto totalSeconds = std::chrono::duration<double>(run.finishesAt - run.startedAt).count();
        auto elapsedSeconds = std::chrono::duration<double>(now - run.startedAt).count();
        running.push_back(
            json::array({ task, run.number, "", static_cast<int>(100 * elapsedSeconds / totalSeconds), 1000 }));
    }
    auto ended = json::array();
    for (const auto& end : ends_)
        ended.push_back(json::array({ end.number, end.task, end.run, end.outcome, "" }));
    return { 200,
        json { { names::clock, clock(now) }, { names::bootTime, bootTime_ }, { names::running, running },
            { names::ended, ended } }
            .dump() };
}

void WorkerStandIn::end(const std::string& task, const char* outcome)
{
    auto run = runs_.find(task);
    ends_.push_back({ ++lastEndNumber_, task, run->second.number, outcome });
    highestEndedRun_[task] = std::max(highestEndedRun_[task], run->second.number);
    --statistics_.runningCount[task];
    --statistics_.running;
    runs_.erase(run);
}

void WorkerStandIn::killAll()
{
    for (const auto& [task, run] : runs_)
        --statistics_.runningCount[task];
    statistics_.running -= runs_.size();
    runs_.clear();
}

static HttpResponse rejection(const char* reason, int64_t clock)
{
    return { 409, json { { names::clock, clock }, { names::reason, reason } }.dump() };
}

static int64_t workMilliseconds(const std::string& payload)
{
    auto found = payload.find("work=");
    return found == std::string::npos ? defaultWorkMilliseconds
                                      : std::max<int64_t>(1, std::atoll(payload.c_str() + found + 5));
}

HttpResponse WorkerStandIn::start(const json& call, Instant now)
{
    auto task = call.at(names::task).get<std::string>();
    auto number = call.at(names::runId).get<uint64_t>();
    leaseEnd_ = std::max(leaseEnd_, call.at(names::leaseEnd).get<int64_t>());
    auto known = runs_.find(task);
    if (known != runs_.end() && known->second.number == number)
        return { 200, json { { names::clock, clock(now) } }.dump() };
    if (auto finished = highestEndedRun_.find(task); finished != highestEndedRun_.end() && number <= finished->second)
        return rejection("old", clock(now));
    if (call.at(names::leaseEnd).get<int64_t>() <= clock(now))
        return rejection("late", clock(now));
    if (static_cast<int64_t>(runs_.size() + 1) * milliCoresPerTask > milliCores_)
        return rejection("room", clock(now));
    ++statistics_.starts;
    statistics_.running += known == runs_.end() ? 1 : 0;
    statistics_.peakRunning = std::max(statistics_.peakRunning, statistics_.running);
    if (++statistics_.runningCount[task] > 1 || statistics_.acknowledgedDone.count(task) != 0)
        ++statistics_.duplicateRuns;
    runs_[task] = { number, now, now + Milliseconds { workMilliseconds(call.at(names::payload).get<std::string>()) } };
    return { 200, json { { names::clock, clock(now) } }.dump() };
}

HttpResponse WorkerStandIn::stop(const json& call, Instant now)
{
    auto task = call.at(names::task).get<std::string>();
    auto number = call.at(names::runId).get<uint64_t>();
    highestEndedRun_[task] = std::max(highestEndedRun_[task], number);
    if (auto run = runs_.find(task); run != runs_.end() && run->second.number <= number)
        end(task, "stopped");
    return { 200, json { { names::clock, clock(now) } }.dump() };
}

void WorkerStandIn::handle(const HttpMessage& request, HttpServer::ResponseCallback respond)
{
    auto now = BootClock::now();
    auto call = json::parse(request.body, nullptr, false);
    if (!call.is_object()) {
        respond({ 400 });
        return;
    }
    if (const auto* expected = request.findHeader(names::expectedInstanceHeader); expected && *expected != id_) {
        respond({ otherIncarnationStatus });
        return;
    }
    auto token = call.value(names::fencingToken, uint64_t { 0 });
    if (token < fencingToken_) {
        respond(rejection("fence", clock(now)));
        return;
    }
    fencingToken_ = token;
    if (request.target == names::runStartPath) {
        respond(start(call, now));
    } else if (request.target == names::runStopPath) {
        respond(stop(call, now));
    } else if (request.target == names::holdPath) {
        leaseEnd_ = std::max(leaseEnd_, call.value(names::leaseEnd, int64_t { 0 }));
        auto acknowledged = call.at(names::acknowledgedEnd).get<uint64_t>();
        for (const auto& end : ends_)
            if (end.number <= acknowledged && end.outcome == "done")
                statistics_.acknowledgedDone.insert(end.task);
        ends_.erase(
            std::remove_if(ends_.begin(), ends_.end(), [&](const End& end) { return end.number <= acknowledged; }),
            ends_.end());
        pendingLeaseRenewals_.push_back(
            { now + Milliseconds { call.value(names::wait, int64_t { 0 }) }, std::move(respond) });
    } else
        respond({ request.target == names::pacePath ? 200U : 404U });
    poll(now);
}

void WorkerStandIn::poll(Instant now)
{
    std::vector<std::string> finished;
    bool expired = !runs_.empty() && clock(now) > leaseEnd_;
    for (const auto& [task, run] : runs_)
        if (expired || run.finishesAt <= now)
            finished.push_back(task);
    for (const auto& task : finished)
        end(task, expired ? "lapsed" : "done");
    auto pending = std::move(pendingLeaseRenewals_);
    pendingLeaseRenewals_.clear();
    for (auto& entry : pending)
        if (!ends_.empty() || entry.deadline <= now)
            entry.respond(report(now));
        else
            pendingLeaseRenewals_.push_back(std::move(entry));
}

} // namespace shallotdrift::standin
