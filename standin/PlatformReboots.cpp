#include "PlatformReboots.h"

#include <algorithm>
#include <httplib.h>

namespace shallotdrift::standin {

static constexpr Milliseconds retryDelay { 300 };
static constexpr Milliseconds pollInterval { 50 };
static constexpr std::chrono::seconds targetConnectTimeout { 1 };
// A target drains requests of at most 30 s before it reboots.
static constexpr std::chrono::seconds targetAnswerTimeout { 60 };

PlatformReboots::PlatformReboots(PlatformFleet& fleet, Call call, size_t threads)
    : fleet_(fleet)
    , call_(std::move(call))
{
    for (size_t i = 0; i < threads; ++i)
        threads_.emplace_back([this] { run(); });
}

PlatformReboots::~PlatformReboots()
{
    {
        std::lock_guard lock(mutex_);
        stopped_ = true;
    }
    changed_.notify_all();
    for (auto& thread : threads_)
        thread.join();
}

void PlatformReboots::add(Reboot reboot)
{
    {
        std::lock_guard lock(mutex_);
        pending_.push_back({ std::move(reboot), Instant {} });
    }
    changed_.notify_one();
}

bool PlatformReboots::takeDue(Pending& taken)
{
    std::unique_lock lock(mutex_);
    while (!stopped_) {
        auto now = BootClock::now();
        auto due = std::find_if(
            pending_.begin(), pending_.end(), [&](const Pending& item) { return item.notBefore <= now; });
        if (due != pending_.end()) {
            taken = std::move(*due);
            pending_.erase(due);
            return true;
        }
        changed_.wait_for(lock, pollInterval);
    }
    return false;
}

void PlatformReboots::run()
{
    Pending item;
    while (takeDue(item)) {
        if (!fleet_.current(item.reboot))
            continue; // replaced by a newer one
        if (call_(item.reboot)) {
            fleet_.finished(item.reboot, BootClock::now());
            continue;
        }
        item.notBefore = BootClock::now() + retryDelay;
        std::lock_guard lock(mutex_);
        pending_.push_back(std::move(item));
    }
}

bool rebootTarget(const Reboot& reboot)
{
    httplib::Client client("http://" + reboot.address);
    client.set_connection_timeout(targetConnectTimeout);
    client.set_read_timeout(targetAnswerTimeout);
    auto epoch = "epoch=" + std::to_string(reboot.epoch);
    auto path = reboot.pool.empty()
        ? "/control/reboot?" + epoch
        : "/control/assign?pool=" + httplib::detail::encode_query_param(reboot.pool) + "&" + epoch;
    auto result = client.Post(path, std::string(), "text/plain");
    return result && result->status == 200;
}

} // namespace shallotdrift::standin
