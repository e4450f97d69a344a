#pragma once

#include "../Base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotdrift {

// Account of the memory that the connections of a process hold, shared by all its HTTP servers. Memory is charged
// before it is allocated. When it is short, the connections that hold most for longest without progress are shed. Not
// thread-safe.
class ConnectionBudget {
public:
    enum class ShedReason : uint8_t {
        Memory, // another connection needed the memory
        Stalled, // too little of the request arrived while memory was short
        Connections, // another connection needed the place
        Refused, // nothing else could be shed for the request
        Closed, // the listener had no place for the connection
    };
    static constexpr size_t shedReasons = 5;
    static const char* shedReasonName(ShedReason);

    // What the connections of one client address hold.
    struct AddressUse {
        std::string address;
        size_t bytes = 0;
        size_t connections = 0;
    };

    // What one listener may hold.
    struct PartOptions {
        std::string name; // in logs and metrics
        size_t reservedBytes = 0; // cannot be used by other listeners
        size_t maximumConnections = 2000;
    };

    struct PartUse {
        std::string name;
        size_t bytes = 0;
        size_t connections = 0;
    };

    // Memory and connections of one listener.
    class Part {
    public:
        Part(ConnectionBudget&, PartOptions);
        ~Part();
        Part(const Part&) = delete;
        Part& operator=(const Part&) = delete;

        // Whether there is a place for one more connection; sheds another connection of the listener if necessary.
        bool admit(Instant now);

    private:
        friend class ConnectionBudget;
        size_t bytesAboveReserve() const;

        ConnectionBudget& budget_;
        PartOptions options_;
        size_t bytes_ = 0;
        size_t connections_ = 0;
    };

    enum class Activity : uint8_t {
        Idle, // between requests
        Reading, // a part of a request has been read
        Accepted, // a request is being processed; never shed
        Writing, // the response has not been written in full
    };

    // What one connection holds. Releases all of it when destroyed or closed.
    class Account {
    public:
        Account(Part&, const std::string& clientAddress, Instant now);
        virtual ~Account();
        Account(const Account&) = delete;
        Account& operator=(const Account&) = delete;

        size_t bytes() const { return bytes_; }
        // Changes what the connection holds. More is granted if it fits, or fits after other connections have been
        // shed; otherwise the account stays as it is and the result is false.
        bool resize(size_t bytes, Instant now);
        // The same without shedding other connections.
        bool resizeIfFree(size_t bytes);
        // Changes what the connection holds to memory that has been allocated already.
        void settle(size_t bytes);
        void setActivity(Activity, Instant now);
        // Counts received bytes as progress, as soon as there are enough of them.
        void onReceived(size_t bytes, Instant now);
        Instant progressAt() const { return progressAt_; }
        void close();

    protected:
        // Closes the connection, or refuses its request; either releases the request's memory.
        virtual void shed(ShedReason) = 0;

    private:
        friend class ConnectionBudget;

        Part& part_;
        AddressUse& address_;
        std::list<Account*>::iterator position_ {};
        bool open_ = true;
        Activity activity_ = Activity::Idle;
        size_t bytes_ = 0;
        size_t received_ = 0; // since progressAt_
        Instant progressAt_;
    };

    explicit ConnectionBudget(size_t memoryBytes = SIZE_MAX, Milliseconds stallTimeout = Milliseconds { 1000 });
    ConnectionBudget(const ConnectionBudget&) = delete;
    ConnectionBudget& operator=(const ConnectionBudget&) = delete;

    size_t memoryBytes() const { return memoryBytes_; }
    size_t usedBytes() const { return usedBytes_; }
    size_t connections() const { return accounts_.size(); }
    // What the connections of each listener hold.
    std::vector<PartUse> use() const;
    uint64_t shedCount(ShedReason reason) const { return shed_[static_cast<size_t>(reason)]; }
    Milliseconds stallTimeout() const { return stallTimeout_; }
    // Whether more than half of the memory is in use.
    bool pressed() const { return usedBytes_ > memoryBytes_ / 2; }
    void countShed(ShedReason reason) { ++shed_[static_cast<size_t>(reason)]; }
    // To be called about once a second: logs what was shed since the last call in one line, and returns freed memory to
    // the system after a large release.
    void maintain();

private:
    bool fits(const Part&, size_t additionalBytes) const;
    Account* findMemoryVictim(const Account& requester, size_t requestedBytes, Instant now) const;
    Account* findConnectionVictim(const Part&, Instant now) const;
    void shed(Account&, ShedReason);
    void apply(Account&, size_t bytes);
    AddressUse& useOf(const std::string& address);

    size_t memoryBytes_;
    Milliseconds stallTimeout_;
    size_t reservedBytes_ = 0; // of all parts
    size_t sharedBytes_ = 0; // used by the parts above their reserves
    size_t usedBytes_ = 0;
    size_t peakBytes_ = 0; // since freed memory was returned to the system
    std::list<Account*> accounts_;
    std::vector<const Part*> parts_;
    std::unordered_map<std::string, AddressUse> addresses_;
    std::array<uint64_t, shedReasons> shed_ {};
    std::array<uint64_t, shedReasons> logged_ {};
};

} // namespace shallotdrift
