#include "TargetInstance.h"

#include "TargetHost.h"
#include "WorkText.h"

#include <asio/post.hpp>

namespace shallotdrift::standin {

static constexpr Milliseconds defaultRunTime { 10 };
static constexpr uint64_t defaultAnswerBytes = 100;
static constexpr uint64_t maximumAnswerBytes = 8 << 20;

struct TargetInstance::Run {
    std::string kind;
    std::string requestId;
    std::string attempt;
    std::string requestedPool;
    std::string key;
    std::string body;
    asio::steady_timer timer;
};

TargetInstance::TargetInstance(
    asio::io_context& io, TargetHost& host, Journal& journal, FleetInstance description, Milliseconds rebootTime)
    : io_(io)
    , host_(host)
    , journal_(journal)
    , description_(std::move(description))
    , rebootTime_(rebootTime)
    , acceptor_(io)
    , rebootTimer_(io)
{
}

Result<void> TargetInstance::startListening()
{
    BOOST_LEAF_AUTO(endpoint, parseAddress(description_.address));
    BOOST_LEAF_CHECK(listen(acceptor_, endpoint));
    accept();
    return {};
}

uint16_t TargetInstance::port() const { return acceptor_.local_endpoint().port(); }

void TargetInstance::accept()
{
    acceptor_.async_accept([self = shared_from_this()](std::error_code error, asio::ip::tcp::socket socket) {
        if (!self->acceptor_.is_open())
            return;
        if (!error) {
            auto session = std::make_shared<TargetSession>(
                std::move(socket),
                [self](const auto& from, HttpMessage&& message) { self->handle(from, std::move(message)); },
                [self](const auto& closed) { self->sessionClosed(closed); });
            self->sessions_.insert(session);
            session->start();
        }
        self->accept();
    });
}

void TargetInstance::sessionClosed(const std::shared_ptr<TargetSession>& session) { sessions_.erase(session); }

void TargetInstance::handle(const std::shared_ptr<TargetSession>& session, HttpMessage&& message)
{
    bool isPost = message.method == "POST";
    if (isPost && message.target.rfind("/run/", 0) == 0) {
        handleRun(session, std::move(message));
        return;
    }
    unsigned status = 404;
    if (isPost && message.target.rfind("/control/", 0) == 0)
        status = host_.control(shared_from_this(), message.target);
    session->send(HttpHead::response(status).add("Content-Length", uint64_t { 0 }).finish(), true);
}

nlohmann::json TargetInstance::line(const char* event, const Run& run) const
{
    return { { "event", event }, { "instance", description_.id }, { "pool", description_.pool }, { "epoch", epoch_ },
        { "request_id", run.requestId }, { "attempt", run.attempt }, { "key", run.key }, { "kind", run.kind },
        { "requested_pool", run.requestedPool } };
}

void TargetInstance::mark(const char* state)
{
    journal_.write({ { "event", "mark" }, { "state", state }, { "instance", description_.id },
        { "pool", description_.pool }, { "epoch", epoch_ } });
}

void TargetInstance::handleRun(const std::shared_ptr<TargetSession>& session, HttpMessage&& message)
{
    auto run = std::shared_ptr<Run>(new Run { message.target.substr(5), std::string(message.single("Request-Id")),
        std::string(message.single("Attempt-Id")), std::string(message.single("Pool")),
        WorkText(message.body).text("key"), std::move(message.body), asio::steady_timer(io_) });
    if (run->requestId.empty() || run->attempt.empty()) {
        refuse(session, *run, 400, "missing id");
    } else if (run->requestedPool != description_.pool) {
        refuse(session, *run, 409, "wrong pool");
    } else if (stopping_) {
        refuse(session, *run, 503, "stopping");
    } else if (runs_.size() >= description_.slots) {
        refuse(session, *run, 503, "no free slot");
    } else {
        runs_.insert(run);
        journal_.write(line("run_start", *run));
        WorkText work(run->body);
        Milliseconds time(work.number("run_ms", defaultRunTime.count()));
        if (fault_ == TargetFault::Slow)
            time += faultTime_;
        if (fault_ == TargetFault::FailAll)
            time = faultTime_;
        run->timer.expires_after(time);
        run->timer.async_wait([self = shared_from_this(), session, run](std::error_code error) {
            if (!error)
                self->finishRun(session, run);
        });
    }
}

void TargetInstance::refuse(
    const std::shared_ptr<TargetSession>& session, const Run& run, unsigned status, const char* reason)
{
    auto refused = line("refused", run);
    refused["reason"] = reason;
    journal_.write(std::move(refused));
    answer(session, run, status, "not-run", {});
}

void TargetInstance::finishRun(const std::shared_ptr<TargetSession>& session, const std::shared_ptr<Run>& run)
{
    runs_.erase(run);
    WorkText work(run->body);
    bool failed = fault_ == TargetFault::FailAll || work.number("fail", 0) != 0;
    auto end = line("run_end", *run);
    end["failed"] = failed;
    journal_.write(std::move(end));
    auto length = std::min(work.number("answer_bytes", defaultAnswerBytes), maximumAnswerBytes);
    answerWithFault(session, *run, failed ? 500 : 200, failed ? "" : answerContent(run->requestId, length));
}

void TargetInstance::answerWithFault(
    const std::shared_ptr<TargetSession>& session, const Run& run, unsigned status, const std::string& body)
{
    if (fault_ == TargetFault::Silent)
        return;
    if (fault_ == TargetFault::Late) {
        auto timer = std::make_shared<asio::steady_timer>(io_, faultTime_);
        auto copy = std::make_shared<Run>(
            Run { run.kind, run.requestId, run.attempt, {}, run.key, {}, asio::steady_timer(io_) });
        timer->async_wait([self = shared_from_this(), session, copy, status, body, timer](
                              std::error_code) { self->answer(session, *copy, status, "ran", body); });
        return;
    }
    if (fault_ == TargetFault::Duplicate)
        answer(session, run, status, "ran", body);
    if (fault_ == TargetFault::WrongId) {
        Run other { run.kind, run.requestId + "-other", run.attempt, {}, run.key, {}, asio::steady_timer(io_) };
        answer(session, other, status, "ran", body);
        return;
    }
    answer(session, run, status, "ran", body);
}

void TargetInstance::answer(const std::shared_ptr<TargetSession>& session, const Run& run, unsigned status,
    const std::string& execution, const std::string& body)
{
    auto head = HttpHead::response(status);
    head.add("Request-Id", run.requestId).add("Attempt-Id", run.attempt).add("Execution", execution);
    head.add("Body-Digest", digestToHex(digestOf(body))).add("Content-Type", "text/plain");
    if (!run.key.empty() && execution == "ran")
        head.add("Receipt", "receipt-" + run.key);
    head.add("Content-Length", body.size());
    if (stopping_)
        head.add("Connection", "close");
    session->send(head.finish() + body, true);
    if (stopping_)
        session->closeWhenWritten();
}

void TargetInstance::closeListener()
{
    std::error_code ignored;
    acceptor_.close(ignored);
}

// Runs that are under way are lost, as on a real reboot.
void TargetInstance::restart()
{
    mark("rebooting");
    for (const auto& run : runs_) {
        run->timer.cancel();
        journal_.write(line("run_cut", *run));
    }
    runs_.clear();
    closeListener();
    rebootTimer_.expires_after(rebootTime_);
    rebootTimer_.async_wait([self = shared_from_this()](std::error_code error) {
        if (!error)
            self->start();
    });
    // The control call's own answer is written first; the connections close on the next turn of the loop.
    asio::post(io_, [self = shared_from_this()] {
        auto sessions = self->sessions_;
        for (const auto& session : sessions)
            session->cutOff();
    });
}

unsigned TargetInstance::assign(const std::string& pool, uint64_t epoch)
{
    if (pool.empty())
        return 400;
    if (epoch == epoch_ && pool == description_.pool)
        return 200;
    if (epoch <= epoch_)
        return 409;
    epoch_ = epoch;
    description_.pool = pool;
    restart();
    return 200;
}

unsigned TargetInstance::reboot(uint64_t epoch)
{
    if (epoch < epoch_)
        return 409;
    epoch_ = epoch;
    restart();
    return 200;
}

unsigned TargetInstance::stop()
{
    mark("leaving");
    stopping_ = true;
    closeListener();
    auto sessions = sessions_;
    for (const auto& session : sessions)
        session->closeWhenWritten();
    return 200;
}

unsigned TargetInstance::start()
{
    stopping_ = false;
    if (acceptor_.is_open())
        return 200;
    return handleError(
        [this]() -> Result<unsigned> {
            BOOST_LEAF_CHECK(startListening());
            mark("active");
            return 200U;
        },
        [this](const Error& error) {
            logger("targets")->error("{}: {}", description_.id, error.message);
            return 500U;
        });
}

unsigned TargetInstance::setFault(const std::string& mode, Milliseconds time)
{
    static const std::map<std::string, TargetFault> modes { { "none", TargetFault::None },
        { "fail_all", TargetFault::FailAll }, { "silent", TargetFault::Silent }, { "late", TargetFault::Late },
        { "duplicate", TargetFault::Duplicate }, { "wrong_id", TargetFault::WrongId }, { "slow", TargetFault::Slow } };
    auto found = modes.find(mode);
    if (found == modes.end())
        return 400;
    fault_ = found->second;
    faultTime_ = time;
    return 200;
}

} // namespace shallotdrift::standin
