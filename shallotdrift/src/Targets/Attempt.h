#pragma once

#include "TargetContext.h"

namespace shallotdrift::internal {

class TargetConnection;
class TargetPool;

// One attempt between send() and its result. It waits in its pool or is held by one connection.
class Attempt : private Expiring {
public:
    Attempt(TargetAttempt, TargetContext&, TargetPool&);

    const TargetAttempt& data() const { return data_; }
    TargetPool& pool() { return pool_; }
    std::shared_ptr<TargetConnection> connection() const { return connection_.lock(); }
    void hold(const std::shared_ptr<TargetConnection>& connection) { connection_ = connection; }

    void markSent() { bytesSent_ = true; }
    bool bytesSent() const { return bytesSent_; }
    bool finished() const { return finished_; }

    // Reports the result; later calls have no effect.
    void finish(ResultCode);
    void finish(AttemptResult&&);
    // Ends without a result.
    void abandon();

private:
    void expired() override;

    TargetAttempt data_;
    TargetContext& context_;
    TargetPool& pool_;
    std::weak_ptr<TargetConnection> connection_;
    Instant started_ = BootClock::now();
    bool bytesSent_ = false;
    bool finished_ = false;
};

} // namespace shallotdrift::internal
