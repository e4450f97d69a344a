#include "TargetPool.h"

#include "../Base/Logging.h"
#include "../Http/Address.h"

#include <algorithm>

namespace shallotdrift::internal {

// One silent attempt can be the fault of its connection or its work; two in a row point at the path to the target.
static constexpr int silentAttemptsToRetire = 2;

TargetPool::TargetPool(TargetContext& context, std::string instance)
    : context_(context)
    , instance_(std::move(instance))
{
}

void TargetPool::submit(const std::shared_ptr<Attempt>& attempt)
{
    if (attempt->data().address != address_) {
        closeIdle();
        address_ = attempt->data().address;
        auto parsed = parseAddress(address_);
        addressValid_ = parsed.has_value();
        if (addressValid_)
            endpoint_ = *parsed;
    }
    if (!addressValid_) {
        attempt->finish(ResultCode::TargetUnreachable);
        return;
    }
    waiting_.push_back(attempt);
    serveWaiting();
}

void TargetPool::serveWaiting()
{
    if (serving_)
        return; // the loop below goes on
    serving_ = true;
    while (!waiting_.empty()) {
        auto attempt = waiting_.front();
        if (attempt->finished()) {
            waiting_.pop_front();
            continue;
        }
        if (attempt->data().deadline <= BootClock::now()) {
            waiting_.pop_front();
            attempt->finish(ResultCode::DeadlinePassed);
            continue;
        }
        if (attempt->data().reuseConnection && !idle_.empty()) {
            waiting_.pop_front();
            if (!runOnIdle(attempt))
                waiting_.push_front(attempt);
            continue;
        }
        if (!makeRoom())
            break;
        waiting_.pop_front();
        auto connection = std::make_shared<TargetConnection>(context_, *this);
        connections_.insert(connection);
        connection->open(endpoint_, attempt);
    }
    serving_ = false;
}

bool TargetPool::runOnIdle(const std::shared_ptr<Attempt>& attempt)
{
    while (!idle_.empty()) {
        auto connection = idle_.back();
        idle_.pop_back();
        if (connection->run(attempt))
            return true;
        drop(connection);
    }
    return false;
}

bool TargetPool::makeRoom()
{
    if (connections_.size() < context_.options.maximumConnectionsPerTarget)
        return true;
    if (idle_.empty())
        return false;
    auto oldest = idle_.front();
    drop(oldest);
    return true;
}

void TargetPool::drop(const std::shared_ptr<TargetConnection>& connection)
{
    connection->close();
    connections_.erase(connection);
    idle_.erase(std::remove(idle_.begin(), idle_.end(), connection), idle_.end());
}

void TargetPool::connectionIdle(const std::shared_ptr<TargetConnection>& connection)
{
    if (connection->endpoint() != endpoint_) {
        drop(connection);
        return;
    }
    idle_.push_back(connection);
    serveWaiting();
}

void TargetPool::connectionClosed(const std::shared_ptr<TargetConnection>& connection)
{
    drop(connection);
    serveWaiting();
}

void TargetPool::attemptExpired(const std::shared_ptr<Attempt>& attempt)
{
    auto connection = attempt->connection();
    if (!connection) {
        attempt->finish(ResultCode::DeadlinePassed);
        return;
    }
    bool silent = !connection->answerStarted();
    ++context_.connectionsRetired;
    drop(connection);
    attempt->finish(attempt->bytesSent() ? ResultCode::AnswerTimeout : ResultCode::DeadlinePassed);
    if (silent)
        attemptSilent();
    else
        answered();
    serveWaiting();
}

void TargetPool::attemptSilent()
{
    if (++silentAttempts_ >= silentAttemptsToRetire)
        retireIdle();
}

void TargetPool::retireIdle()
{
    silentAttempts_ = 0;
    if (idle_.empty())
        return;
    logger("targets")->warn("{}: {} attempts in a row ended without a byte, closing {} idle connections", instance_,
        silentAttemptsToRetire, idle_.size());
    context_.connectionsRetired += idle_.size();
    closeIdle();
}

void TargetPool::closeIdle()
{
    while (!idle_.empty())
        drop(idle_.back());
}

void TargetPool::abandon(const std::shared_ptr<Attempt>& attempt)
{
    attempt->abandon();
    if (auto connection = attempt->connection())
        drop(connection);
    serveWaiting();
}

void TargetPool::stop()
{
    auto connections = std::move(connections_);
    connections_.clear();
    idle_.clear();
    waiting_.clear();
    for (const auto& connection : connections)
        connection->close();
}

} // namespace shallotdrift::internal
