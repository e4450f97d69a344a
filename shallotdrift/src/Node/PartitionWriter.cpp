#include "PartitionWriter.h"

#include "../Base/Logging.h"

namespace shallotdrift::internal {

static constexpr char producerName[] = "owner";
// An append usually takes 5 ms. If it takes longer than this, it is retried on another connection.
static constexpr Milliseconds appendTimeout { 700 };
static constexpr Milliseconds retryDelay { 120 };

PartitionWriter::PartitionWriter(
    NodeContext& context, platform::Partition partition, uint64_t epoch, std::function<void()> onFenced)
    : context_(context)
    , partition_(std::move(partition))
    , producer_ { producerName, epoch, 0 }
    , onFenced_(std::move(onFenced))
    , timer_(context.io)
{
}

void PartitionWriter::fence(std::function<void()> done)
{
    beginAppend({}, [done = std::move(done)](const RefusedKeys&) { done(); });
}

void PartitionWriter::append(const std::vector<StateRecord>& records, DoneHandler done)
{
    std::vector<EncodedRecord> encoded;
    encoded.reserve(records.size());
    for (const auto& record : records)
        encoded.push_back({ record.key, platform::encodeKeyedRecord(record.key, record.value) });
    beginAppend(std::move(encoded), std::move(done));
}

void PartitionWriter::beginAppend(std::vector<EncodedRecord> records, DoneHandler done)
{
    records_ = std::move(records);
    onDone_ = std::move(done);
    next_ = 0;
    refused_.clear();
    busy_ = true;
    beginRequest(records_.size());
}

void PartitionWriter::beginRequest(size_t count)
{
    bytes_.clear();
    for (end_ = next_; end_ < next_ + count; ++end_) {
        const auto& bytes = records_[end_].bytes;
        if (end_ > next_ && bytes_.size() + bytes.size() > context_.settings.requestBytes)
            break;
        bytes_ += bytes;
    }
    appendStartedAt_ = BootClock::now();
    send();
}

void PartitionWriter::send()
{
    auto sentAt = BootClock::now();
    context_.store.send(platform::appendRequest(partition_, producer_, bytes_), appendTimeout,
        [this, alive = alive_, sentAt](std::optional<HttpMessage> message) {
            if (!*alive)
                return;
            if (message && platform::parseAppendResponse(*message).status == platform::StoreStatus::Ok)
                confirmedAt_ = sentAt;
            if (message)
                onResponse(platform::parseAppendResponse(*message));
            else
                retry(Milliseconds { 0 });
        });
}

void PartitionWriter::retry(Milliseconds time)
{
    timer_.expires_after(time);
    timer_.async_wait([this, alive = alive_](std::error_code error) {
        if (*alive && !error)
            send();
    });
}

void PartitionWriter::onResponse(const platform::AppendResponse& response)
{
    switch (response.status) {
    case platform::StoreStatus::Ok:
        ++producer_.sequence;
        next_ = end_;
        onRequestDone();
        return;
    case platform::StoreStatus::SequenceMismatch:
        // Only this writer uses the epoch, so the expected number is the right one.
        logger("store")->warn("event=sequence_mismatch partition={} sent={} expected={}", partition_.number,
            producer_.sequence, response.expectedSequence);
        producer_.sequence = response.expectedSequence;
        retry(Milliseconds { 0 });
        return;
    case platform::StoreStatus::Fenced:
        onFenced_();
        return;
    case platform::StoreStatus::RefusedForGood:
        if (next_ < end_) {
            onRefusedForGood();
            return;
        }
        [[fallthrough]];
    default:
        retry(retryDelay);
    }
}

void PartitionWriter::onRequestDone()
{
    if (next_ < records_.size()) {
        beginRequest(records_.size() - next_);
        return;
    }
    busy_ = false;
    bytes_.clear();
    records_.clear();
    auto done = std::move(onDone_);
    auto refused = std::move(refused_);
    done(refused);
}

void PartitionWriter::onRefusedForGood()
{
    auto count = end_ - next_;
    logger("store")->error("event=append_refused partition={} records={} bytes={} first_key={} first_bytes={}",
        partition_.number, count, bytes_.size(), records_[next_].key, records_[next_].bytes.size());
    if (count > 1) {
        beginRequest(count / 2);
        return;
    }
    // The later records of a job rely on the earlier ones; see addChangedRecords().
    auto job = parseJobKey(records_[next_].key).job;
    do
        refused_.push_back(records_[next_++].key);
    while (next_ < records_.size() && parseJobKey(records_[next_].key).job == job);
    onRequestDone();
}

} // namespace shallotdrift::internal
