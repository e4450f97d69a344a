#pragma once

namespace shallotdrift {

struct CallerRequest;
struct CallerReply;
struct CallerServerOptions;
class CallerServer;

namespace internal {
    class CallerConnection;
    struct CallerContext;
    struct ReplyHead;
} // namespace internal

} // namespace shallotdrift
