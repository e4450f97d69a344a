#include "OwnedPartition.h"

#include "../Base/Hash.h"
#include "../Base/Logging.h"
#include "ErrorResponses.h"
#include "Membership.h"

#include <asio/post.hpp>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace shallotdrift::internal {

static constexpr Milliseconds shortageLogInterval { 500 };
// Time for an order to reach a worker and for the worker's report to return.
static constexpr Milliseconds orderRoundTrip { 300 };
static constexpr Milliseconds tickInterval { 100 };
// An append usually takes 5 ms. While an append takes longer than this, new jobs are refused at once and do not wait.
static constexpr Milliseconds appendStallLimit { 500 };
// A join is sent every 250 ms and usually takes 5 ms. The router asks again after a response that denies the ownership.
static constexpr Milliseconds ownershipCheckTimeout { 600 };
// No lease is extended when the ownership has not been confirmed for this time. The next owner, which may take over
// right after the confirmation, allows for it.
static constexpr Milliseconds maximumUnconfirmedTime = LeaseOptions {}.previousOwnerGrace;

OwnedPartition::Service::Service(NodeContext& context, const std::string& name, const ServiceSchedulerOptions& options,
    uint64_t fencingToken, WorkerSessions::Callbacks callbacks)
    : scheduler(name, options, BootClock::now())
    , sessions(context, scheduler, fencingToken, std::move(callbacks))
{
}

OwnedPartition::OwnedPartition(
    NodeContext& context, uint32_t number, uint64_t fencingToken, std::function<void()> onFenced)
    : context_(context)
    , number_(number)
    , fencingToken_(fencingToken)
    , onFenced_(std::move(onFenced))
    , writer_(context, { Membership::stateTopic(), number }, fencingToken, [this] { reportFenced("store"); })
    , reader_(
          context, { Membership::stateTopic(), number },
          [this](platform::KeyedRecord&& record) { addLoadedRecord(std::move(record)); },
          [this](uint64_t) { finishLoad(); })
    , timer_(context.io)
{
}

OwnedPartition::~OwnedPartition() { stop(); }

void OwnedPartition::start()
{
    logger("owner")->info("partition={} event=taking_over token={}", number_, fencingToken_);
    ++context_.counters.partitionsTaken;
    writer_.fence([this] { reader_.start(); });
}

void OwnedPartition::stop()
{
    if (!*alive_)
        return;
    *alive_ = false;
    active_ = false;
    writer_.stop();
    reader_.stop();
    timer_.cancel();
    for (auto& [name, service] : services_)
        service->sessions.stop();
    refuseSubmissions();
    for (auto& request : unknownJobRequests_)
        request.respond({ notOwnerStatus });
    unknownJobRequests_.clear();
    logger("owner")->info("partition={} event=released token={}", number_, fencingToken_);
}

void OwnedPartition::reportFenced(const char* by)
{
    logger("owner")->warn("partition={} event=fenced token={} by={}", number_, fencingToken_, by);
    ++context_.counters.partitionsLost;
    // The callback destroys this object, which must not happen while its member functions are on the call stack.
    asio::post(context_.io, [alive = alive_, callback = onFenced_] {
        if (*alive)
            callback();
    });
}

void OwnedPartition::addLoadedRecord(platform::KeyedRecord&& record)
{
    auto key = parseJobKey(record.key);
    auto& entry = loadedRecords_[key.job];
    (key.statePart ? entry.second[*key.statePart] : entry.first) = std::move(record.value);
}

