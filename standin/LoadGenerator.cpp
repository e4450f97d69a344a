#include "LoadGenerator.h"

#include "WorkText.h"

#include <algorithm>
#include <fmt/format.h>
#include <sstream>

namespace shallotdrift::standin {

// Time during which an entry that is not ready or cannot be connected to is passed over, as the platform's balancer
// would do.
static constexpr Milliseconds avoidTime { 500 };
static constexpr Milliseconds retryPause { 50 };
static constexpr size_t noEntry = SIZE_MAX;

struct LoadGenerator::Request {
    const LoadKind& kind;
    std::string name; // the same for all tries
    std::string key;
    std::string body;
    Milliseconds runTime { 0 };
    Instant begin {};
    int tries = 0;
    size_t connectFailures = 0;

    // Each try has an id of its own, so that an answer "not run" can be compared with the targets' journals.
    std::string requestId() const { return fmt::format("{}.{}", name, tries); }
};

LoadGenerator::LoadGenerator(asio::io_context& io, std::vector<LoadKind> kinds, LoadOptions options, Journal& journal)
    : io_(io)
    , deadlines_(io)
    , kinds_(std::move(kinds))
    , options_(std::move(options))
    , journal_(journal)
    , random_(options_.seed)
    , runName_(fmt::format("{:x}-{:x}", unixMilliseconds(wallNow()), options_.seed))
{
    for (const auto& endpoint : options_.entries) {
        std::ostringstream name;
        name << endpoint;
        entries_.push_back({ endpoint, name.str(), {}, {} });
    }
}

void LoadGenerator::start()
{
    started_ = BootClock::now();
    for (size_t kind = 0; kind < kinds_.size(); ++kind) {
        timers_.push_back(std::make_unique<asio::steady_timer>(io_));
        report_.of(kinds_[kind].name);
        scheduleNext(kind, Duration::zero());
    }
}

// Arrival times are drawn from the last arrival, not from the present, so that a slow moment does not lower the rate.
void LoadGenerator::scheduleNext(size_t kind, Duration from)
{
    const auto& plan = kinds_[kind];
    Duration at = from;
    for (;;) {
        if (stopped_ || at >= options_.length)
            return;
        double rate = plan.rateAt(at);
        Duration phaseEnd = plan.nextPhaseAfter(at);
        Duration next = Duration::max();
        if (rate > 0) {
            std::chrono::duration<double> gap(std::exponential_distribution<double>(rate)(random_));
            next = at + std::chrono::duration_cast<Duration>(gap);
        }
        if (next < phaseEnd) {
            at = next;
            break;
        }
        if (phaseEnd == Duration::max())
            return;
        at = phaseEnd; // the process has no memory, so it starts anew with the next phase's rate
    }
    if (at >= options_.length)
        return;
    auto& timer = *timers_[kind];
    timer.expires_after(std::max(started_ + at - BootClock::now(), Duration::zero()));
    timer.async_wait([this, kind, at](std::error_code error) {
        if (error)
            return;
        begin(kinds_[kind]);
        scheduleNext(kind, at);
    });
}

void LoadGenerator::begin(const LoadKind& kind)
{
    auto request = std::make_shared<Request>(Request { kind, {}, {}, {} });
    request->begin = BootClock::now();
    request->name = fmt::format("{}-{}", runName_, ++lastNumber_);
    request->runTime = kind.drawRunTime(random_);
    bool fails = std::bernoulli_distribution(kind.failShare)(random_);
    if (!kind.idempotent)
        request->key = fmt::format("{}-{:x}", unixMilliseconds(wallNow()), random_());
    request->body = fmt::format("run_ms={}&fail={}&answer_bytes={}&id={}", request->runTime.count(), fails ? 1 : 0,
        kind.answerBytes, request->name);
    if (!request->key.empty())
        request->body += "&key=" + request->key;
    if (kind.bodyBytes > request->body.size() + 5)
        request->body += "&pad=" + std::string(kind.bodyBytes - request->body.size() - 5, 'x');
    ++open_;
    ++report_.of(kind.name).sent;
    send(request, noEntry);
}

size_t LoadGenerator::chooseEntry(size_t excluded)
{
    std::vector<size_t> candidates;
    auto now = BootClock::now();
    for (size_t i = 0; i < entries_.size(); ++i) {
        if (i != excluded && entries_[i].avoidUntil <= now)
            candidates.push_back(i);
    }
    if (candidates.empty())
        return std::uniform_int_distribution<size_t>(0, entries_.size() - 1)(random_);
    return candidates[std::uniform_int_distribution<size_t>(0, candidates.size() - 1)(random_)];
}

std::string LoadGenerator::format(const Request& request) const
{
    auto head = HttpHead::request("POST", "/v1/requests/" + request.kind.name);
    head.add("Request-Id", request.requestId());
    if (!request.key.empty())
        head.add("Idempotency-Key", request.key).add("Request-Attempt", static_cast<uint64_t>(request.tries));
    if (!request.kind.team.empty())
        head.add("Team", request.kind.team);
    if (request.kind.declareRuntime)
        head.add("Declared-Runtime-Ms", static_cast<uint64_t>(request.runTime.count()));
    auto left = std::chrono::duration_cast<Milliseconds>(request.begin + request.kind.timeout - BootClock::now());
    head.add("Timeout-Ms", static_cast<uint64_t>(std::max<int64_t>(1, left.count())));
    head.add("Content-Length", request.body.size());
    return head.finish() + request.body;
}

void LoadGenerator::send(const std::shared_ptr<Request>& request, size_t excludedEntry)
{
    size_t index = chooseEntry(excludedEntry);
    auto& entry = entries_[index];
    ++request->tries;
    auto giveUp = request->begin + request->kind.timeout + options_.patience;
    while (!entry.idle.empty() && !entry.idle.back()->usable())
        entry.idle.pop_back();
    std::shared_ptr<LoadConnection> connection;
    bool connected = !entry.idle.empty();
    if (connected) {
        connection = entry.idle.back();
        entry.idle.pop_back();
    } else {
        connection = std::make_shared<LoadConnection>(io_, deadlines_);
    }
    auto callback = [this, request, index, connection](CallOutcome&& outcome) {
        if (connection->usable())
            entries_[index].idle.push_back(connection);
        onOutcome(request, index, std::move(outcome));
    };
    if (connected)
        connection->call(format(*request), giveUp, std::move(callback));
    else
        connection->connectAndCall(entry.endpoint, format(*request), giveUp, std::move(callback));
}

void LoadGenerator::onOutcome(const std::shared_ptr<Request>& request, size_t entry, CallOutcome&& outcome)
{
    if (!outcome.sent && ++request->connectFailures < 2 * entries_.size()) {
        entries_[entry].avoidUntil = BootClock::now() + avoidTime;
        send(request, entry);
        return;
    }
    Duration elapsed = BootClock::now() - request->begin;
    nlohmann::json line { { "event", "answer" }, { "request_id", request->requestId() }, { "key", request->key },
        { "kind", request->kind.name }, { "entry", entries_[entry].name }, { "try", request->tries },
        { "elapsed_ms", std::chrono::duration<double, std::milli>(elapsed).count() } };
    auto code = judge(*request, outcome, line);
    journal_.write(std::move(line));
    if (code == ResultCode::Stopping || code == ResultCode::NotReady)
        entries_[entry].avoidUntil = BootClock::now() + avoidTime;
    if (mayRetry(*request, code)) {
        auto timer = std::make_shared<asio::steady_timer>(io_, retryPause);
        timer->async_wait([this, request, entry, timer](std::error_code) { send(request, entry); });
        return;
    }
    --open_;
    report_.of(request->kind.name).count(code, elapsed, request->kind.timeout);
}

// Checks that the answer is whole and belongs to the request; writes what was found into the journal line.
ResultCode LoadGenerator::judge(const Request& request, const CallOutcome& outcome, nlohmann::json& line)
{
    if (!outcome.answer) {
        line["event"] = "no_answer";
        line["reason"] = outcome.problem;
        line["sent"] = outcome.sent;
        return outcome.sent ? ResultCode::OutcomeUnknown : ResultCode::EntryUnreachable;
    }
    const auto& answer = *outcome.answer;
    auto code = ResultCode::Internal;
    if (auto number = parseNumber(answer.single("Result-Code"), UINT16_MAX))
        code = resultCodeFromNumber(static_cast<unsigned>(*number)).value_or(ResultCode::Internal);
    bool notRun = executionOf(code) == Execution::NotRun;
    // An entry that closes an idle connection says so without knowing the request: "-".
    auto answeredId = answer.single("Request-Id");
    bool belongs = answeredId == request.requestId() || (answeredId == "-" && notRun);
    bool whole = answer.hasContentLength && digestFromHex(answer.single("Body-Digest")) == digestOf(answer.body)
        && executionFromName(answer.single("Execution")) == executionOf(code);
    if (code == ResultCode::Ok)
        whole = whole && answer.body == answerContent(request.name, request.kind.answerBytes);
    if (!whole || !belongs)
        ++report_.of(request.kind.name).wrong;
    line["status"] = answer.status;
    line["code"] = static_cast<unsigned>(code);
    line["execution"] = answer.single("Execution");
    line["reason"] = answer.single("Reason");
    line["receipt"] = answer.single("Receipt");
    line["answer_request_id"] = answeredId;
    line["belongs"] = belongs;
    line["whole"] = whole;
    return code;
}

bool LoadGenerator::mayRetry(const Request& request, ResultCode code) const
{
    static constexpr std::array<ResultCode, 8> finalCodes { ResultCode::BadRequest, ResultCode::UnknownKind,
        ResultCode::KeyRequired, ResultCode::KeyMismatch, ResultCode::TooLarge, ResultCode::WouldBeLate,
        ResultCode::DeadlinePassed, ResultCode::QuotaExceeded };
    bool open = executionOf(code) == Execution::NotRun || executionOf(code) == Execution::MayHaveRun;
    return open && request.tries <= request.kind.retries + static_cast<int>(request.connectFailures)
        && std::find(finalCodes.begin(), finalCodes.end(), code) == finalCodes.end()
        && BootClock::now() + retryPause < request.begin + request.kind.timeout;
}

} // namespace shallotdrift::standin
