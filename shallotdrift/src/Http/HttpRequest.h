#pragma once

#include "HttpMessage.h"

namespace shallotdrift {

// A request to be sent; HttpClient adds the headers that the protocol itself needs.
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    std::vector<HttpHeader> headers {};
    std::string body {};
    std::string contentType {}; // empty: none is stated
};

} // namespace shallotdrift
