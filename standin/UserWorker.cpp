#include "UserWorker.h"

#include "platform/src/Names.h"

#include <algorithm>

namespace shallotdrift::standin {

namespace names = platform::names;
using nlohmann::json;

static constexpr double clockSpeed = 0.99; // within the 2% that a worker's clock may be slow
static constexpr int64_t defaultWork = 200; // ms
static constexpr int64_t coresOfTask = 1000; // the orders do not state it; tests use tasks of one core
static constexpr unsigned otherBoot = 421;

UserWorker::UserWorker(std::string id, int64_t milliCores, RunLedger& ledger)
    : id_(std::move(id))
    , milliCores_(milliCores)
    , ledger_(ledger)
{
}

int64_t UserWorker::clock(Instant now) const
{
    return static_cast<int64_t>(clockSpeed * std::chrono::duration<double, std::milli>(now - born_).count());
}

HttpResponse UserWorker::lists(Instant now) const
{
    auto running = json::array();
    for (const auto& [task, run] : runs_) {
        auto whole = std::chrono::duration<double>(run.ends - run.begun).count();
        auto part = std::chrono::duration<double>(now - run.begun).count();
        running.push_back(json::array({ task, run.number, "", static_cast<int>(100 * part / whole), 1000 }));
    }
    auto ended = json::array();
    for (const auto& end : ends_)
        ended.push_back(json::array({ end.number, end.task, end.run, end.how, "" }));
    return { 200,
        json { { names::clock, clock(now) }, { names::born, bornAt_ }, { names::running, running },
            { names::ended, ended } }
            .dump() };
}

void UserWorker::end(const std::string& task, const char* how)
{
    auto run = runs_.find(task);
    ends_.push_back({ ++lastEnd_, task, run->second.number, how });
    finished_[task] = std::max(finished_[task], run->second.number);
    --ledger_.running[task];
    runs_.erase(run);
}

void UserWorker::kill()
{
    for (const auto& [task, run] : runs_)
        --ledger_.running[task];
    runs_.clear();
}

static HttpResponse refuse(const char* reason, int64_t clock)
{
    return { 409, json { { names::clock, clock }, { names::reason, reason } }.dump() };
}

static int64_t workOf(const std::string& payload)
{
    auto found = payload.find("work=");
    return found == std::string::npos ? defaultWork : std::max<int64_t>(1, std::atoll(payload.c_str() + found + 5));
}

HttpResponse UserWorker::start(const json& call, Instant now)
{
    auto task = call.at(names::task).get<std::string>();
    auto number = call.at(names::run).get<uint64_t>();
    leaseEnd_ = std::max(leaseEnd_, call.at(names::leaseEnd).get<int64_t>());
    auto known = runs_.find(task);
    if (known != runs_.end() && known->second.number == number)
        return { 200, json { { names::clock, clock(now) } }.dump() };
    if (auto finished = finished_.find(task); finished != finished_.end() && number <= finished->second)
        return refuse("old", clock(now));
    if (call.at(names::leaseEnd).get<int64_t>() <= clock(now))
        return refuse("late", clock(now));
    if (static_cast<int64_t>(runs_.size() + 1) * coresOfTask > milliCores_)
        return refuse("room", clock(now));
    ++ledger_.starts;
    if (++ledger_.running[task] > 1 || ledger_.done.count(task) != 0)
        ++ledger_.twice;
    runs_[task] = { number, now, now + Milliseconds { workOf(call.at(names::payload).get<std::string>()) } };
    return { 200, json { { names::clock, clock(now) } }.dump() };
}

HttpResponse UserWorker::stop(const json& call, Instant now)
{
    auto task = call.at(names::task).get<std::string>();
    auto number = call.at(names::run).get<uint64_t>();
    finished_[task] = std::max(finished_[task], number);
    if (auto run = runs_.find(task); run != runs_.end() && run->second.number <= number)
        end(task, "stopped");
    return { 200, json { { names::clock, clock(now) } }.dump() };
}

void UserWorker::handle(const HttpMessage& request, HttpServer::ResponseCallback reply)
{
    auto now = BootClock::now();
    auto call = json::parse(request.body, nullptr, false);
    if (!call.is_object()) {
        reply({ 400 });
        return;
    }
    if (const auto* expected = request.findHeader(names::expectedInstance); expected && *expected != id_) {
        reply({ otherBoot });
        return;
    }
    auto token = call.value(names::token, uint64_t { 0 });
    if (token < token_) {
        reply(refuse("fence", clock(now)));
        return;
    }
    token_ = token;
    if (request.target == names::runStart) {
        reply(start(call, now));
    } else if (request.target == names::runStop) {
        reply(stop(call, now));
    } else if (request.target == names::hold) {
        leaseEnd_ = std::max(leaseEnd_, call.value(names::leaseEnd, int64_t { 0 }));
        auto seen = call.at(names::notedEnds).get<uint64_t>();
        for (const auto& end : ends_)
            if (end.number <= seen && end.how == "done")
                ledger_.done.insert(end.task);
        ends_.erase(std::remove_if(ends_.begin(), ends_.end(), [&](const End& end) { return end.number <= seen; }),
            ends_.end());
        waiting_.push_back({ now + Milliseconds { call.value(names::wait, int64_t { 0 }) }, std::move(reply) });
    } else
        reply({ request.target == names::pace ? 200U : 404U });
    poll(now);
}

void UserWorker::poll(Instant now)
{
    std::vector<std::string> over;
    bool lapsed = !runs_.empty() && clock(now) > leaseEnd_;
    for (const auto& [task, run] : runs_)
        if (lapsed || run.ends <= now)
            over.push_back(task);
    for (const auto& task : over)
        end(task, lapsed ? "lapsed" : "done");
    auto waiting = std::move(waiting_);
    waiting_.clear();
    for (auto& entry : waiting)
        if (!ends_.empty() || entry.until <= now)
            entry.reply(lists(now));
        else
            waiting_.push_back(std::move(entry));
}

} // namespace shallotdrift::standin
