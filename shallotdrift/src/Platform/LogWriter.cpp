#include "LogWriter.h"

#include "../Base/BoundedRing.h"
#include "../Base/Logging.h"
#include "Backoff.h"
#include "StoppableWait.h"

#include <algorithm>
#include <thread>

namespace shallotdrift {

class LogWriter::Implementation {
public:
    Implementation(LogWriterOptions options, PlatformClient& client)
        : options_(std::move(options))
        , client_(client)
        , spacing_(std::chrono::ceil<Milliseconds>(
              std::chrono::duration<double>(1.0 / std::max(options_.maximumAppendsPerSecond, 1U))))
        , ring_(options_.ringCapacity)
        , backoff_(options_.firstBackoff, options_.maximumBackoff, options_.seed)
        , log_(logger("log"))
    {
    }

    ~Implementation() { stop(); }

    void start()
    {
        thread_ = std::thread([this] { run(); });
    }

    uint64_t submit(proto::Record&& record)
    {
        // The lock spans stamping and queueing, so that sequences enter the ring in order and none is skipped.
        std::lock_guard lock(submitMutex_);
        auto sequence = submitted_ + 1;
        auto* id = record.mutable_id();
        id->set_writer(options_.writer);
        id->set_boot(options_.boot);
        id->set_sequence(sequence);
        record.set_written_ms(unixMilliseconds(wallNow()));
        Queued queued { std::move(record), 0 };
        queued.bytes = queued.record.ByteSizeLong();
        auto bytes = queued.bytes;
        if (queuedBytes_ + bytes > options_.maximumQueuedBytes && queuedBytes_ > 0)
            return 0;
        if (!ring_.tryPush(std::move(queued)))
            return 0;
        queuedBytes_ += bytes;
        submitted_ = sequence;
        return sequence;
    }

    bool reachable() const { return reachable_; }

    LogWriterCounters counters() const
    {
        std::lock_guard lock(doneMutex_);
        return counters_;
    }

    bool flush(Milliseconds timeout)
    {
        uint64_t goal = 0;
        {
            std::lock_guard lock(submitMutex_);
            goal = submitted_;
        }
        std::unique_lock lock(doneMutex_);
        doneChanged_.wait_for(lock, timeout, [&] { return done_ >= goal || finished_; });
        return done_ >= goal;
    }

    void stop()
    {
        wait_.requestStop();
        ring_.close();
        if (thread_.joinable())
            thread_.join();
    }

private:
    struct Queued {
        proto::Record record;
        size_t bytes = 0;
    };

    struct Batch {
        proto::RecordBatch records;
        size_t bytes = 0;
        uint64_t lastSequence = 0;
    };

    // How often the thread looks for a stop request while the ring is empty.
    static constexpr Milliseconds idleWait { 200 };

    void run()
    {
        while (!wait_.stopRequested()) {
            auto batch = collect();
            if (batch.records.records_size() && !append(batch))
                break;
        }
        std::lock_guard lock(doneMutex_);
        finished_ = true;
        doneChanged_.notify_all();
    }

    bool full(const Batch& batch) const
    {
        return static_cast<size_t>(batch.records.records_size()) >= options_.maximumBatchRecords
            || batch.bytes >= options_.maximumBatchBytes;
    }

    // Takes a record into the batch, or keeps it for the next one when it does not fit.
    void take(Batch& batch, Queued&& queued)
    {
        if (batch.bytes && batch.bytes + queued.bytes > options_.maximumBatchBytes) {
            carried_ = std::move(queued);
            return;
        }
        batch.bytes += queued.bytes;
        batch.lastSequence = queued.record.id().sequence();
        *batch.records.add_records() = std::move(queued.record);
    }

    Batch collect()
    {
        Batch batch;
        if (carried_) {
            take(batch, std::move(*carried_));
            carried_.reset();
        } else if (auto first = ring_.popFor(idleWait)) {
            take(batch, std::move(*first));
        } else {
            return batch;
        }
        auto end = BootClock::now() + options_.batchInterval;
        while (!full(batch) && !carried_) {
            auto left = end - BootClock::now();
            auto next = left > Duration::zero() ? ring_.popFor(left) : ring_.tryPop();
            if (!next)
                break;
            take(batch, std::move(*next));
        }
        return batch;
    }

