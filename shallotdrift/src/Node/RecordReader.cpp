#include "RecordReader.h"

namespace shallotdrift::internal {

// A page is at most 1 MB; its transfer takes about a second on a slow link.
static constexpr Milliseconds pageTimeout { 1500 };
static constexpr Milliseconds retryDelay { 200 };

RecordReader::RecordReader(
    NodeContext& context, platform::Partition partition, RecordHandler onRecord, std::function<void()> onDone)
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
            if (response.status != platform::StoreStatus::Ok) {
                retry(after);
                return;
            }
            std::string last = response.records.empty() ? std::string() : response.records.back().key;
            for (auto& record : response.records)
                onRecord_(std::move(record));
            if (response.hasMore && !last.empty())
                readPage(last);
            else
                onDone_();
        });
}

void RecordReader::retry(const std::string& after)
{
    timer_.expires_after(retryDelay);
    timer_.async_wait([this, alive = alive_, after](std::error_code error) {
        if (*alive && !error)
            readPage(after);
    });
}

} // namespace shallotdrift::internal
