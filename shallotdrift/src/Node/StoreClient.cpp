#include "StoreClient.h"

#include "../Base/Logging.h"

namespace shallotdrift::internal {

void StoreClient::send(HttpRequest request, Milliseconds timeout, Handler handler)
{
    ++requestsSent_;
    auto path = request.target.substr(0, request.target.find('?'));
    ++requestCounts_[path].sent;
    client_.send(address_, std::move(request), timeout,
        [this, path = std::move(path), handler = std::move(handler)](HttpOutcome&& outcome) {
            auto now = BootClock::now();
            bool served = outcome.hasResponse && outcome.response.status != 503 && outcome.response.status != 429;
            if (!outcome.hasResponse)
                ++requestCounts_[path].unanswered;
            else if (!served)
                ++requestCounts_[path].refused;
            if (served) {
                if (!reachable_)
                    logger("store")->info("dependency=store event=regained outage_ms={}",
                        std::chrono::duration_cast<Milliseconds>(now - lastResponseAt_).count());
                reachable_ = true;
                lastResponseAt_ = now;
            } else if (reachable_) {
                reachable_ = false;
                logger("store")->warn("dependency=store event=lost path={} status={}", path,
                    outcome.hasResponse ? outcome.response.status : 0);
            }
            if (outcome.hasResponse)
                handler(std::move(outcome.response));
            else
                handler(std::nullopt);
        });
}

} // namespace shallotdrift::internal
