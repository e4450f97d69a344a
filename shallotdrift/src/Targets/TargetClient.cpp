#include "TargetClient.h"

#include "TargetPool.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <thread>

namespace shallotdrift {

// Interval of removing the records of targets that have no connection left.
static constexpr std::chrono::seconds sweepInterval { 30 };

class TargetClient::Implementation {
public:
    Implementation(TargetClientOptions options, ResultHandler resultHandler, SendCheck sendCheck)
        : options_(options)
        , resultHandler_(std::move(resultHandler))
        , sendCheck_(std::move(sendCheck))
        , deadlines_(io_)
        , sweepTimer_(io_)
        , context_ { io_, options_, resultHandler_, sendCheck_, deadlines_ }
    {
    }

    void start()
    {
        asio::post(io_, [this] { sweepLater(); });
        thread_ = std::thread([this] { io_.run(); });
    }

    void send(TargetAttempt&& attempt)
    {
        asio::post(io_, [this, attempt = std::move(attempt)]() mutable {
            auto& pool = poolOf(attempt.instance);
            uint64_t id = attempt.attempt;
            auto record = std::make_shared<internal::Attempt>(std::move(attempt), context_, pool);
            context_.attempts.emplace(id, record);
            pool.submit(record);
        });
    }

    void abandon(uint64_t attempt)
    {
        asio::post(io_, [this, attempt] {
            auto found = context_.attempts.find(attempt);
            if (found == context_.attempts.end())
                return;
            auto record = found->second;
            record->pool().abandon(record);
        });
    }

    void closeIdle(const std::string& instance)
    {
        asio::post(io_, [this, instance] {
            auto found = pools_.find(instance);
            if (found != pools_.end())
                found->second->closeIdle();
        });
    }

    TargetClientCounters counters() const
    {
        return { context_.connectionsOpened, context_.connectionsRetired, context_.answersRejected };
    }

    void stop()
    {
        if (!thread_.joinable())
            return;
        asio::post(io_, [this] { finishAll(); });
        work_.reset();
        thread_.join();
    }

private:
    internal::TargetPool& poolOf(const std::string& instance)
    {
        auto& pool = pools_[instance];
        if (!pool)
            pool = std::make_unique<internal::TargetPool>(context_, instance);
        return *pool;
    }

    void sweepLater()
    {
        sweepTimer_.expires_after(sweepInterval);
        sweepTimer_.async_wait([this](std::error_code error) {
            if (error)
                return;
            for (auto pool = pools_.begin(); pool != pools_.end();)
                pool = pool->second->unused() ? pools_.erase(pool) : std::next(pool);
            sweepLater();
        });
    }

    void finishAll()
    {
        for (auto& [instance, pool] : pools_)
            pool->stop();
        auto attempts = context_.attempts;
        for (const auto& [id, attempt] : attempts)
            attempt->finish(attempt->bytesSent() ? ResultCode::ConnectionLost : ResultCode::Stopping);
        io_.stop();
    }

    TargetClientOptions options_;
    ResultHandler resultHandler_;
    SendCheck sendCheck_;
    asio::io_context io_ { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(io_);
    DeadlineQueue deadlines_;
    asio::steady_timer sweepTimer_;
    internal::TargetContext context_;
    std::unordered_map<std::string, std::unique_ptr<internal::TargetPool>> pools_;
    std::thread thread_;
};

TargetClient::TargetClient(TargetClientOptions options, ResultHandler resultHandler, SendCheck sendCheck)
    : implementation_(std::make_unique<Implementation>(options, std::move(resultHandler), std::move(sendCheck)))
{
}

TargetClient::~TargetClient() { stop(); }

void TargetClient::start() { implementation_->start(); }
void TargetClient::send(TargetAttempt attempt) { implementation_->send(std::move(attempt)); }
void TargetClient::abandon(uint64_t attempt) { implementation_->abandon(attempt); }
void TargetClient::closeIdle(const std::string& instance) { implementation_->closeIdle(instance); }
TargetClientCounters TargetClient::counters() const { return implementation_->counters(); }
void TargetClient::stop() { implementation_->stop(); }

} // namespace shallotdrift