    // Repeats the batch until it is answered. Returns false when the writer is stopped first.
    bool append(const Batch& batch)
    {
        auto payload = batch.records.SerializeAsString();
        while (waitForTurn()) {
            switch (attempt(payload)) {
            case ResultCode::Ok:
                succeed(batch);
                return true;
            case ResultCode::PlatformRefused:
                drop(batch);
                return true;
            default:
                if (!wait_.pauseFor(backoff_.next()))
                    return false;
            }
        }
        return false;
    }

    // Keeps the distance between appends that the limit per second asks for, also after an outage.
    bool waitForTurn()
    {
        auto now = BootClock::now();
        if (now < nextAppend_ && !wait_.pauseFor(nextAppend_ - now))
            return false;
        nextAppend_ = BootClock::now() + spacing_;
        return !wait_.stopRequested();
    }

    ResultCode attempt(const std::string& payload)
    {
        return handleError(
            [&]() -> Result<ResultCode> {
                BOOST_LEAF_CHECK(client_.append(payload));
                return ResultCode::Ok;
            },
            [&](const Error& error) {
                failed(error);
                return error.code;
            });
    }

    void failed(const Error& error)
    {
        bool refused = error.code == ResultCode::PlatformRefused;
        if (refused)
            log_->error("append refused for good: {}", error.message);
        else if (reachable_)
            log_->warn("append failed, repeating it: {}", error.message);
        if (!refused)
            reachable_ = false;
        std::lock_guard lock(doneMutex_);
        ++counters_.failedAppends;
    }

    void succeed(const Batch& batch)
    {
        if (!reachable_)
            log_->info("appends succeed again");
        reachable_ = true;
        backoff_.reset();
        finish(batch, [&] {
            ++counters_.batches;
            counters_.records += static_cast<uint64_t>(batch.records.records_size());
        });
    }

    // Waiting would block all later records behind one that no repetition can get accepted.
    void drop(const Batch& batch)
    {
        log_->error("dropped a batch of {} records, {} bytes, up to sequence {}", batch.records.records_size(),
            batch.bytes, batch.lastSequence);
        reachable_ = true;
        backoff_.reset();
        finish(batch, [&] {
            ++counters_.droppedBatches;
            counters_.droppedRecords += static_cast<uint64_t>(batch.records.records_size());
        });
    }

    template <typename Count> void finish(const Batch& batch, Count&& count)
    {
        {
            std::lock_guard lock(submitMutex_);
            queuedBytes_ -= batch.bytes;
        }
        std::lock_guard lock(doneMutex_);
        count();
        done_ = batch.lastSequence;
        doneChanged_.notify_all();
    }

    const LogWriterOptions options_;
    PlatformClient& client_;
    const Duration spacing_;
    BoundedRing<Queued> ring_;
    internal::Backoff backoff_;
    std::shared_ptr<spdlog::logger> log_;
    internal::StoppableWait wait_;

    std::mutex submitMutex_;
    uint64_t submitted_ = 0;
    size_t queuedBytes_ = 0; // submitted and not yet appended or dropped

    mutable std::mutex doneMutex_;
    std::condition_variable doneChanged_;
    uint64_t done_ = 0; // last sequence that was appended or dropped
    bool finished_ = false;
    LogWriterCounters counters_;

    std::atomic<bool> reachable_ { true };
    std::optional<Queued> carried_; // first record of the next batch
    Instant nextAppend_ {};
    std::thread thread_;
};

LogWriter::LogWriter(LogWriterOptions options, PlatformClient& client)
    : implementation_(std::make_unique<Implementation>(std::move(options), client))
{
}

LogWriter::~LogWriter() = default;

void LogWriter::start() { implementation_->start(); }

uint64_t LogWriter::submit(proto::Record record) { return implementation_->submit(std::move(record)); }

bool LogWriter::reachable() const { return implementation_->reachable(); }

LogWriterCounters LogWriter::counters() const { return implementation_->counters(); }

bool LogWriter::flush(Milliseconds timeout) { return implementation_->flush(timeout); }

void LogWriter::stop() { implementation_->stop(); }

} // namespace shallotdrift
