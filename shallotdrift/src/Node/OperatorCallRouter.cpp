#include "OperatorCallRouter.h"

#include "../Jobs/JobDescription.h"
#include "FleetManager.h"

#include <asio/post.hpp>
#include <fmt/format.h>
#include <future>
#include <operator.pb.h>

namespace shallotdrift::internal {

static constexpr std::string_view peerPathPrefix = "/operators/";
static constexpr std::string_view jobSubjectPrefix = "job ";
static constexpr Milliseconds attemptTimeout { 1500 };
static constexpr Milliseconds retryDelay { 200 };

OperatorCallRouter::OperatorCallRouter(NodeContext& context, Membership& membership, FindLocalManager findLocalManager)
    : context_(context)
    , membership_(membership)
    , findLocalManager_(std::move(findLocalManager))
{
}

std::optional<std::string> OperatorCallRouter::call(const char* name, std::string request, Milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<std::optional<std::string>>>();
    auto future = promise->get_future();
    auto deadline = BootClock::now() + timeout;
    asio::post(
        context_.io, [this, name = std::string(name), request = std::move(request), deadline, promise]() mutable {
            auto call = std::make_shared<Call>(context_.io);
            call->name = std::move(name);
            call->request = std::move(request);
            call->deadline = deadline;
            call->reply = [promise](std::optional<std::string> reply) { promise->set_value(std::move(reply)); };
            if (!tryExplainJob(call))
                attempt(call);
        });
    // The process may stop before the posted function runs.
    if (future.wait_for(timeout + retryDelay) != std::future_status::ready)
        return std::nullopt;
    return future.get();
}

void OperatorCallRouter::attempt(const CallPointer& call)
{
    auto now = BootClock::now();
    if (now >= call->deadline) {
        call->reply(std::nullopt);
        return;
    }
    if (auto manager = findLocalManager_()) {
        manager->handleOperatorCall(call->name, call->request,
            [this, call](std::optional<std::string> reply) { onReply(call, std::move(reply)); });
        return;
    }
    auto address = membership_.ownerAddress(FleetManager::partition);
    if (address.empty() || membership_.isOwnAddress(address)) {
        membership_.refreshOwners();
        onReply(call, std::nullopt);
        return;
    }
    auto time = std::min(attemptTimeout, std::chrono::duration_cast<Milliseconds>(call->deadline - now));
    context_.peerClient.send(address,
        { "POST", std::string(peerPathPrefix) + call->name, {}, call->request, "application/x-protobuf" }, time,
        [this, call](HttpOutcome&& outcome) {
            bool answered = outcome.hasResponse && outcome.response.status == 200;
            if (!answered)
                membership_.refreshOwners();
            onReply(call, answered ? std::optional(std::move(outcome.response.body)) : std::nullopt);
        });
}

// A call without a reply may be retried: queries have no effect, and changes are idempotent by their ids.
void OperatorCallRouter::onReply(const CallPointer& call, std::optional<std::string> reply)
{
    if (reply) {
        call->reply(std::move(reply));
        return;
    }
    call->timer.expires_after(retryDelay);
    call->timer.async_wait([this, call](std::error_code error) {
        if (!error)
            attempt(call);
    });
}

bool OperatorCallRouter::isPeerCall(std::string_view target)
{
    return target.compare(0, peerPathPrefix.size(), peerPathPrefix) == 0;
}

void OperatorCallRouter::handlePeer(HttpMessage&& message, HttpServer::ResponseCallback respond)
{
    auto manager = findLocalManager_();
    if (!manager) {
        respond({ 503 });
        return;
    }
    manager->handleOperatorCall(message.target.substr(peerPathPrefix.size()), message.body,
        [respond = std::move(respond)](std::optional<std::string> reply) {
            if (reply)
                respond({ 200, std::move(*reply) });
            else
                respond({ 503 });
        });
}

static std::string failedExplanation(ResultCode code, std::string text)
{
    proto::ExplainReply reply;
    reply.set_result_code(static_cast<uint32_t>(code));
    reply.set_message(std::move(text));
    return reply.SerializeAsString();
}

// If the call explains "job QUEUE/ID", replies from the store, which works without a fleet manager. Returns false for
// any other call.
bool OperatorCallRouter::tryExplainJob(const CallPointer& call)
{
    proto::ExplainRequest request;
    if (call->name != "Explain" || !request.ParseFromString(call->request)
        || request.subject().compare(0, jobSubjectPrefix.size(), jobSubjectPrefix) != 0)
        return false;
    auto name = request.subject().substr(jobSubjectPrefix.size());
    auto slash = name.rfind('/');
    auto job = slash == std::string::npos ? std::string() : name.substr(slash + 1);
    if (platform::isValidJobId(job) && context_.configuration
        && context_.configuration->queues.count(name.substr(0, slash)) != 0)
        explainJob(call, name.substr(0, slash), job);
    else
        call->reply(failedExplanation(
            ResultCode::NotFound, "expected job QUEUE/ID, where QUEUE is configured and ID has 16 hexadecimal digits"));
    return true;
}

// A job's specification is removed when it has ended, whereas its state is retained for some time.
static std::vector<std::string> factsOfRecords(const std::string& id, const std::vector<platform::KeyedRecord>& records)
{
    std::optional<Job> job;
    std::vector<std::string> facts;
    Job::StateParts state;
    for (const auto& record : records) {
        auto key = parseJobKey(record.key);
        if (record.value.empty())
            continue;
        if (key.statePart)
            state[*key.statePart] = record.value;
        else
            job = Job::decodeSpec(id, record.value);
    }
    if (!state.empty()) {
        if (!job)
            job.emplace(id, std::string(), std::string(), JobSpec {}, WallTime {}, 0);
        if (!job->decodeState(state))
            facts.emplace_back("the record of the job's state is unreadable");
    }
    if (job)
        for (auto& fact : describeJob(*job))
            facts.push_back(std::move(fact));
    return facts;
}

void OperatorCallRouter::explainJob(const CallPointer& call, const std::string& queue, const std::string& job)
{
    const auto& service = context_.configuration->queues.at(queue).service;
    auto partition = partitionOf(service, context_.settings.storePartitions);
    // The store lists the keys in order, starting after the given key, which therefore has to precede the job's keys.
    auto before = job;
    --before.back();
    readJobRecords(call, service, partition, job, before, {});
}

// Reads page by page, since the parts of a large job's state may exceed a page.
void OperatorCallRouter::readJobRecords(const CallPointer& call, const std::string& service, uint32_t partition,
    const std::string& job, const std::string& after, std::vector<platform::KeyedRecord> records)
{
    context_.store.send(platform::latestRecordsRequest({ Membership::stateTopic(), partition }, after), attemptTimeout,
        [this, call, service, partition, job, after, records = std::move(records)](
            std::optional<HttpMessage> message) mutable {
            auto response
                = message ? platform::parseLatestRecordsResponse(*message) : platform::LatestRecordsResponse {};
            if (response.status != platform::StoreStatus::Ok) {
                call->reply(failedExplanation(ResultCode::PlatformUnavailable, "the store did not respond"));
                return;
            }
            for (auto& record : response.records)
                if (parseJobKey(record.key).job == job)
                    records.push_back(std::move(record));
            if (response.hasMore && response.lastKey > after && response.lastKey.compare(0, job.size(), job) <= 0) {
                readJobRecords(call, service, partition, job, response.lastKey, std::move(records));
                return;
            }
            proto::ExplainReply reply;
            reply.add_facts(fmt::format(
                "service {}, partition {}, owner {}", service, partition, membership_.ownerAddress(partition)));
            for (auto& fact : factsOfRecords(job, records))
                reply.add_facts(std::move(fact));
            if (reply.facts_size() == 1) {
                reply.set_result_code(static_cast<uint32_t>(ResultCode::NotFound));
                reply.set_message(
                    "the store has no record of the job: the job was never accepted, or its record has expired");
            }
            call->reply(reply.SerializeAsString());
        });
}

} // namespace shallotdrift::internal
