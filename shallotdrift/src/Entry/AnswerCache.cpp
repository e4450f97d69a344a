#include "AnswerCache.h"

namespace shallotdrift {

void AnswerCache::store(const std::string& key, const CallerReply& reply)
{
    size_t size = key.size() + reply.body.size() + reply.receipt.size() + sizeof(Item);
    if (size > maximumBytes_ || index_.count(key))
        return;
    items_.push_back({ key, reply, size });
    index_[key] = std::prev(items_.end());
    bytes_ += size;
    while (bytes_ > maximumBytes_) {
        bytes_ -= items_.front().bytes;
        index_.erase(items_.front().key);
        items_.pop_front();
    }
}

const CallerReply* AnswerCache::find(const std::string& key) const
{
    auto position = index_.find(key);
    return position == index_.end() ? nullptr : &position->second->reply;
}

} // namespace shallotdrift
