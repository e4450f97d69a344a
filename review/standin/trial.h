// Stand-ins for the review's scripts: the platform (store and machines), workers, clients, and the control of the entry
// processes. They follow the users' pages; one process, threads, loopback addresses only.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace trial {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

inline Instant after(int64_t milliseconds) { return Clock::now() + Milliseconds(milliseconds); }
inline void sleepFor(int64_t milliseconds) { std::this_thread::sleep_for(Milliseconds(milliseconds)); }
int64_t unixMilliseconds();
double elapsedSeconds(); // since the start of the trial

// Appends a line with the time to the record of the trial.
void record(const std::string& line);
void openRecord(const std::string& path);

struct Request {
    std::string method;
    std::string target; // path and query
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};
struct Response {
    int status = 200;
    std::string body {};
    bool silent = false; // no response: the connection is closed without one
};

// An HTTP/1.1 server with a thread for each connection.
class Server {
public:
    using Handler = std::function<Response(const Request&)>;
    Server(int port, Handler);
    ~Server();
    // While dark, nothing that arrives is answered, then or later.
    void setDark(bool);
    // Resets all connections, as a machine does that was without power.
    void resetConnections();

private:
    void accept();
    void serve(int descriptor);
    void waitUntilClosed(int descriptor);

    int listener_ = -1;
    Handler handler_;
    std::atomic<bool> stopping_ { false };
    std::atomic<bool> dark_ { false };
    std::mutex mutex_;
    std::condition_variable idle_;
    std::set<int> connections_;
    std::thread thread_;
};

// One request on a connection of its own. Status 0: no response.
Response call(int port, const Request&, int timeoutMilliseconds);

// The platform's store: a log with partitions, keyed topics, producers and groups.
class Store {
public:
    explicit Store(int port);
    void put(const std::string& topic, const std::string& key, const std::string& value);
    void erase(const std::string& topic, const std::string& key);
    // Member that owns the partition of the state topic to which a job was appended last; empty if there is none.
    std::string ownerOfJobs();
    std::string ownerOf(int partition);
    // While the store is down, it answers 503 and has done nothing; memberships wait.
    void setDown(bool);
    void tick(); // removes expired members

private:
    struct Producer {
        uint64_t epoch = 0;
        uint64_t next = 0;
        std::deque<std::pair<uint64_t, std::string>> recent;
    };
    struct Partition {
        std::vector<std::string> records; // with their length
        std::map<std::string, Producer> producers;
        std::map<std::string, std::pair<std::string, uint64_t>> newest;
    };
    struct Member {
        std::vector<std::string> topics;
        Instant expires {};
        uint64_t generation = 0;
    };
    struct Group {
        uint64_t generation = 0;
        std::map<std::string, Member> members;
        std::map<std::pair<std::string, int>, std::string> owners;
        std::map<std::pair<std::string, int>, std::string> targets;
        std::string first; // member to which the first partition was dealt last
    };

    Response handle(const Request&);
    Response append(const std::map<std::string, std::string>& query, const std::string& body);
    Response read(std::unique_lock<std::mutex>&, const std::map<std::string, std::string>& query);
    Response newest(const std::map<std::string, std::string>& query);
    Response join(const Json&);
    Response leave(const Json&);
    Response owners(const std::string& group);
    void deal(Group&);
    std::string appendRecords(const std::string& topic, Partition&, const std::string& body);
    Partition& partition(const std::string& topic, int number);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::pair<std::string, int>, Partition> partitions_;
    std::map<std::string, Group> groups_;
    int jobsPartition_ = -1;
    bool down_ = false;
    Instant downSince_ {};
    std::unique_ptr<Server> server_;
};

// A run as a worker saw it, for the verdict.
struct RunRecord {
    std::string task;
    uint64_t run = 0;
    std::string worker;
    double start = 0;
    double end = -1; // -1: still running
    std::string how {};
    bool noted = false; // its end was taken note of
    bool lapsedBetween = false; // the worker's lease lapsed between the end and the note
};

class Ledger {
public:
    size_t started(const std::string& task, uint64_t run, const std::string& worker);
    void ended(size_t index, const std::string& how);
    void noted(size_t index, bool lapsedBetween);
    // Work items of which two runs overlapped, or of which a run started after a noted end `done`.
    std::vector<std::string> twice();
    size_t starts();
    size_t running();
    size_t doneOf(const std::string& job);
    bool began(const std::string& job);
    void write(); // all runs, to the record

private:
    std::mutex mutex_;
    std::vector<RunRecord> runs_;
};

// A worker: one life of a machine after the other, here always under the same id.
class Worker {
public:
    Worker(
        std::string id, std::string machine, std::string kind, int port, int cpu, std::string service, Store&, Ledger&);
    ~Worker();
    void crash(); // without power: nothing is answered, what runs is lost
    void restart(); // under the same id
    void cut(bool); // nothing reaches the worker; it runs on
    void heartbeat(); // writes the entry of the registry
    size_t unnotedEnds();
    size_t running();
    int freeCpu();
    bool up() const { return up_; }
    const std::string& kind() const { return kind_; }

private:
    struct Run {
        size_t index = 0;
        int cpu = 0;
        Instant start {};
        Instant finish {};
        std::optional<Instant> stopsAt {}; // set by a stop
    };
    struct End {
        uint64_t number = 0;
        std::string task;
        uint64_t run = 0;
        std::string how;
        size_t index = 0;
        bool lapsed = false;
    };