void OwnedPartition::finishLoad()
{
    configureServices();
    size_t activeJobs = 0;
    for (auto& [id, records] : loadedRecords_) {
        if (id.find('/') != std::string::npos)
            continue; // not a job's key
        auto job = Job::decodeSpec(id, records.first);
        if (!job) {
            Job ended(id, {}, {}, {}, wallNow(), 1);
            if (ended.decodeState(records.second) && !services_.empty())
                services_.begin()->second->scheduler.restoreEnded(ended);
            else
                logger("owner")->error("request={} event=unreadable_record partition={}", id, number_);
            continue;
        }
        if (!records.second.empty() && !job->decodeState(records.second))
            logger("owner")->error("request={} event=unreadable_state partition={}", id, number_);
        ++activeJobs;
        auto& scheduler = service(job->service()).scheduler;
        scheduler.restore(std::move(*job));
    }
    auto recordOf = [this](const std::string& key) {
        auto found = loadedRecords_.find(key);
        return found == loadedRecords_.end() ? std::string() : found->second.first;
    };
    for (auto& [name, entry] : services_) {
        auto& ledger = entry->scheduler.ledger();
        ledger.restore(recordOf(ledger.key()), recordOf(ledger.formerKey()), BootClock::now());
        // The former owner may report an instance as empty until its membership expires.
        auto& cordons = entry->scheduler.cordons();
        cordons.restore(
            recordOf(cordons.key()), BootClock::now() + context_.settings.membershipTimeout + Cordons::lifetime);
        entry->scheduler.finishRestore(currentTime());
    }
    active_ = true;
    logger("owner")->info("partition={} event=active token={} jobs={} ended={} took_ms={}", number_, fencingToken_,
        activeJobs, loadedRecords_.size() - activeJobs,
        std::chrono::duration_cast<Milliseconds>(BootClock::now() - startedAt_).count());
    loadedRecords_.clear();
    onRegistry();
    tick();
}

OwnedPartition::Service& OwnedPartition::service(const std::string& name)
{
    auto& entry = services_[name];
    if (!entry) {
        ServiceSchedulerOptions options;
        options.lease.maximumDuration = context_.settings.maximumLease;
        options.statusRetention = context_.settings.statusRetention();
        options.drainTime = context_.settings.drainTime;
        options.takeoverSettleTime = context_.settings.maximumStopTime + orderRoundTrip;
        options.overdueCompletionTime = context_.settings.overdueCompletionTime;
        options.maximumReservations = context_.settings.reservedWorkers;
        options.maximumRecordBytes = context_.settings.recordBytes;
        options.lease.duration = std::min(options.lease.duration, options.lease.maximumDuration * 2 / 3);
        entry = std::make_unique<Service>(context_, name, options, fencingToken_,
            WorkerSessions::Callbacks { [this] { runSchedulingCycle(); }, [this] { reportFenced("worker"); },
                [this] { return mayExtendLeases(); } });
    }
    return *entry;
}

void OwnedPartition::onConfiguration()
{
    if (!active_)
        return;
    configureServices();
    onRegistry();
}

void OwnedPartition::configureServices()
{
    if (!context_.configuration)
        return;
    std::map<std::string, std::map<std::string, QueueConfiguration>> byService;
    for (const auto& [name, serviceConfiguration] : context_.configuration->services)
        if (!serviceConfiguration.standby && partitionOf(name, context_.settings.storePartitions) == number_)
            byService[name];
    for (const auto& [name, queue] : context_.configuration->queues)
        if (byService.count(queue.service) != 0)
            byService[queue.service].emplace(name, queue);
    for (auto& [name, queues] : byService)
        service(name).scheduler.setQueues(std::move(queues));
    for (const auto& [name, entry] : services_)
        entry->scheduler.setAccounts(context_.configuration->accounts);
}

void OwnedPartition::onRegistry()
{
    if (!active_ || !context_.configuration)
        return;
    auto now = BootClock::now();
    LatestIncarnations latest(context_.workerRegistry, context_.configuration->services);
    for (auto& [name, entry] : services_) {
        std::vector<std::string> unregistered;
        for (const auto& [id, worker] : entry->scheduler.workers()) {
            auto found = context_.workerRegistry.find(id);
            if (worker.registered && (found == context_.workerRegistry.end() || found->second.service != name))
                unregistered.push_back(id);
        }
        for (const auto& id : unregistered)
            entry->scheduler.unregisterWorker(id);
        entry->sessions.dropReplacedWorkers(latest);
        for (const auto& [id, info] : context_.workerRegistry)
            if (info.service == name && !latest.isReplaced(info))
                entry->scheduler.updateWorker(info, now);
        entry->sessions.sync();
    }
    runSchedulingCycle();
}

