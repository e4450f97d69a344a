#pragma once

#include "HttpMessage.h"

namespace shallotdrift {

// Request to be sent. HttpClient adds Host, Content-Type and Content-Length.
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    std::vector<HttpHeader> headers {};
    std::string body {};
    std::string contentType {}; // empty: no Content-Type header
};

} // namespace shallotdrift
