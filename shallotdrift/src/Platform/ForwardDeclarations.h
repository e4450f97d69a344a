#pragma once

namespace shallotdrift {

class LogReader;
class LogWriter;
class PlatformClient;

namespace internal {
    class Backoff;
    class HttpExchange;
    class HttpPlatformClient;
} // namespace internal

} // namespace shallotdrift
