#pragma once

#include "../Callers/CallerServer.h"

#include <list>
#include <optional>
#include <string>
#include <unordered_map>

namespace shallotdrift {

// Whole answers of finished idempotency keys, least recently stored first out, bounded in bytes.
class AnswerCache {
public:
    explicit AnswerCache(size_t maximumBytes)
        : maximumBytes_(maximumBytes)
    {
    }

    void store(const std::string& key, const CallerReply&);
    const CallerReply* find(const std::string& key) const;
    size_t bytes() const { return bytes_; }

private:
    struct Item {
        std::string key;
        CallerReply reply;
        size_t bytes;
    };

    size_t maximumBytes_;
    size_t bytes_ = 0;
    std::list<Item> items_; // oldest first
    std::unordered_map<std::string, std::list<Item>::iterator> index_;
};

} // namespace shallotdrift
