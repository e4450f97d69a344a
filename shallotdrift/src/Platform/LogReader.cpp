#include "LogReader.h"

#include "../Base/Logging.h"
#include "Backoff.h"
#include "StoppableWait.h"

#include <atomic>
#include <thread>

namespace shallotdrift {

class LogReader::Implementation {
public:
    Implementation(LogReaderOptions options, PlatformClient& client, PageHandler handler)
        : options_(options)
        , client_(client)
        , handler_(std::move(handler))
        , backoff_(options_.firstBackoff, options_.maximumBackoff, options_.seed)
        , log_(logger("log"))
    {
    }

    ~Implementation() { stop(); }

    void start(Offset from)
    {
        next_ = from;
        lastAnswer_ = BootClock::now();
        thread_ = std::thread([this] { run(); });
    }

    bool reachable() const { return reachable_; }

    Duration sinceLastAnswer() const { return BootClock::now() - lastAnswer_.load(); }

    void stop()
    {
        wait_.requestStop();
        if (thread_.joinable())
            thread_.join();
    }

private:
    void run()
    {
        while (!wait_.stopRequested()) {
            auto begin = BootClock::now();
            if (step(begin))
                backoff_.reset();
            else if (!wait_.pauseFor(backoff_.next()))
                return;
        }
    }

    // Returns false when the next read has to wait: after a failure, or when nothing moves forward.
    bool step(Instant begin)
    {
        return handleError(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(page, client_.read(next_, options_.maximumItems, options_.wait));
                if (!inOrder(page))
                    return fail(ResultCode::AnswerLost, "the page's offsets are out of order");
                answered();
                return handOver(std::move(page), begin);
            },
            [&](const Error& error) {
                if (reachable_)
                    log_->warn("read at offset {} failed, repeating it: {}", next_, error.message);
                reachable_ = false;
                return false;
            });
    }

    bool inOrder(const LogPage& page) const
    {
        Offset lowest = next_;
        for (const auto& item : page.items) {
            if (item.offset < lowest)
                return false;
            lowest = item.offset + 1;
        }
        return true;
    }

    void answered()
    {
        if (!reachable_)
            log_->info("reads succeed again");
        reachable_ = true;
        lastAnswer_ = BootClock::now();
    }

    bool handOver(LogPage&& page, Instant begin)
    {
        bool empty = page.items.empty();
        auto previous = next_;
        next_ = handler_(std::move(page));
        if (next_ != previous)
            return true;
        // A page that the handler did not take, or an empty one long before the end of the long poll: reading on at
        // once would spin.
        return empty && BootClock::now() - begin >= options_.wait / 2;
    }

    const LogReaderOptions options_;
    PlatformClient& client_;
    const PageHandler handler_;
    internal::Backoff backoff_;
    std::shared_ptr<spdlog::logger> log_;
    internal::StoppableWait wait_;
    Offset next_ = 1;
    std::atomic<bool> reachable_ { true };
    std::atomic<Instant> lastAnswer_ { Instant {} };
    std::thread thread_;
};

LogReader::LogReader(LogReaderOptions options, PlatformClient& client, PageHandler handler)
    : implementation_(std::make_unique<Implementation>(options, client, std::move(handler)))
{
}

LogReader::~LogReader() = default;

void LogReader::start(Offset from) { implementation_->start(from); }

bool LogReader::reachable() const { return implementation_->reachable(); }

Duration LogReader::sinceLastAnswer() const { return implementation_->sinceLastAnswer(); }

void LogReader::stop() { implementation_->stop(); }

} // namespace shallotdrift
