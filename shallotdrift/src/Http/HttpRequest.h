#pragma once

#include "HttpMessage.h"

namespace shallotdrift {

// Request to send. HttpClient adds the headers Host, Content-Type and Content-Length.
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    std::vector<HttpHeader> headers {};
    std::string body {};
    std::string contentType {}; // empty: no Content-Type header
};

} // namespace shallotdrift