// A confirmed join excludes other owners until the membership expires. A stored append only shows that no other owner
// had fenced this one when it was sent, so it counts as a join that was confirmed one membership time earlier.
bool OwnedPartition::mayExtendLeases() const
{
    auto confirmed
        = std::max(context_.membershipLease.confirmedAt, writer_.confirmedAt() - context_.settings.membershipTimeout);
    return BootClock::now() - confirmed < maximumUnconfirmedTime;
}

bool OwnedPartition::storeStalled(Instant now) const { return writer_.appendAge(now) > appendStallLimit; }

bool OwnedPartition::hasJob(const std::string& job) const
{
    for (const auto& [name, entry] : services_)
        if (entry->scheduler.statusOf(job))
            return true;
    return false;
}

std::optional<ServiceScheduler::JobOrigin> OwnedPartition::originOf(const std::string& job) const
{
    for (const auto& [name, entry] : services_)
        if (auto origin = entry->scheduler.originOf(job))
            return origin;
    for (const auto& submission : submissions_)
        if (submission.job == job)
            return ServiceScheduler::JobOrigin { submission.account, submission.queue };
    return std::nullopt;
}

// A job belongs to the account that submitted it. One without an account was submitted while its queue was open to
// everyone. A caller without an account reaches an account's job only through its own queue, if that has become public.
static bool mayAccess(const OwnerRequest& request, const std::optional<ServiceScheduler::JobOrigin>& origin)
{
    if (!origin || origin->account.empty())
        return true;
    return request.account ? *request.account == origin->account : request.queue == origin->queue;
}

void OwnedPartition::handle(OwnerRequest&& request, ResponseCallback respond)
{
    if (!active_) {
        respond({ notOwnerStatus });
        return;
    }
    if (request.type != OwnerRequest::Type::Count && !mayAccess(request, originOf(request.job))) {
        logger("owner")->info("request={} event=refused queue={} reason=other_account", request.job, request.queue);
        if (request.type == OwnerRequest::Type::Submit)
            respond(errorResponse(409, "the id cannot be used"));
        else
            respondUnknownJob(std::move(respond)); // as for a job that does not exist
        return;
    }
    switch (request.type) {
    case OwnerRequest::Type::Submit:
        submit(std::move(request), std::move(respond));
        return;
    case OwnerRequest::Type::Query:
        query(request, std::move(respond));
        return;
    case OwnerRequest::Type::Cancel:
        cancel(request, std::move(respond));
        return;
    case OwnerRequest::Type::Count: {
        size_t count = 0;
        for (const auto& [name, entry] : services_)
            count += entry->scheduler.pendingJobCount(request.queue);
        respond({ 200, platform::formatPendingCount(count) });
        return;
    }
    }
}

void OwnedPartition::submit(OwnerRequest&& request, ResponseCallback respond)
{
    if (hasJob(request.job)) { // a repeated request; the job's record may not be stored yet
        callWhenStored([respond = std::move(respond)] { respond({ 200 }); });
        return;
    }
    auto spec = handleError(
        [&]() -> Result<std::optional<JobSpec>> {
            BOOST_LEAF_AUTO(parsed, platform::parseJobSpec(request.body));
            return std::optional(std::move(parsed));
        },
        [&](const Error& error) {
            logger("owner")->info(
                "request={} event=malformed queue={} reason=\"{}\"", request.job, request.queue, error.message);
            respond(errorResponse(400, error.message));
            return std::optional<JobSpec>();
        });
    if (!spec)
        return;
    if (storeStalled(BootClock::now())) {
        ++context_.counters.jobsRefused;
        logger("owner")->info("request={} event=refused queue={} reason=store_stalled stalled_ms={}", request.job,
            request.queue, std::chrono::duration_cast<Milliseconds>(writer_.appendAge(BootClock::now())).count());
        respond(notRunResponse("not run: the store does not answer"));
        return;
    }
    if (auto refusal = refuseQueue(request.job, request.queue, request.configurationVersion)) {
        respond(std::move(*refusal));
        return;
    }
    auto account = request.account.value_or(std::string());
    const auto& queue = context_.configuration->queues.at(request.queue);
    bool beyondShare = !service(queue.service).scheduler.shares().take(account, BootClock::now());
    if (refuseBeyondShare(request, beyondShare, respond))
        return;
    submissions_.push_back({ std::move(request.queue), std::move(request.job), std::move(account), beyondShare,
        std::move(*spec), request.configurationVersion, std::move(respond) });
    runSchedulingCycle();
}

