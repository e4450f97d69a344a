#pragma once

#include "../Instances/OperatorOverrides.h"
#include "HandbookShelf.h"

#include <operator.pb.h>

#include <deque>

namespace shallotdrift {

// Answers the calls of operators at the manager of the fleet: the handbook, changes of the fleet, and their audit
// trail. It decides only; its owner stores the records and carries out the directives.
class OperatorDesk {
public:
    OperatorDesk(const InstancePlanner&, std::string manager);

    struct Answer {
        std::string reply {}; // a serialized message of proto/operator.proto
        bool waitsForStore = false; // the reply may be sent once all records so far are stored
    };
    // The call's name is that of the schema file. Empty for an unknown call or a request that cannot be read.
    std::optional<Answer> handle(const std::string& call, const std::string& request, WallTime now);

    // After each change of what the planner knows.
    void observe() { directives_.markDrained(planner_); }
    const OperatorOverrides& directives() const { return directives_; }
    void setConfigurationVersion(uint64_t version) { configurationVersion_ = version; }

    // Records that have changed since the last call; an empty value removes the record.
    std::vector<OperatorOverrides::Record> takeRecords();
    // False for a record that is not the desk's, or cannot be read.
    bool restore(const std::string& key, const std::string& value);

private:
    // A change that was asked for, with its outcome.
    struct Event {
        Milliseconds at { 0 }; // Unix time
        std::string actor {};
        std::string action {};
        std::string reason {};
        proto::ChangeReply reply {};
    };
    using Steps = std::vector<proto::Step>;
    template <typename Request> Answer answerChange(const Request&, WallTime, Steps (OperatorDesk::*)(const Request&));
    template <typename Request, typename Reply>
    std::optional<Answer> read(const std::string& bytes, Reply (OperatorDesk::*)(const Request&) const) const;
    template <typename Request>
    std::optional<Answer> change(const std::string& bytes, WallTime, Steps (OperatorDesk::*)(const Request&));

    proto::StatusReply status(const proto::StatusRequest&) const;
    proto::ExplainReply explain(const proto::ExplainRequest&) const;
    proto::AuditReply audit(const proto::AuditRequest&) const;
    proto::ListHandbookReply listHandbook(const proto::ListHandbookRequest&) const;
    proto::HandbookEntry showHandbook(const proto::ShowHandbookRequest&) const;
    proto::RehearseReply rehearse(const proto::RehearseRequest&) const;

    Steps proposeHandbook(const proto::ProposeHandbookRequest&);
    Steps reviewHandbook(const proto::ReviewHandbookRequest&);
    Steps invoke(const proto::InvokeRequest&);
    Steps lend(const proto::LendRequest&);
    Steps returnLent(const proto::ReturnLentRequest&);
    Steps drain(const proto::DrainRequest&);
    Steps startWave(const proto::StartWaveRequest&);
    Steps changeWave(const proto::ChangeWaveRequest&);

    proto::Step carryOut(const HandbookStep&, const std::string& id);
    std::vector<std::string> factsOfInstance(const std::string& name) const;
    std::vector<std::string> factsOfPool(const std::string& name) const;
    std::vector<std::string> factsOfWave(const std::string& name) const;
    std::vector<std::string> factsOfHandbook(const std::string& name) const;
    std::vector<std::string> factsOfChange(const std::string& name) const;
    internal::HandbookShelf::KnownNames knownNames() const;
    void keepEvent(const std::string& id, Event&&);

    const InstancePlanner& planner_;
    std::string manager_;
    uint64_t configurationVersion_ = 0;
    OperatorOverrides directives_;
    internal::HandbookShelf handbook_;
    std::map<std::string, Event> events_; // by id of the change
    std::set<std::string> changedHandbook_; // names of entries
    std::vector<OperatorOverrides::Record> eventRecords_;
};

} // namespace shallotdrift
