#pragma once

#include "shallotdrift/Http.h"

#include <functional>
#include <memory>
#include <optional>

namespace shallotdrift::standin {

// What became of one call to an entry.
struct CallOutcome {
    bool sent = false; // a byte of the request may have reached the entry
    std::optional<HttpMessage> answer;
    std::string problem; // why there is no answer
};

// A caller's keep-alive connection to an entry; one call at a time.
class LoadConnection : public std::enable_shared_from_this<LoadConnection>, private Expiring {
public:
    using Callback = std::function<void(CallOutcome&&)>;

    LoadConnection(asio::io_context&, DeadlineQueue&);

    void connectAndCall(const asio::ip::tcp::endpoint&, std::string request, Instant giveUp, Callback);
    void call(std::string request, Instant giveUp, Callback);
    bool usable() const { return open_ && !callback_; }

private:
    void write();
    void read();
    void onBytes(std::string_view);
    void finish(CallOutcome&&);
    void fail(const char* problem);
    void expired() override;

    DeadlineQueue& deadlines_;
    asio::ip::tcp::socket socket_;
    HttpReader reader_;
    std::array<char, 16 << 10> buffer_ {};
    std::string request_;
    Callback callback_;
    bool open_ = false;
    bool sent_ = false;
};

} // namespace shallotdrift::standin