// The router found the queue in a configuration of its own. If that is newer, or the queue's service has another owner
// here, the router asks again until both have the same one, or refuses the request as not run.
std::optional<HttpResponse> OwnedPartition::refuseQueue(
    const std::string& job, const std::string& name, uint64_t routerVersion) const
{
    const auto& configuration = *context_.configuration;
    auto queue = configuration.queues.find(name);
    bool known = queue != configuration.queues.end();
    if (known && partitionOf(queue->second.service, context_.settings.storePartitions) == number_)
        return std::nullopt;
    auto refusal = known || routerVersion > configuration.version ? HttpResponse { notOwnerStatus }
                                                                  : errorResponse(404, "no such queue");
    logger("owner")->info("request={} event=refused queue={} reason=no_queue status={} version={} router_version={}",
        job, name, refusal.status, configuration.version, routerVersion);
    return refusal;
}

// A job beyond the share of its account starts only in room that the others leave. If the accepted work keeps the
// workers busy beyond the time in which the job should start, it is refused at once, and the callers' returns are
// spread over the time that the work takes.
bool OwnedPartition::refuseBeyondShare(const OwnerRequest& request, bool beyondShare, const ResponseCallback& respond)
{
    static constexpr Milliseconds maximumRetryAfter { 30000 };
    if (!beyondShare)
        return false;
    const auto& queue = context_.configuration->queues.at(request.queue);
    auto backlog = service(queue.service).scheduler.backlog(BootClock::now());
    if (backlog <= queue.latencyTarget)
        return false;
    auto spread = Milliseconds { static_cast<int64_t>(hash64(request.job) % static_cast<uint64_t>(backlog.count())) };
    auto retryAfter = std::chrono::ceil<std::chrono::seconds>(std::min(backlog + spread, maximumRetryAfter));
    ++context_.counters.jobsBeyondShare;
    ++context_.counters.jobsRefused;
    logger("owner")->info(
        "request={} event=refused queue={} account={} reason=beyond_share backlog_ms={} retry_after_s={}", request.job,
        request.queue, *request.account, backlog.count(), retryAfter.count());
    respond(refusedResponse(429, "not run: beyond the account's share while there is too little room", retryAfter));
    return true;
}

void OwnedPartition::refuseSubmissions()
{
    auto submissions = std::move(submissions_);
    submissions_.clear();
    for (auto& submission : submissions) {
        ++context_.counters.jobsRefused;
        logger("owner")->info("request={} event=refused queue={} reason=not_stored", submission.job, submission.queue);
        submission.respond(notRunResponse("not run: the store does not answer"));
    }
}