    Response handle(const Request&);
    Response start(const Json&);
    Response stop(const Json&);
    Response hold(std::unique_lock<std::mutex>&, const Json&);
    Json lists();
    int64_t clock() const;
    void end(const std::pair<std::string, uint64_t>& run, const std::string& how);
    void tick();

    std::string id_;
    std::string machine_;
    std::string kind_;
    int port_;
    int cpu_;
    std::string service_;
    Store& store_;
    Ledger& ledger_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::atomic<bool> up_ { true };
    std::atomic<bool> stopping_ { false };
    uint64_t life_ = 0;
    int64_t born_ = 0;
    Instant bornAt_ {};
    uint64_t fence_ = 0;
    int64_t leaseEnd_ = 0;
    uint64_t sequence_ = 0;
    uint64_t lastEnd_ = 0;
    std::map<std::pair<std::string, uint64_t>, Run> runs_; // by work item and number of the run
    std::deque<End> ends_;
    std::map<std::string, uint64_t> highest_;
    std::thread ticker_;
    std::unique_ptr<Server> server_;
};

// One entry process with the settings of the deploy file's template.
class Entry {
public:
    Entry(int number, int firstPort, int storePort, int cloudPort, const std::string& directory);
    ~Entry();
    void start();
    void signal(int);
    void killAndReap();
    int port() const { return firstPort_; }
    int internalPort() const { return firstPort_ + 2; }
    int number() const { return number_; }
    double startedAt = 0;
    double stoppedAt = 0; // of the last SIGTERM; 0: none

private:
    int number_;
    int firstPort_;
    std::string settings_;
    std::string log_;
    int process_ = -1;
};

// An order that the platform's API for machines has received.
struct FleetOrder {
    double at = 0;
    std::string machine;
    std::string pool; // of a move
    bool move = false;
    std::string holder;
    uint64_t token = 0;
    int status = 0;
    double calmFor = 0; // time for which the sending entry has been without disturbance
    double earlierCalmFor = 0; // the same of the entry that ordered on this machine before
};

// The platform's machines and their API. Machines of the pool "spare" are off.
class Fleet {
public:
    Fleet(
        int port, int firstWorkerPort, int workers, int spares, int cpu, const std::string& lastKind, Store&, Ledger&);
    ~Fleet();
    std::vector<FleetOrder> orders();
    void requestWave(uint64_t number, const std::string& machine);
    std::vector<std::unique_ptr<Worker>>& workers() { return workers_; } // by number of the machine; null while off
    std::function<double(const std::string& holder)> calmFor;
    void heartbeat();

private:
    struct Machine {
        std::string pool;
        std::string state = "up";
        uint64_t token = 0;
        int life = 1;
        Instant readyAt {};
        uint64_t wave = 0;
    };
    Response handle(const Request&);
    void startWorker(size_t index);
    void tick();

    int firstWorkerPort_;
    int cpu_;
    std::string lastKind_;
    size_t lastWorker_;
    Store& store_;
    Ledger& ledger_;
    std::mutex mutex_;
    std::vector<Machine> machines_;
    std::vector<std::unique_ptr<Worker>> workers_;
    std::vector<std::unique_ptr<Worker>> removed_;
    std::map<uint64_t, std::string> waves_;
    std::vector<FleetOrder> orders_;
    std::atomic<bool> stopping_ { false };
    std::thread ticker_;
    std::unique_ptr<Server> server_;
};

// The whole installation: a store, a list of machines, workers of one service, three entries.
class Installation {
public:
    // The last worker is of the kind `lastKind`, the others are of the kind "a".
    Installation(int workers, int cpuOfWorker, const std::string& lastKind = "a", int spares = 0, int entryCount = 3);
    ~Installation();
    bool waitUntilReady(int seconds);
    Entry* owner(); // of the service; null while it is unknown
    Entry* fleetOwner(); // the manager of the machines

    std::string directory;
    int basePort = 0;
    std::unique_ptr<Store> store;
    Ledger ledger;
    std::unique_ptr<Fleet> fleet;
    std::vector<std::unique_ptr<Worker>>& workers() { return fleet->workers(); }
    std::vector<std::unique_ptr<Entry>> entries;

private:
    Entry* entryOf(const std::string& member);
    std::thread ticker_;
    std::atomic<bool> stopping_ { false };
};

// Clients. Both write to the record.
std::string jobId(uint64_t number);
// Repeats the request at other entries after no answer, 502, 503 and 504, for up to 10 s. True if it was accepted.
bool submit(Installation&, const std::string& id, const Json& job);
std::string stateOf(Installation&, const std::string& id);

inline bool troubled()
{
    const char* value = getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace trial
