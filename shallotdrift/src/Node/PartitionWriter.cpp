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

void PartitionWriter::fence(std::function<void()> done) { beginAppend({}, std::move(done)); }

void PartitionWriter::append(const std::vector<StateRecord>& records, std::function<void()> done)
{
    std::string bytes;
    for (const auto& record : records)
        bytes += platform::encodeKeyedRecord(record.key, record.value);
    beginAppend(std::move(bytes), std::move(done));
}

void PartitionWriter::beginAppend(std::string bytes, std::function<void()> done)
{
    bytes_ = std::move(bytes);
    onStored_ = std::move(done);
    appendStartedAt_ = BootClock::now();
    busy_ = true;
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
    case platform::StoreStatus::Ok: {
        busy_ = false;
        ++producer_.sequence;
        bytes_.clear();
        auto done = std::move(onStored_);
        done();
        return;
    }
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
    default:
        retry(retryDelay);
    }
}

} // namespace shallotdrift::internal