void OwnedPartition::admitSubmissions()
{
    auto submissions = std::move(submissions_);
    submissions_.clear();
    for (auto& submission : submissions) {
        if (!hasJob(submission.job)) {
            if (auto refusal = refuseQueue(submission.job, submission.queue, submission.configurationVersion)) {
                submission.respond(std::move(*refusal));
                continue;
            }
            const auto& queue = context_.configuration->queues.at(submission.queue);
            Job job(submission.job, submission.queue, queue.service, std::move(submission.spec), wallNow(),
                queue.maximumAttempts);
            job.setAccount(std::move(submission.account));
            job.setBeyondShare(submission.beyondShare);
            if (!specFitsRecord(job, context_.settings.recordBytes)) {
                logger("owner")->info(
                    "request={} event=malformed queue={} reason=specification_too_large", job.id(), job.queue());
                submission.respond(errorResponse(400, "the specification does not fit a record of the store"));
                continue;
            }
            logger("owner")->info("request={} event=accepted queue={} account={} beyond_share={} steps={} "
                                  "critical_path_ms={} work_core_ms={:.0f}",
                job.id(), job.queue(), job.account(), job.beyondShare(), job.spec().steps.size(),
                job.criticalPath().count(), job.remainingWork());
            ++context_.counters.jobsAccepted;
            service(job.service()).scheduler.add(std::move(job));
        }
        callbacksWhenStored_.push_back([respond = std::move(submission.respond)] { respond({ 200 }); });
    }
}

// Another owner may have accepted the job: the store can reassign partitions at any time, and this owner hears of it
// with its next join only.
void OwnedPartition::respondUnknownJob(ResponseCallback respond)
{
    unknownJobRequests_.push_back({ BootClock::now(), std::move(respond) });
}

void OwnedPartition::confirmUnknownJobs()
{
    auto now = BootClock::now();
    std::vector<UnknownJobRequest> waiting;
    for (auto& request : std::exchange(unknownJobRequests_, {})) {
        if (context_.membershipLease.confirmedAt >= request.receivedAt)
            request.respond({ 410 });
        else if (now - request.receivedAt >= ownershipCheckTimeout)
            request.respond({ notOwnerStatus });
        else
            waiting.push_back(std::move(request));
    }
    unknownJobRequests_.insert(
        unknownJobRequests_.end(), std::make_move_iterator(waiting.begin()), std::make_move_iterator(waiting.end()));
}

void OwnedPartition::query(const OwnerRequest& request, ResponseCallback respond)
{
    for (const auto& [name, entry] : services_) {
        bool started = false;
        auto status = entry->scheduler.statusOf(request.job, &started);
        if (!status)
            continue;
        if (*status == JobStatus::Active)
            respond({ 200, platform::formatJobState(*status, started) });
        else // a final status is reported only once it is stored
            callWhenStored([respond = std::move(respond), status = *status, started] {
                respond({ 200, platform::formatJobState(status, started) });
            });
        return;
    }
    for (const auto& submission : submissions_)
        if (submission.job == request.job) {
            respond({ 200, platform::formatJobState(JobStatus::Active, false) });
            return;
        }
    respondUnknownJob(std::move(respond));
}

void OwnedPartition::cancel(const OwnerRequest& request, ResponseCallback respond)
{
    admitSubmissions(); // the job may be among the submissions
    for (auto& [name, entry] : services_)
        if (entry->scheduler.cancel(request.job, currentTime())) {
            logger("owner")->info("request={} event=cancelled queue={}", request.job, request.queue);
            callWhenStored([respond = std::move(respond)] { respond({ 200 }); });
            runSchedulingCycle();
            return;
        }
    respondUnknownJob(std::move(respond));
}

// Calls the function once all changes made so far are stored.
void OwnedPartition::callWhenStored(std::function<void()> function)
{
    callbacksWhenStored_.push_back(std::move(function));
    runSchedulingCycle();
}

