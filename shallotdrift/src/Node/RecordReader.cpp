#include "RecordReader.h"

#include "../Base/Logging.h"

namespace shallotdrift::internal {

// A page is at most 1 MB; its transfer takes about a second on a slow link.
static constexpr Milliseconds pageTimeout { 1500 };
static constexpr Milliseconds retryDelay { 200 };

RecordReader::RecordReader(
    NodeContext& context, platform::Partition partition, RecordHandler onRecord, DoneHandler onDone)
    : context_(context)
    , partition_(std::move(partition))
    , onRecord_(std::move(onRecord))
    , onDone_(std::move(onDone))
    , timer_(context.io)
{
}

void RecordReader::readPage(const std::string& after)
{
    context_.store.send(platform::latestRecordsRequest(partition_, after), pageTimeout,
        [this, alive = alive_, after](std::optional<HttpMessage> message) {
            if (!*alive)
                return;
            auto response
                = message ? platform::parseLatestRecordsResponse(*message) : platform::LatestRecordsResponse {};
            // Without progress, the next request would return the same page for ever.
            if (response.status != platform::StoreStatus::Ok || (response.hasMore && response.lastKey == after)) {
                if (message && message->status == 200)
                    logger("store")->error(
                        "event=unreadable_page topic={} partition={}", partition_.topic, partition_.number);
                retry(after, message ? message->status : 0);
                return;
            }
            if (failures_ > 0)
                logger("store")->info("event=page_read topic={} partition={} after={} failures={}", partition_.topic,
                    partition_.number, after, failures_);
            failures_ = 0;
            if (after.empty())
                endOffset_ = response.endOffset;
            for (auto& record : response.records)
                onRecord_(std::move(record));
            if (!*alive)
                return;
            if (response.hasMore)
                readPage(response.lastKey);
            else
                onDone_(endOffset_);
        });
}

void RecordReader::retry(const std::string& after, unsigned status)
{
    if (++failures_ == 1)
        logger("store")->warn("event=page_read_failed topic={} partition={} after={} status={}", partition_.topic,
            partition_.number, after, status);
    timer_.expires_after(retryDelay);
    timer_.async_wait([this, alive = alive_, after](std::error_code error) {
        if (*alive && !error)
            readPage(after);
    });
}

} // namespace shallotdrift::internal
