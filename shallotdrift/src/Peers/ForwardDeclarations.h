#pragma once

namespace shallotdrift {

class Gate;
class PeerBus;
class ViewLeaseHolder;

namespace internal {
    class NngMessage;
    class PeerLink;
} // namespace internal

} // namespace shallotdrift
