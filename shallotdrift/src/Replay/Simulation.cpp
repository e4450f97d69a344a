#include "Simulation.h"

#include <algorithm>

namespace shallotdrift::internal {

static constexpr Duration tickInterval = std::chrono::milliseconds(10);
static constexpr Duration heartbeatInterval = std::chrono::milliseconds(500);
static constexpr Duration planInterval = std::chrono::seconds(1);
static constexpr Duration sampleInterval = std::chrono::milliseconds(100);
// After the last arrival, for requests under way; the longest time that a caller may allow.
static constexpr Duration tail = std::chrono::seconds(31);
static constexpr Duration failingRuntime = std::chrono::milliseconds(5);
// After which an entry gives up connecting to a dead instance.
static constexpr Duration connectTimeout = std::chrono::milliseconds(200);

static Microseconds sinceStart(Instant instant)
{
    return std::chrono::duration_cast<Microseconds>(instant.time_since_epoch());
}

static SimulatedInstances makeInstances(const Trace& trace)
{
    SimulatedInstances instances;
    for (const auto& given : trace.instances) {
        auto& instance = instances[given.id];
        instance.id = given.id;
        instance.zone = given.zone;
        instance.rack = given.rack;
        instance.slots = given.slots;
    }
    return instances;
}

Simulation::Simulation(const Trace& trace, const ReplayPolicy& policy)
    : trace_(trace)
    , policy_(policy)
    , measures_(trace)
    , instances_(makeInstances(trace))
    , fleet_(trace, policy.lending, queue_, instances_, measures_.report())
    , random_(trace.seed)
    , requests_(trace.requests.size())
{
    measures_.report().trace = trace.name;
    measures_.report().policy = policy.name;
    fleet_.onChange([this] { scheduleRefresh(); });
    makeEntries();
}

void Simulation::makeEntries()
{
    std::vector<std::string> zones;
    for (const auto& [name, zone] : trace_.configuration.zones)
        zones.push_back(name);
    for (uint32_t i = 0; i < trace_.entries; ++i)
        addEntry(zones[i % zones.size()]);
}

void Simulation::addEntry(const std::string& zone)
{
    auto number = static_cast<uint32_t>(entries_.size());
    auto& entry = entries_.emplace_back();
    entry.zone = zone;
    SchedulerOptions options;
    options.seed = trace_.seed * 1000 + number;
    options.zone = zone;
    options.admission = policy_.admission;
    options.placement = policy_.placement;
    entry.scheduler = std::make_unique<Scheduler>(options);
    entry.scheduler->setConfiguration(trace_.configuration, queue_.now());
    entry.scheduler->setPeerDemand({}, trace_.entries, queue_.now());
    refreshView(number, 0);
    // Spread over the interval, as independent processes are.
    queue_.schedule<&Simulation::tick>(queue_.now() + tickInterval * number / trace_.entries, this, number);
    queue_.schedule<&Simulation::heartbeat>(queue_.now() + heartbeatInterval * number / trace_.entries, this, number);
}

ReplayReport Simulation::run()
{
    if (!trace_.requests.empty())
        queue_.schedule<&Simulation::arrive>(Instant {} + trace_.requests.front().at, this, 0);
    for (size_t i = 0; i < trace_.events.size(); ++i)
        queue_.schedule<&Simulation::applyEvent>(Instant {} + trace_.events[i].at, this, i);
    queue_.schedule<&Simulation::planLending>(Instant {} + planInterval, this);
    queue_.schedule<&Simulation::sample>(Instant {}, this);
    queue_.runUntil(Instant {} + trace_.duration + tail);
    auto& report = measures_.report();
    for (const auto& request : requests_)
        report.unanswered += request.ended ? 0 : 1;
    if (trace_.floods)
        report.movesPerFloodAndInstance
            = static_cast<double>(report.moves) / trace_.floods / static_cast<double>(trace_.instances.size());
    return measures_.finish();
}

Duration Simulation::delay(const Entry& entry, const SimulatedInstance& instance) const
{
    return entry.zone == instance.zone ? trace_.environment.localDelay : trace_.environment.zoneDelay;
}

std::optional<uint32_t> Simulation::liveEntry()
{
    std::vector<uint32_t> live;
    for (uint32_t i = 0; i < entries_.size(); ++i) {
        if (entries_[i].alive)
            live.push_back(i);
    }
    if (live.empty())
        return std::nullopt;
    return live[random_() % live.size()];
}

void Simulation::arrive(uint64_t number, uint64_t)
{
    if (number + 1 < trace_.requests.size())
        queue_.schedule<&Simulation::arrive>(Instant {} + trace_.requests[number + 1].at, this, number + 1);
    const auto& given = trace_.requests[number];
    auto& request = requests_[number];
    request.arrived = true;
    ++uses_[given.kind].open;
    request.arrivedAt = queue_.now();
    request.deadline = queue_.now() + given.timeout;
    auto entry = liveEntry();
    if (!entry) {
        endRequest(number);
        measures_.refused(number, ResultCode::NoInstance);
        return;
    }
    request.entry = *entry;
    WorkRequest work;
    work.id = number + 1;
    work.kind = given.kind;
    work.team = given.team;
    work.deadline = request.deadline;
    work.declaredRuntime = given.declaredRuntime;
    work.resendAllowed = trace_.configuration.kinds.at(given.kind).idempotent;
    SchedulerEffects effects;
    entries_[*entry].scheduler->submit(work, queue_.now(), effects);
    apply(*entry, effects);
    if (given.cancelAfter)
        queue_.schedule<&Simulation::cancel>(queue_.now() + *given.cancelAfter, this, number);
}

void Simulation::cancel(uint64_t number, uint64_t)
{
    auto& request = requests_[number];
    if (request.ended)
        return;
    request.cancelled = true;
    SchedulerEffects effects;
    entries_[request.entry].scheduler->cancel(number + 1, queue_.now(), effects);
    apply(request.entry, effects);
}

void Simulation::apply(uint32_t entry, const SchedulerEffects& effects)
{
    for (uint64_t number : effects.cancelledAttempts)
        closeAttempt(attemptOf(entry, number));
    for (const auto& item : effects.dispatches)
        dispatch(entry, item);
    for (const auto& refusal : effects.refusals)
        refuse(refusal);
    for (const auto& completion : effects.completions)
        complete(entry, completion);
}

void Simulation::dispatch(uint32_t number, const Dispatch& given)
{
    auto& entry = entries_[number];
    if (entry.attempts.size() < given.attempt)
        entry.attempts.resize(given.attempt);
    auto& attempt = attemptOf(number, given.attempt);
    attempt.request = given.request - 1;
    attempt.instance = &instances_.at(given.instance);
    attempt.pool = given.pool;
    attempt.sentAt = queue_.now();
    attempt.deadline = given.deadline;
    ++attempt.instance->outstanding;
    queue_.schedule<&Simulation::reachInstance>(
        queue_.now() + delay(entry, *attempt.instance), this, number, given.attempt);
}

void Simulation::refuse(const Refusal& refusal)
{
    size_t number = refusal.request - 1;
    auto& request = requests_[number];
    auto& report = measures_.report();
    report.endedTwice += request.ended ? 1 : 0;
    report.falseRefusals += request.runs ? 1 : 0;
    endRequest(number);
    if (request.cancelled) {
        measures_.cancelled(number);
        return;
    }
    measures_.refused(number, refusal.code);
    refusals_[trace_.requests[number].kind].push_back(queue_.now());
}

void Simulation::complete(uint32_t entry, const Completion& completion)
{
    size_t number = completion.request - 1;
    auto& request = requests_[number];
    measures_.report().endedTwice += request.ended ? 1 : 0;
    endRequest(number);
    if (request.cancelled) {
        measures_.cancelled(number);
        return;
    }
    const auto& attempt = attemptOf(entry, completion.attempt);
    bool inTime = completion.code == ResultCode::Ok && queue_.now() <= request.deadline;
    measures_.completed(number, completion.code, inTime, sinceStart(attempt.startedAt) - sinceStart(request.arrivedAt));
}

void Simulation::endRequest(size_t number)
{
    if (!requests_[number].ended)
        --uses_[trace_.requests[number].kind].open;
    requests_[number].ended = true;
}

uint32_t Simulation::refusalsInSecond(const std::string& kind)
{
    auto& times = refusals_[kind];
    while (!times.empty() && queue_.now() - times.front() > std::chrono::seconds(1))
        times.pop_front();
    return static_cast<uint32_t>(times.size());
}

void Simulation::closeAttempt(Attempt& attempt)
{
    if (attempt.closed)
        return;
    attempt.closed = true;
    if (attempt.lost)
        --uses_[trace_.requests[attempt.request].kind].lost;
    --attempt.instance->outstanding;
}

void Simulation::answerAt(Instant at, uint32_t entry, uint64_t number, ResultCode code, bool bytesSent)
{
    auto& attempt = attemptOf(entry, number);
    attempt.code = code;
    attempt.bytesSent = bytesSent;
    queue_.schedule<&Simulation::answer>(at, this, entry, number);
}

void Simulation::reachInstance(uint64_t entry, uint64_t number)
{
    auto& attempt = attemptOf(entry, number);
    const auto& instance = *attempt.instance;
    auto entryNumber = static_cast<uint32_t>(entry);
    auto back = queue_.now() + delay(entries_[entry], instance);
    if (instance.dead)
        answerAt(std::min(queue_.now() + connectTimeout, attempt.deadline), entryNumber, number,
            ResultCode::TargetUnreachable, false);
    else if (instance.rebooting)
        answerAt(back, entryNumber, number, ResultCode::TargetUnreachable, false);
    else if (instance.running >= instance.slots)
        answerAt(back, entryNumber, number, ResultCode::TargetBusy, true);
    else
        startOnInstance(entryNumber, number, attempt);
}

void Simulation::startOnInstance(uint32_t entry, uint64_t number, Attempt& attempt)
{
    auto& instance = *attempt.instance;
    const auto& given = trace_.requests[attempt.request];
    auto& request = requests_[attempt.request];
    ++instance.running;
    ++uses_[given.kind].running;
    ++request.runs;
    if (request.runs > 1 && !trace_.configuration.kinds.at(given.kind).idempotent)
        ++measures_.report().doubleRuns;
    attempt.startedAt = queue_.now();
    attempt.life = instance.life;
    bool failing = instance.failing || given.cannotRun;
    Duration runtime = instance.failing ? failingRuntime : Duration(given.runtime);
    attempt.code = failing ? ResultCode::JobFailed : ResultCode::Ok;
    auto end = queue_.now() + runtime;
    if (end + delay(entries_[entry], instance) > attempt.deadline)
        answerAt(attempt.deadline, entry, number, ResultCode::AnswerTimeout, true);
    queue_.schedule<&Simulation::finishOnInstance>(end, this, entry, number);
}

void Simulation::finishOnInstance(uint64_t entry, uint64_t number)
{
    auto& attempt = attemptOf(entry, number);
    auto& instance = *attempt.instance;
    --uses_[trace_.requests[attempt.request].kind].running;
    bool lost = attempt.life != instance.life;
    if (!lost)
        --instance.running;
    if (attempt.code == ResultCode::AnswerTimeout)
        return; // its answer at the deadline is scheduled
    if (lost && !attempt.closed) {
        attempt.lost = true;
        ++uses_[trace_.requests[attempt.request].kind].lost;
    }
    if (lost)
        answerAt(attempt.deadline, static_cast<uint32_t>(entry), number, ResultCode::AnswerTimeout, true);
    else
        queue_.schedule<&Simulation::answer>(queue_.now() + delay(entries_[entry], instance), this, entry, number);
}

void Simulation::answer(uint64_t entry, uint64_t number)
{
    auto& attempt = attemptOf(entry, number);
    if (attempt.closed)
        return;
    closeAttempt(attempt);
    if (!entries_[entry].alive)
        return;
    SchedulerEffects effects;
    entries_[entry].scheduler->report(
        { number, attempt.code, attempt.bytesSent, queue_.now() - attempt.sentAt }, queue_.now(), effects);
    apply(static_cast<uint32_t>(entry), effects);
}

void Simulation::tick(uint64_t entry, uint64_t)
{
    queue_.schedule<&Simulation::tick>(queue_.now() + tickInterval, this, entry);
    if (!entries_[entry].alive)
        return;
    SchedulerEffects effects;
    entries_[entry].scheduler->tick(queue_.now(), effects);
    apply(static_cast<uint32_t>(entry), effects);
}

void Simulation::heartbeat(uint64_t number, uint64_t)
{
    queue_.schedule<&Simulation::heartbeat>(queue_.now() + heartbeatInterval, this, number);
    auto& entry = entries_[number];
    entry.demand.clear();
    if (!entry.alive)
        return;
    for (const auto& load : entry.scheduler->load(queue_.now()))
        entry.demand[load.pool] = load.demandSlots;
    std::map<std::string, double> peers;
    uint32_t live = 0;
    for (const auto& other : entries_) {
        live += other.alive ? 1 : 0;
        if (&other == &entry || !other.alive)
            continue;
        for (const auto& [pool, slots] : other.demand)
            peers[pool] += slots;
    }
    entry.scheduler->setPeerDemand(peers, live, queue_.now());
}

void Simulation::planLending(uint64_t, uint64_t)
{
    queue_.schedule<&Simulation::planLending>(queue_.now() + planInterval, this);
    PoolDemands demands;
    for (const auto& entry : entries_) {
        for (const auto& [pool, slots] : entry.demand)
            demands[pool] += slots;
    }
    fleet_.planLending(demands);
}

void Simulation::applyEvent(uint64_t number, uint64_t)
{
    const auto& event = trace_.events[number];
    fleet_.apply(event);
    if (event.selectsZone() && event.action == TraceEvent::Action::Lose)
        loseEntries(event.zone);
    else if (event.selectsZone() && event.action == TraceEvent::Action::Restore)
        restoreEntries(event.zone);
}

void Simulation::loseEntries(const std::string& zone)
{
    for (uint32_t i = 0; i < entries_.size(); ++i) {
        auto& entry = entries_[i];
        if (entry.zone != zone || !entry.alive)
            continue;
        entry.alive = false;
        for (auto& attempt : entry.attempts) {
            if (attempt.instance)
                closeAttempt(attempt);
        }
        for (size_t number = 0; number < requests_.size(); ++number) {
            auto& request = requests_[number];
            if (!request.arrived || request.ended || request.entry != i)
                continue;
            endRequest(number);
            measures_.completed(number, ResultCode::ConnectionLost, false, Microseconds { 0 });
        }
    }
}

void Simulation::restoreEntries(const std::string& zone)
{
    // New processes take the places of the lost ones, which keep their numbers for answers still on their way.
    uint32_t lost = 0;
    for (const auto& entry : entries_)
        lost += entry.zone == zone && !entry.alive ? 1 : 0;
    for (uint32_t i = 0; i < lost; ++i)
        addEntry(zone);
}

void Simulation::scheduleRefresh()
{
    for (uint32_t i = 0; i < entries_.size(); ++i) {
        if (entries_[i].refreshing)
            continue;
        entries_[i].refreshing = true;
        queue_.schedule<&Simulation::refreshView>(queue_.now() + trace_.environment.viewDelay, this, i);
    }
}

void Simulation::refreshView(uint64_t number, uint64_t)
{
    auto& entry = entries_[number];
    entry.refreshing = false;
    if (!entry.alive)
        return;
    std::vector<UsableInstance> usable;
    for (const auto& [id, instance] : fleet_.state().instances) {
        if (instance.available())
            usable.push_back({ id, instance.pool, instance.zone, instance.epoch, instance.shape.slots });
    }
    SchedulerEffects effects;
    entry.scheduler->setInstances(usable, queue_.now(), effects);
    apply(static_cast<uint32_t>(number), effects);
}

void Simulation::sample(uint64_t, uint64_t)
{
    queue_.schedule<&Simulation::sample>(queue_.now() + sampleInterval, this);
    if (queue_.now() > Instant {} + trace_.duration)
        return;
    struct Pool {
        uint32_t instances = 0;
        uint32_t slots = 0;
        uint32_t running = 0;
    };
    std::map<std::string, Pool> pools;
    for (const auto& [id, instance] : fleet_.state().instances) {
        if (!instance.available())
            continue;
        auto& pool = pools[instance.pool];
        ++pool.instances;
        pool.slots += instance.shape.slots;
        pool.running += instances_.at(id).running;
    }
    for (const auto& [name, kind] : trace_.configuration.kinds) {
        auto& use = uses_[name];
        use.refusedInSecond = refusalsInSecond(name);
        measures_.sampleUse(name, pools[kind.pool].slots, use, sinceStart(queue_.now()),
            std::chrono::duration_cast<Microseconds>(sampleInterval));
    }
    double seconds = std::chrono::duration<double>(sampleInterval).count();
    double utilization = trace_.configuration.lending.targetUtilization;
    for (const auto& [name, pool] : pools) {
        if (!pool.instances)
            continue;
        double slotsEach = static_cast<double>(pool.slots) / pool.instances;
        double needed = std::min<double>(pool.instances, pool.running / slotsEach / utilization);
        measures_.report().neededInstanceSeconds += needed * seconds;
        measures_.report().bufferInstanceSeconds += (pool.instances - needed) * seconds;
    }
}

} // namespace shallotdrift::internal

namespace shallotdrift {

const std::vector<ReplayPolicy>& replayPolicies()
{
    static const std::vector<ReplayPolicy> policies {
        { "ours", true, AdmissionRule::SharesAndUrgency, PlacementRule::ExpectedWait },
        { "static", false, AdmissionRule::SharesAndUrgency, PlacementRule::ExpectedWait },
        { "fifo", true, AdmissionRule::FirstInFirstOut, PlacementRule::ExpectedWait },
        { "least-outstanding", true, AdmissionRule::SharesAndUrgency, PlacementRule::LeastOutstanding },
    };
    return policies;
}

const ReplayPolicy* findReplayPolicy(const std::string& name)
{
    for (const auto& policy : replayPolicies()) {
        if (policy.name == name)
            return &policy;
    }
    return nullptr;
}

ReplayReport replayTrace(const Trace& trace, const ReplayPolicy& policy)
{
    return internal::Simulation(trace, policy).run();
}

} // namespace shallotdrift