void OwnedPartition::runSchedulingCycle()
{
    if (!active_ || inCycle_)
        return;
    if (writer_.busy()) {
        cycleRequested_ = true;
        return;
    }
    inCycle_ = true;
    cycleRequested_ = false;
    admitSubmissions();
    auto now = currentTime();
    std::vector<std::pair<Service*, std::vector<StartOrder>>> starts;
    std::vector<std::pair<Service*, std::map<std::string, WorkerSessions::AppliedEnd>>> appliedEnds;
    std::vector<StateRecord> records;
    for (auto& [name, entry] : services_) {
        auto orders = entry->scheduler.plan(now);
        auto changed = entry->scheduler.takeChangedRecords(now);
        std::move(changed.begin(), changed.end(), std::back_inserter(records));
        starts.emplace_back(entry.get(), std::move(orders));
        appliedEnds.emplace_back(entry.get(), entry->sessions.appliedEnds());
    }
    auto stored = [this, starts = std::move(starts), appliedEnds = std::move(appliedEnds),
                      callbacks = std::move(callbacksWhenStored_)](const PartitionWriter::RefusedKeys& refused) {
        for (const auto& key : refused)
            failUnstorable(parseJobKey(key).job);
        for (const auto& [entry, orders] : starts) {
            if (refused.empty())
                entry->scheduler.onRecordsStored();
            for (const auto& order : orders)
                entry->sessions.send(order);
        }
        if (!refused.empty()) {
            // A next owner reads an earlier state of the refused jobs. What waits for the records is put off until the
            // state is stored without them.
            callbacksWhenStored_.insert(callbacksWhenStored_.begin(), callbacks.begin(), callbacks.end());
            return;
        }
        for (const auto& [entry, numbers] : appliedEnds)
            entry->sessions.acknowledgeStoredEnds(numbers);
        for (const auto& callback : callbacks)
            callback();
        if (cycleRequested_)
            runSchedulingCycle();
    };
    callbacksWhenStored_.clear();
    for (auto& [name, entry] : services_)
        for (const auto& order : entry->scheduler.stopsDue(now))
            entry->sessions.send(order);
    if (records.empty())
        stored({});
    else
        writer_.append(records, std::move(stored));
    inCycle_ = false;
}

// The store will never take a record of the job. The job fails: its runs are stopped, which leaves a small state, and
// its starts are not sent. The other jobs go on.
void OwnedPartition::failUnstorable(const std::string& job)
{
    if (hasJob(job))
        logger("owner")->error("request={} event=failed reason=record_refused", job);
    for (auto& [name, entry] : services_)
        entry->scheduler.failUnstorable(job, currentTime());
}

// While tasks wait, logs which cores are not available to them and why.
void OwnedPartition::logShortage(const Now& now)
{
    if (now.steady - shortageLoggedAt_ < shortageLogInterval)
        return;
    shortageLoggedAt_ = now.steady;
    for (const auto& [name, entry] : services_) {
        auto waiting = entry->scheduler.demand(now).waitingCores;
        if (waiting <= 0)
            continue;
        auto capacity = entry->scheduler.capacity(now.steady);
        logger("owner")->info(
            "service={} event=short waiting={:.0f} schedulable={:.0f} allocated={:.0f} cordoned={:.0f} "
            "unresponsive={:.0f} quarantined={:.0f}",
            name, waiting, capacity.schedulableCores, capacity.allocatedCores, capacity.cordonedCores,
            capacity.unresponsiveCores, capacity.quarantinedCores);
    }
}

void OwnedPartition::tick()
{
    auto now = currentTime();
    for (auto& [name, entry] : services_) {
        for (const auto& run : entry->scheduler.expireLeases(now))
            logger("owner")->warn(
                "request={} event=run_expired occurrence={} step={} index={} run={} worker={} doubtful={} "
                "silent_ms={}",
                run.task.job, run.task.occurrence, run.task.step, run.task.index, run.runNumber, run.worker,
                run.doubtful, run.silence.count());
        for (const auto& order : entry->scheduler.stopsDue(now))
            entry->sessions.send(order);
        for (const auto& order : entry->scheduler.throttleBestEffort(now))
            entry->sessions.send(order);
        entry->sessions.sync();
    }
    if (storeStalled(now.steady))
        refuseSubmissions();
    confirmUnknownJobs();
    runSchedulingCycle();
    logShortage(now);
    timer_.expires_after(tickInterval);
    timer_.async_wait([this, alive = alive_](std::error_code error) {
        if (*alive && !error)
            tick();
    });
}

} // namespace shallotdrift::internal
