#pragma once

#include "../Base/Error.h"
#include "PlatformClient.h"

#include <cstddef>
#include <httplib.h>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift::internal {

struct HttpCall {
    const char* method = "GET";
    std::string path;
    std::string_view body;
    const char* contentType = nullptr;
    Milliseconds timeout { 0 };
    size_t maximumReplyBytes = 0;
    // Statuses that reject the content of the call for good. Any other refusal counts as a platform that is
    // unavailable, so that the call is repeated.
    std::vector<int> refusals;
};

// Sends calls to one address and maps every outcome to a reply body or one of the three platform errors.
// A connection is used by one call at a time. After a call that failed, it and all idle connections are closed.
class HttpExchange {
public:
    explicit HttpExchange(PlatformOptions);

    Result<std::string> call(const HttpCall&);

private:
    std::unique_ptr<httplib::Client> takeConnection();
    void putBack(std::unique_ptr<httplib::Client>);
    void closeIdle();
    Result<std::string> interpret(const HttpCall&, const httplib::Result&, std::string&& body, bool tooLarge) const;

    PlatformOptions options_;
    std::string host_;
    int port_ = 0;
    std::mutex mutex_;
    std::vector<std::unique_ptr<httplib::Client>> idle_;
};

} // namespace shallotdrift::internal
